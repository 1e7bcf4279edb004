//! Which worker is presumed to cache which prompt, by what this router sent there.

use crate::interface::{Micros, RequestSpec, WorkerId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A prefix that was not sent to a worker for this long is not presumed to be cached there (Preble's value).
const PREFIX_LIFETIME: Micros = 30_000_000;

/// Prompt tokens presumed to be cached at a worker.
#[derive(Clone, Copy)]
struct CachedPrefix {
    tokens: u64,
    sent_at: Micros,
}

impl CachedPrefix {
    fn is_fresh(&self, now: Micros) -> bool {
        self.sent_at + PREFIX_LIFETIME >= now
    }
}

/// The last prefill of a session.
struct SessionCache {
    worker: WorkerId,
    cached: CachedPrefix,
}

/// The prefixes and sessions that this router sent to prefill workers in the last [`PREFIX_LIFETIME`].
#[derive(Default)]
pub(super) struct PrefixTable {
    prefixes: BTreeMap<Arc<str>, BTreeMap<WorkerId, CachedPrefix>>,
    sessions: BTreeMap<Arc<str>, SessionCache>,
}

impl PrefixTable {
    /// Records that a worker was sent the prompt of this request.
    pub fn record(&mut self, spec: &RequestSpec, worker: &WorkerId, now: Micros) {
        if let Some(prefix) = spec.prefix.clone() {
            let shared = CachedPrefix { tokens: spec.prefix_tokens, sent_at: now };
            self.prefixes.entry(prefix).or_default().insert(worker.clone(), shared);
        }
        if let Some(session) = spec.session.clone() {
            let cached = CachedPrefix { tokens: spec.prompt_tokens, sent_at: now };
            self.sessions.insert(session, SessionCache { worker: worker.clone(), cached });
        }
    }

    /// Tokens of this prompt presumed to be cached at a worker: the longer of prefix and session.
    pub fn cached_tokens(&self, spec: &RequestSpec, worker: &WorkerId, now: Micros) -> f64 {
        let prefix = (spec.prefix.as_ref())
            .and_then(|prefix| self.prefixes.get(prefix)?.get(worker))
            .filter(|cached| cached.is_fresh(now))
            .map_or(0, |cached| cached.tokens.min(spec.prefix_tokens));
        let session = (spec.session.as_ref())
            .and_then(|session| self.sessions.get(session))
            .filter(|session| session.worker == *worker && session.cached.is_fresh(now))
            .map_or(0, |session| session.cached.tokens);
        prefix.max(session).min(spec.prompt_tokens) as f64
    }

    /// Tokens of all prefixes presumed to be cached at a worker.
    pub fn total_cached_tokens(&self, worker: &WorkerId) -> f64 {
        let cached = self.prefixes.values().filter_map(|holders| holders.get(worker));
        cached.map(|cached| cached.tokens as f64).sum()
    }

    /// Forgets what was sent to a worker: its process has restarted with empty memory.
    pub fn forget_worker(&mut self, worker: &WorkerId) {
        self.prefixes.values_mut().for_each(|holders| holders.retain(|holder, _| holder != worker));
        self.sessions.retain(|_, session| session.worker != *worker);
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Micros) {
        let oldest = now.saturating_sub(PREFIX_LIFETIME);
        self.prefixes.retain(|_, holders| {
            holders.retain(|_, cached| cached.sent_at >= oldest);
            !holders.is_empty()
        });
        self.sessions.retain(|_, session| session.cached.sent_at >= oldest);
    }
}
