//! Messages between routers: the prompt tokens that one sends to a prefill worker, or that are done.
//!
//! Guards against all routers sending to the same prefill worker at once. What a router that has died sent
//! decays by itself.

use crate::interface::WorkerId;
use xxhash_rust::xxh3::xxh3_64;

/// Tokens in a unit of a message: 12 signed bits hold the longest prompts.
const TOKENS_PER_UNIT: f64 = 32.0;
/// Bits of a message that hold the units; the digest fills the rest.
const UNIT_BITS: u32 = 12;
const UNIT_MASK: u32 = (1 << UNIT_BITS) - 1;
const MAX_UNITS: i32 = 2047;
const DIGEST_MASK: u32 = 0xfffff;

/// A change of the tokens that wait at a worker: 20 bits of the worker's digest and 12 of tokens.
pub(super) struct QueueChange {
    /// What stands for the worker; see [`worker_digest`].
    pub worker_digest: u32,
    /// Tokens sent there or, below zero, done with.
    pub tokens: f64,
}

impl QueueChange {
    /// The message of a change.
    pub fn encode(worker: &WorkerId, tokens: f64) -> Vec<u8> {
        let units = ((tokens / TOKENS_PER_UNIT) as i32).clamp(-MAX_UNITS, MAX_UNITS) as u32 & UNIT_MASK;
        let word = worker_digest(worker) << UNIT_BITS | units;
        word.to_be_bytes().to_vec()
    }

    /// The change that a message carries; `None` if it is not one.
    pub fn decode(payload: &[u8]) -> Option<QueueChange> {
        let word = payload.try_into().map(u32::from_be_bytes).ok()?;
        let sign_extended_units = (word << (u32::BITS - UNIT_BITS)) as i32 >> (u32::BITS - UNIT_BITS);
        let tokens = f64::from(sign_extended_units) * TOKENS_PER_UNIT;
        Some(QueueChange { worker_digest: word >> UNIT_BITS, tokens })
    }
}

/// What stands for a worker in messages between routers.
pub(super) fn worker_digest(worker: &WorkerId) -> u32 {
    xxh3_64(worker.0.as_bytes()) as u32 & DIGEST_MASK
}
