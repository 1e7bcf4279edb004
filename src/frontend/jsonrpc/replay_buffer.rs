//! The replay buffer of tool calls, which prevents a tool call from being executed twice when a stream breaks
//! and is resumed.
//!
//! The key of a call consists of the client's name for its request and the call's ordinal in the answer; the
//! decode worker's id for the call is no part of it. The entry is created before the first byte is sent to
//! the tool server, and outlives the stream, the worker and the client's connection. A repeated call gets
//! its outcome from its entry.

use super::error::ToolCallError;
use super::protocol::{ToolRequest, encode};
use super::tool_client::{ToolClient, ToolOutcome, ToolReply};
use crate::config::ToolSettings;
use crate::net::buffer_limit::BufferLimit;
use crate::runtime::counters::Counters;
use bytes::Bytes;
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// The estimated size of an entry without its outcome.
const ENTRY_OVERHEAD_BYTES: usize = 256;
/// The minimum time between two scans for expired entries.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// The key of a tool call, which stays the same across resumes of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ToolCallKey {
    /// The client's name for its request.
    pub request: Rc<str>,
    /// The number of tool calls before this one in the answer.
    pub ordinal: u32,
}

impl ToolCallKey {
    /// The call's JSON-RPC id and idempotency key at the tool server.
    fn tool_request_id(&self) -> String {
        format!("{}/{}", self.request, self.ordinal)
    }
}

/// A call that was started, with its outcome once it has completed.
struct Entry {
    /// Distinguishes a repeat of the call from another call with the same key.
    arguments_digest: u128,
    /// `None` while the call is in flight.
    outcome: watch::Receiver<Option<ToolOutcome>>,
    /// Cancels the call while it is in flight.
    cancel: watch::Sender<bool>,
    completed_at: Option<Instant>,
    /// The estimated memory use of the entry.
    bytes: usize,
}

/// The entries by key, and their total size.
#[derive(Default)]
struct Entries {
    by_key: HashMap<ToolCallKey, Entry>,
    /// The sum of `bytes` over all entries.
    total_bytes: usize,
}

impl Entries {
    fn insert(&mut self, key: ToolCallKey, entry: Entry) {
        self.total_bytes += entry.bytes;
        self.by_key.insert(key, entry);
    }

    fn remove(&mut self, key: &ToolCallKey) {
        if let Some(entry) = self.by_key.remove(key) {
            self.total_bytes -= entry.bytes;
        }
    }

    /// Records that a call has completed with an outcome of this size.
    fn complete(&mut self, key: &ToolCallKey, outcome_bytes: usize) {
        if let Some(entry) = self.by_key.get_mut(key) {
            entry.completed_at = Some(Instant::now());
            entry.bytes += outcome_bytes;
            self.total_bytes += outcome_bytes;
        }
    }

    /// Removes the entries of calls that completed longer ago than `retention`.
    fn evict_completed(&mut self, retention: Duration) {
        self.by_key.retain(|_, entry| entry.completed_at.is_none_or(|at| at.elapsed() < retention));
        self.total_bytes = self.by_key.values().map(|entry| entry.bytes).sum();
    }
}

/// Executes tool calls through the client of the tool server, and retains their outcomes.
pub struct ReplayBuffer {
    entries: RefCell<Entries>,
    last_eviction: Cell<Option<Instant>>,
    settings: ToolSettings,
    client: ToolClient,
    counters: Rc<Counters>,
}

impl ReplayBuffer {
    /// Creates an empty buffer.
    pub fn new(
        settings: ToolSettings,
        connect_timeout: Duration,
        buffer_limit: BufferLimit,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        let client = ToolClient::new(&settings, connect_timeout, buffer_limit, counters.clone());
        Rc::new(ReplayBuffer {
            entries: RefCell::default(),
            last_eviction: Cell::new(None),
            settings,
            client,
            counters,
        })
    }

    /// Returns the outcome of a tool call: from its entry, by waiting for the same call in flight, or by
    /// executing the call, at most once for each key. Dropping the future leaves the call running, as its
    /// outcome is needed when the answer is resumed.
    ///
    /// # Errors
    /// The router has no reply from the tool.
    pub async fn call(
        self: &Rc<Self>,
        key: ToolCallKey,
        method: &str,
        params: Option<&RawValue>,
    ) -> ToolOutcome {
        self.counters.tool_calls.increment();
        let outcome = match self.join_or_start(key, method, params) {
            Ok(pending) => wait_for_outcome(pending).await,
            Err(error) => Err(error),
        };
        if outcome.is_err() {
            self.counters.tool_errors.increment();
        }
        outcome
    }

    /// Cancels the calls in flight of a request. Their outcome is then unknown.
    pub fn cancel(&self, request: &str) {
        for (key, entry) in &self.entries.borrow().by_key {
            if &*key.request == request && entry.completed_at.is_none() {
                entry.cancel.send_replace(true);
            }
        }
    }

    /// Removes expired outcomes and closes idle connections to the tool server. Does nothing within
    /// `EVICTION_INTERVAL` of the last run.
    pub fn evict_expired(&self) {
        if self.last_eviction.get().is_some_and(|at| at.elapsed() < EVICTION_INTERVAL) {
            return;
        }
        self.last_eviction.set(Some(Instant::now()));
        let retention = Duration::from_secs(self.settings.retention_s);
        self.entries.borrow_mut().evict_completed(retention);
        self.client.close_expired();
    }

    /// Joins the call with this key if there is one, or starts it.
    fn join_or_start(
        self: &Rc<Self>,
        key: ToolCallKey,
        method: &str,
        params: Option<&RawValue>,
    ) -> Result<watch::Receiver<Option<ToolOutcome>>, ToolCallError> {
        let arguments_digest = digest_arguments(method, params);
        if let Some(entry) = self.entries.borrow().by_key.get(&key) {
            // After a resume a model may make a different call at the same position: the recorded outcome
            // is not that of the new call, and running it would be a second execution under one key.
            if entry.arguments_digest != arguments_digest {
                return Err(ToolCallError::KeyReused);
            }
            self.counters.tool_replays.increment();
            return Ok(entry.outcome.clone());
        }
        if key.ordinal >= self.settings.max_calls_per_request {
            return Err(ToolCallError::NoCapacity);
        }
        let id = key.tool_request_id();
        let body = encode(&ToolRequest::new(&id, method, params));
        if body.len() > self.settings.max_call_bytes {
            return Err(ToolCallError::ArgumentsTooLong);
        }
        self.evict_expired();
        if self.is_full() {
            return Err(ToolCallError::NoCapacity);
        }
        Ok(self.start(key, arguments_digest, id, body.into()))
    }

    /// Whether there is no capacity for another entry. Unexpired entries are never evicted to make room, as
    /// their calls could then run a second time.
    fn is_full(&self) -> bool {
        let entries = self.entries.borrow();
        entries.by_key.len() >= self.settings.max_replay_entries
            || entries.total_bytes + ENTRY_OVERHEAD_BYTES > self.settings.max_replay_bytes
    }

    /// Creates the entry of a call and spawns a task that executes the call.
    fn start(
        self: &Rc<Self>,
        key: ToolCallKey,
        arguments_digest: u128,
        id: String,
        body: Bytes,
    ) -> watch::Receiver<Option<ToolOutcome>> {
        let (completion, outcome) = watch::channel(None);
        let (cancel, is_cancelled) = watch::channel(false);
        let entry = Entry {
            arguments_digest,
            outcome: outcome.clone(),
            cancel,
            completed_at: None,
            bytes: ENTRY_OVERHEAD_BYTES,
        };
        // A repeat finds the entry from here on, before the first byte of the call is sent.
        self.entries.borrow_mut().insert(key.clone(), entry);
        let buffer = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = buffer.client.execute(&id, body, is_cancelled).await;
            buffer.record(&key, &outcome);
            completion.send_replace(Some(outcome));
        });
        outcome
    }

    /// Records the outcome of a call, or removes its entry if the tool can't have run, so that a repeat
    /// executes it.
    fn record(&self, key: &ToolCallKey, outcome: &ToolOutcome) {
        let mut entries = self.entries.borrow_mut();
        match outcome {
            Err(ToolCallError::NotReached) => entries.remove(key),
            Err(_) => entries.complete(key, 0),
            Ok(ToolReply::Result(raw) | ToolReply::Error(raw)) => entries.complete(key, raw.get().len()),
        }
    }
}

/// Waits for the outcome of a call in flight. Cancel safe: the outcome stays in the channel.
async fn wait_for_outcome(mut pending: watch::Receiver<Option<ToolOutcome>>) -> ToolOutcome {
    match pending.wait_for(Option::is_some).await.as_deref() {
        Ok(Some(outcome)) => outcome.clone(),
        // The task that executed the call ended without an outcome, for example because it panicked.
        Ok(None) | Err(_) => Err(ToolCallError::OutcomeUnknown),
    }
}

/// Digests a call's method and arguments. White space and the order of object keys do not change the digest.
fn digest_arguments(method: &str, params: Option<&RawValue>) -> u128 {
    let value: serde_json::Value =
        params.and_then(|p| serde_json::from_str(p.get()).ok()).unwrap_or_default();
    xxh3_128(format!("{method}\n{value}").as_bytes())
}

#[cfg(test)]
mod tests;
