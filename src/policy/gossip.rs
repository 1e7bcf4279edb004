//! Messages between routers about the prompt tokens that they add to the queues of prefill workers, or
//! remove.
//!
//! They keep the routers from all choosing the same prefill worker at once. Receivers let the counts decay,
//! so those of a router that has crashed need no cleanup.

use crate::interface::WorkerId;
use xxhash_rust::xxh3::xxh3_64;

/// Tokens per unit: with it, a signed 12-bit count of units holds the longest prompts.
const TOKENS_PER_UNIT: f64 = 32.0;
/// Width of the unit count, the low bits of a message; the worker digest takes the rest.
const UNIT_BITS: u32 = 12;
const UNIT_MASK: u32 = (1 << UNIT_BITS) - 1;
const MAX_UNITS: i32 = 2047;
const DIGEST_MASK: u32 = 0xfffff;

/// A change of the number of prompt tokens queued at a worker.
///
/// Encoded as a big-endian `u32`: 20 bits of worker digest, then the signed 12-bit count of units.
pub(super) struct QueueChange {
    /// The worker; see [`worker_digest`].
    pub worker_digest: u32,
    /// Tokens added to its queue, or removed from it if negative.
    pub tokens: f64,
}

impl QueueChange {
    /// Encodes a change as a message. Changes that exceed the range of the unit count are clamped.
    pub fn encode(worker: &WorkerId, tokens: f64) -> Vec<u8> {
        let units = ((tokens / TOKENS_PER_UNIT) as i32).clamp(-MAX_UNITS, MAX_UNITS) as u32 & UNIT_MASK;
        let word = worker_digest(worker) << UNIT_BITS | units;
        word.to_be_bytes().to_vec()
    }

    /// Decodes a message; `None` if it does not have the length of one.
    pub fn decode(payload: &[u8]) -> Option<QueueChange> {
        let word = payload.try_into().map(u32::from_be_bytes).ok()?;
        let sign_extended_units = (word << (u32::BITS - UNIT_BITS)) as i32 >> (u32::BITS - UNIT_BITS);
        let tokens = f64::from(sign_extended_units) * TOKENS_PER_UNIT;
        Some(QueueChange { worker_digest: word >> UNIT_BITS, tokens })
    }
}

/// A 20-bit hash that identifies a worker in messages.
pub(super) fn worker_digest(worker: &WorkerId) -> u32 {
    xxh3_64(worker.0.as_bytes()) as u32 & DIGEST_MASK
}
