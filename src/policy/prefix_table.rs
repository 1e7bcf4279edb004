//! Prompts that workers are presumed to cache, because this router sent them there.

use crate::interface::{Micros, RequestSpec, WorkerId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// A prefix is presumed to be cached for this long after it was last sent to a worker (Preble's value).
const PREFIX_LIFETIME: Micros = 30_000_000;

/// A prefix presumed to be cached at a worker.
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

/// The latest prefill of a session.
struct SessionEntry {
    worker: WorkerId,
    cached: CachedPrefix,
}

/// Prefixes and sessions that this router sent to prefill workers within the last [`PREFIX_LIFETIME`].
#[derive(Default)]
pub(super) struct PrefixTable {
    prefixes: BTreeMap<Arc<str>, PrefixHolders>,
    sessions: BTreeMap<Arc<str>, SessionEntry>,
    /// Totals of both maps for each worker.
    totals: HashMap<WorkerId, WorkerTotals>,
}

/// Number of prefix and session entries of a worker, and the tokens of its prefixes.
#[derive(Default)]
struct WorkerTotals {
    entries: usize,
    prefix_tokens: u64,
}

/// The workers to which a prefix was sent.
type PrefixHolders = HashMap<WorkerId, CachedPrefix>;

/// The presumed cache state of one prompt.
pub(super) struct CachedPrompt<'a> {
    spec: &'a RequestSpec,
    holders: Option<&'a PrefixHolders>,
    session: Option<&'a SessionEntry>,
    now: Micros,
}

impl CachedPrompt<'_> {
    /// The prompt tokens presumed to be cached at a worker: those of the prefix or of the session, whichever
    /// is longer.
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
    /// Records that the prompt of this request was sent to a worker.
    pub fn record(&mut self, spec: &RequestSpec, worker: &WorkerId, now: Micros) {
        if let Some(prefix) = spec.prefix.clone() {
            let cached = CachedPrefix { tokens: spec.prefix_tokens, sent_at: now };
            add_entry(&mut self.totals, worker, cached.tokens);
            if let Some(replaced) = self.prefixes.entry(prefix).or_default().insert(worker.clone(), cached) {
                remove_entry(&mut self.totals, worker, replaced.tokens);
            }
        }
        if let Some(session) = spec.session.clone() {
            let cached = CachedPrefix { tokens: spec.prompt_tokens, sent_at: now };
            add_entry(&mut self.totals, worker, 0);
            let entry = SessionEntry { worker: worker.clone(), cached };
            if let Some(replaced) = self.sessions.insert(session, entry) {
                remove_entry(&mut self.totals, &replaced.worker, 0);
            }
        }
    }

    /// Whether there are entries for a worker.
    pub fn has_entries(&self, worker: &WorkerId) -> bool {
        self.totals.contains_key(worker)
    }

    /// Looks up the presumed cache state of a request's prompt.
    pub fn cached_prompt<'a>(&'a self, spec: &'a RequestSpec, now: Micros) -> CachedPrompt<'a> {
        let holders = spec.prefix.as_ref().and_then(|prefix| self.prefixes.get(prefix));
        let session = spec.session.as_ref().and_then(|session| self.sessions.get(session));
        CachedPrompt { spec, holders, session, now }
    }

    /// The tokens of all prefixes presumed to be cached at a worker.
    pub fn total_cached_tokens(&self, worker: &WorkerId) -> f64 {
        self.totals.get(worker).map_or(0, |totals| totals.prefix_tokens) as f64
    }

    /// Removes the entries of workers whose processes have restarted with an empty cache.
    pub fn remove_workers(&mut self, workers: &HashSet<WorkerId>) {
        for worker in workers {
            if self.totals.remove(worker).is_some() {
                self.prefixes.values_mut().for_each(|holders| _ = holders.remove(worker));
            }
        }
        self.sessions.retain(|_, session| !workers.contains(&session.worker));
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Micros) {
        let oldest = now.saturating_sub(PREFIX_LIFETIME);
        let totals = &mut self.totals;
        self.prefixes.retain(|_, holders| {
            holders.retain(|worker, cached| {
                let is_fresh = cached.sent_at >= oldest;
                if !is_fresh {
                    remove_entry(totals, worker, cached.tokens);
                }
                is_fresh
            });
            !holders.is_empty()
        });
        self.sessions.retain(|_, session| {
            let is_fresh = session.cached.sent_at >= oldest;
            if !is_fresh {
                remove_entry(totals, &session.worker, 0);
            }
            is_fresh
        });
    }
}

/// Adds an entry to the totals of a worker.
fn add_entry(totals: &mut HashMap<WorkerId, WorkerTotals>, worker: &WorkerId, prefix_tokens: u64) {
    let worker_totals = totals.entry(worker.clone()).or_default();
    worker_totals.entries += 1;
    worker_totals.prefix_tokens += prefix_tokens;
}

/// Removes an entry from the totals of a worker.
fn remove_entry(totals: &mut HashMap<WorkerId, WorkerTotals>, worker: &WorkerId, prefix_tokens: u64) {
    let Some(worker_totals) = totals.get_mut(worker) else { return };
    worker_totals.entries -= 1;
    worker_totals.prefix_tokens -= prefix_tokens;
    if worker_totals.entries == 0 {
        totals.remove(worker);
    }
}
