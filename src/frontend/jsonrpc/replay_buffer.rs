//! The replay buffer of tool calls: it keeps a tool from running twice when a stream breaks and is resumed.
//!
//! A call's key is the client's name for its request and the call's ordinal in the answer, never the decode worker's
//! id for the call. The entry is made before the first byte goes to the tool server, and outlives the stream, the
//! worker and the client's connection. A repeat of the call is answered from its entry.

use super::error::ToolCallError;
use super::protocol::{ToolRequest, encode};
use super::tool_client::{ToolClient, ToolOutcome, ToolReply};
use crate::config::ToolSettings;
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

/// What an entry takes beside its outcome.
const ENTRY_OVERHEAD_BYTES: usize = 256;
/// The least time between two searches for expired entries.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// The key of a tool call: the same each time that its answer is resumed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ToolCallKey {
    /// The client's name for its request.
    pub request: Rc<str>,
    /// The number of tool calls before this one in the answer.
    pub ordinal: u32,
}

impl ToolCallKey {
    /// The call's id and idempotency key at the tool server.
    fn tool_request_id(&self) -> String {
        format!("{}/{}", self.request, self.ordinal)
    }
}

/// A call that was sent, and its outcome once there is one.
struct Entry {
    /// Tells repeats of the call from other calls under its key.
    arguments_digest: u128,
    /// `None` while the call is in flight.
    outcome: watch::Receiver<Option<ToolOutcome>>,
    /// Cancels the call while it is in flight.
    cancel: watch::Sender<bool>,
    completed: Option<Instant>,
    bytes: usize,
}

/// The entries by key, and the memory that they take.
#[derive(Default)]
struct Entries {
    by_key: HashMap<ToolCallKey, Entry>,
    /// The sum over all entries.
    bytes: usize,
}

impl Entries {
    fn insert(&mut self, key: ToolCallKey, entry: Entry) {
        self.bytes += entry.bytes;
        self.by_key.insert(key, entry);
    }

    fn remove(&mut self, key: &ToolCallKey) {
        if let Some(entry) = self.by_key.remove(key) {
            self.bytes -= entry.bytes;
        }
    }

    /// Notes that a call has ended with an outcome of this length.
    fn complete(&mut self, key: &ToolCallKey, outcome_bytes: usize) {
        if let Some(entry) = self.by_key.get_mut(key) {
            entry.completed = Some(Instant::now());
            entry.bytes += outcome_bytes;
            self.bytes += outcome_bytes;
        }
    }

    /// Removes the entries of calls that ended at least so long ago.
    fn evict_completed(&mut self, retention: Duration) {
        self.by_key.retain(|_, entry| entry.completed.is_none_or(|at| at.elapsed() < retention));
        self.bytes = self.by_key.values().map(|entry| entry.bytes).sum();
    }
}

/// The replay buffer, and the client of the tool server behind it.
pub struct ReplayBuffer {
    entries: RefCell<Entries>,
    last_eviction: Cell<Option<Instant>>,
    settings: ToolSettings,
    client: ToolClient,
    counters: Rc<Counters>,
}

impl ReplayBuffer {
    /// An empty buffer.
    pub fn new(settings: ToolSettings, connect_timeout: Duration, counters: Rc<Counters>) -> Rc<Self> {
        let client = ToolClient::new(&settings, connect_timeout, counters.clone());
        Rc::new(ReplayBuffer {
            entries: RefCell::default(),
            last_eviction: Cell::new(None),
            settings,
            client,
            counters,
        })
    }

    /// Answers a tool call: from its entry, by waiting for the same call in flight, or by running the tool, at most
    /// once for a key. Dropping the future leaves the call running, as its outcome is wanted when the answer is
    /// resumed.
    ///
    /// # Errors
    /// The router has no reply of the tool.
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

    /// Cancels the calls in flight of a request; their outcome is unknown from then on.
    pub fn cancel(&self, request: &str) {
        for (key, entry) in &self.entries.borrow().by_key {
            if &*key.request == request && entry.completed.is_none() {
                entry.cancel.send_replace(true);
            }
        }
    }

    /// Removes outcomes that have been kept for long enough, and closes idle connections to the tool server. Does
    /// nothing within a second of the last time.
    pub fn evict_expired(&self) {
        if self.last_eviction.get().is_some_and(|at| at.elapsed() < EVICTION_INTERVAL) {
            return;
        }
        self.last_eviction.set(Some(Instant::now()));
        let retention = Duration::from_secs(self.settings.retention_s);
        self.entries.borrow_mut().evict_completed(retention);
        self.client.close_expired();
    }

    /// Finds the call of this key, or starts it.
    fn join_or_start(
        self: &Rc<Self>,
        key: ToolCallKey,
        method: &str,
        params: Option<&RawValue>,
    ) -> Result<watch::Receiver<Option<ToolOutcome>>, ToolCallError> {
        let arguments_digest = digest(method, params);
        if let Some(entry) = self.entries.borrow().by_key.get(&key) {
            // Guards against a model that makes another call in the same place after a resume: the recorded outcome
            // does not answer it, and running it would be a second execution under one key.
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

    /// Whether there is no capacity for another entry. An unexpired entry is never evicted to make room: its call
    /// could run a second time.
    fn is_full(&self) -> bool {
        let entries = self.entries.borrow();
        entries.by_key.len() >= self.settings.max_replay_entries
            || entries.bytes + ENTRY_OVERHEAD_BYTES > self.settings.max_replay_bytes
    }

    /// Makes the entry of a call and starts the call in a task of its own.
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
            completed: None,
            bytes: ENTRY_OVERHEAD_BYTES,
        };
        // From here on a repeat finds the call; no byte of it has gone out yet.
        self.entries.borrow_mut().insert(key.clone(), entry);
        let buffer = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = buffer.client.execute(&id, body, is_cancelled).await;
            buffer.record(&key, &outcome);
            completion.send_replace(Some(outcome));
        });
        outcome
    }

    /// Keeps the outcome of a call, unless the tool can't have run: then a repeat starts it anew.
    fn record(&self, key: &ToolCallKey, outcome: &ToolOutcome) {
        let mut entries = self.entries.borrow_mut();
        match outcome {
            Err(ToolCallError::NotReached) => entries.remove(key),
            Err(_) => entries.complete(key, 0),
            Ok(ToolReply::Result(raw) | ToolReply::Error(raw)) => entries.complete(key, raw.get().len()),
        }
    }
}

async fn wait_for_outcome(mut pending: watch::Receiver<Option<ToolOutcome>>) -> ToolOutcome {
    match pending.wait_for(Option::is_some).await.as_deref() {
        Ok(Some(outcome)) => outcome.clone(),
        // The task that ran the call ended without an outcome (it panicked, for one).
        Ok(None) | Err(_) => Err(ToolCallError::OutcomeUnknown),
    }
}

/// A digest of a call's arguments: the same for the same values, however a worker spaces or orders them.
fn digest(method: &str, params: Option<&RawValue>) -> u128 {
    let value: serde_json::Value =
        params.and_then(|p| serde_json::from_str(p.get()).ok()).unwrap_or_default();
    xxh3_128(format!("{method}\n{value}").as_bytes())
}

#[cfg(test)]
mod tests;
