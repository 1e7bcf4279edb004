//! Which worker is presumed to cache which prompt, by what this router sent there.

use crate::interface::{Micros, RequestSpec, WorkerId};
use std::collections::{BTreeMap, HashMap, HashSet};
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
    prefixes: BTreeMap<Arc<str>, PrefixHolders>,
    sessions: BTreeMap<Arc<str>, SessionCache>,
    /// What each worker holds of the two.
    held: HashMap<WorkerId, HeldEntries>,
}

/// How many prefixes and sessions a worker holds.
#[derive(Default)]
struct HeldEntries {
    entries: usize,
    prefix_tokens: u64,
}

/// The workers that were sent a prefix.
type PrefixHolders = HashMap<WorkerId, CachedPrefix>;

/// What is presumed to be cached of one prompt.
pub(super) struct CachedPrompt<'a> {
    spec: &'a RequestSpec,
    holders: Option<&'a PrefixHolders>,
    session: Option<&'a SessionCache>,
    now: Micros,
}

impl CachedPrompt<'_> {
    /// Tokens of the prompt presumed to be cached at a worker: the longer of prefix and session.
    pub fn tokens_at(&self, worker: &WorkerId) -> f64 {
        let prefix = (self.holders.and_then(|holders| holders.get(worker)))
            .filter(|cached| cached.is_fresh(self.now))
            .map_or(0, |cached| cached.tokens.min(self.spec.prefix_tokens));
        let session = (self.session)
            .filter(|session| session.worker == *worker && session.cached.is_fresh(self.now))
            .map_or(0, |session| session.cached.tokens);
        prefix.max(session).min(self.spec.prompt_tokens) as f64
    }
}

impl PrefixTable {
    /// Records that a worker was sent the prompt of this request.
    pub fn record(&mut self, spec: &RequestSpec, worker: &WorkerId, now: Micros) {
        if let Some(prefix) = spec.prefix.clone() {
            let shared = CachedPrefix { tokens: spec.prefix_tokens, sent_at: now };
            add(&mut self.held, worker, shared.tokens);
            if let Some(earlier) = self.prefixes.entry(prefix).or_default().insert(worker.clone(), shared) {
                subtract(&mut self.held, worker, earlier.tokens);
            }
        }
        if let Some(session) = spec.session.clone() {
            let cached = CachedPrefix { tokens: spec.prompt_tokens, sent_at: now };
            add(&mut self.held, worker, 0);
            let cache = SessionCache { worker: worker.clone(), cached };
            if let Some(earlier) = self.sessions.insert(session, cache) {
                subtract(&mut self.held, &earlier.worker, 0);
            }
        }
    }

    /// Whether a worker is presumed to cache anything.
    pub fn has_entries(&self, worker: &WorkerId) -> bool {
        self.held.contains_key(worker)
    }

    /// What is presumed to be cached of this prompt.
    pub fn cached_prompt<'a>(&'a self, spec: &'a RequestSpec, now: Micros) -> CachedPrompt<'a> {
        let holders = spec.prefix.as_ref().and_then(|prefix| self.prefixes.get(prefix));
        let session = spec.session.as_ref().and_then(|session| self.sessions.get(session));
        CachedPrompt { spec, holders, session, now }
    }

    /// Tokens of all prefixes presumed to be cached at a worker.
    pub fn total_cached_tokens(&self, worker: &WorkerId) -> f64 {
        self.held.get(worker).map_or(0, |held| held.prefix_tokens) as f64
    }

    /// Forgets what was sent to these workers: their processes have restarted with empty memory.
    pub fn forget_workers(&mut self, workers: &HashSet<WorkerId>) {
        for worker in workers {
            if self.held.remove(worker).is_some() {
                self.prefixes.values_mut().for_each(|holders| _ = holders.remove(worker));
            }
        }
        self.sessions.retain(|_, session| !workers.contains(&session.worker));
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Micros) {
        let oldest = now.saturating_sub(PREFIX_LIFETIME);
        let held = &mut self.held;
        self.prefixes.retain(|_, holders| {
            holders.retain(|worker, cached| {
                let is_fresh = cached.sent_at >= oldest;
                if !is_fresh {
                    subtract(held, worker, cached.tokens);
                }
                is_fresh
            });
            !holders.is_empty()
        });
        self.sessions.retain(|_, session| {
            let is_fresh = session.cached.sent_at >= oldest;
            if !is_fresh {
                subtract(held, &session.worker, 0);
            }
            is_fresh
        });
    }
}

/// Adds an entry to those that a worker holds.
fn add(held: &mut HashMap<WorkerId, HeldEntries>, worker: &WorkerId, prefix_tokens: u64) {
    let held = held.entry(worker.clone()).or_default();
    held.entries += 1;
    held.prefix_tokens += prefix_tokens;
}

/// Takes an entry off those that a worker holds.
fn subtract(held: &mut HashMap<WorkerId, HeldEntries>, worker: &WorkerId, prefix_tokens: u64) {
    let Some(remaining) = held.get_mut(worker) else { return };
    remaining.entries -= 1;
    remaining.prefix_tokens -= prefix_tokens;
    if remaining.entries == 0 {
        held.remove(worker);
    }
}
