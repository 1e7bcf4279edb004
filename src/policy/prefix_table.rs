//! Prompts that workers are presumed to cache, because this router sent them there.

use crate::interface::{Micros, RequestSpec, WorkerId};
use std::collections::{BTreeMap, HashMap, HashSet};
use xxhash_rust::xxh3::xxh3_64;

/// A prefix is presumed to be cached for this long after it was last sent to a worker (Preble's value).
const PREFIX_LIFETIME: Micros = 30_000_000;
/// The maximum number of entries, since clients may send ever new names. When it is reached, the older half
/// is removed. It is far more than a router sends within [`PREFIX_LIFETIME`].
const MAX_ENTRIES: usize = 8192;

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

/// The hash of a name. Names are chosen by clients and may be long.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NameHash(u64);

impl NameHash {
    fn of(name: &str) -> Self {
        NameHash(xxh3_64(name.as_bytes()))
    }
}

/// Prefixes and sessions that this router sent to prefill workers within the last [`PREFIX_LIFETIME`].
#[derive(Default)]
pub(super) struct PrefixTable {
    prefixes: BTreeMap<NameHash, PrefixHolders>,
    sessions: BTreeMap<NameHash, SessionEntry>,
    /// Totals of both maps for each worker.
    totals: HashMap<WorkerId, WorkerTotals>,
    /// The number of entries in both maps.
    entries: usize,
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
        if let Some(prefix) = spec.prefix.as_deref().map(NameHash::of) {
            let cached = CachedPrefix { tokens: spec.prefix_tokens, sent_at: now };
            self.count_added(worker, cached.tokens);
            if let Some(replaced) = self.prefixes.entry(prefix).or_default().insert(worker.clone(), cached) {
                self.count_removed(worker, replaced.tokens);
            }
        }
        if let Some(session) = spec.session.as_deref().map(NameHash::of) {
            let cached = CachedPrefix { tokens: spec.prompt_tokens, sent_at: now };
            self.count_added(worker, 0);
            let entry = SessionEntry { worker: worker.clone(), cached };
            if let Some(replaced) = self.sessions.insert(session, entry) {
                self.count_removed(&replaced.worker, 0);
            }
        }
        if self.entries > MAX_ENTRIES {
            self.remove_older_half();
        }
    }

    /// Whether there are entries for a worker.
    pub fn has_entries(&self, worker: &WorkerId) -> bool {
        self.totals.contains_key(worker)
    }

    /// Looks up the presumed cache state of a request's prompt.
    pub fn cached_prompt<'a>(&'a self, spec: &'a RequestSpec, now: Micros) -> CachedPrompt<'a> {
        let prefix = spec.prefix.as_deref().map(NameHash::of);
        let session = spec.session.as_deref().map(NameHash::of);
        let holders = prefix.and_then(|prefix| self.prefixes.get(&prefix));
        let session = session.and_then(|session| self.sessions.get(&session));
        CachedPrompt { spec, holders, session, now }
    }

    /// The tokens of all prefixes presumed to be cached at a worker.
    pub fn total_cached_tokens(&self, worker: &WorkerId) -> f64 {
        self.totals.get(worker).map_or(0, |totals| totals.prefix_tokens) as f64
    }

    /// Removes the entries of workers whose processes have restarted with an empty cache.
    pub fn remove_workers(&mut self, workers: &HashSet<WorkerId>) {
        for worker in workers {
            if let Some(removed) = self.totals.remove(worker) {
                self.entries -= removed.entries;
                self.prefixes.values_mut().for_each(|holders| _ = holders.remove(worker));
            }
        }
        self.sessions.retain(|_, session| !workers.contains(&session.worker));
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Micros) {
        self.remove_sent_before(now.saturating_sub(PREFIX_LIFETIME));
    }

    /// Removes the older half of the entries.
    fn remove_older_half(&mut self) {
        let prefixes = self.prefixes.values().flat_map(HashMap::values);
        let sessions = self.sessions.values().map(|session| &session.cached);
        let mut times: Vec<Micros> = prefixes.chain(sessions).map(|cached| cached.sent_at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.remove_sent_before(median + 1);
    }

    fn remove_sent_before(&mut self, oldest: Micros) {
        let mut removed: Vec<(WorkerId, u64)> = Vec::new();
        self.prefixes.retain(|_, holders| {
            let expired = holders.extract_if(|_, cached| cached.sent_at < oldest);
            removed.extend(expired.map(|(worker, cached)| (worker, cached.tokens)));
            !holders.is_empty()
        });
        self.sessions.retain(|_, session| {
            let is_fresh = session.cached.sent_at >= oldest;
            if !is_fresh {
                removed.push((session.worker.clone(), 0));
            }
            is_fresh
        });
        for (worker, prefix_tokens) in removed {
            self.count_removed(&worker, prefix_tokens);
        }
    }

    /// Adds an entry to the totals of a worker.
    fn count_added(&mut self, worker: &WorkerId, prefix_tokens: u64) {
        self.entries += 1;
        let totals = self.totals.entry(worker.clone()).or_default();
        totals.entries += 1;
        totals.prefix_tokens += prefix_tokens;
    }

    /// Removes an entry from the totals of a worker.
    fn count_removed(&mut self, worker: &WorkerId, prefix_tokens: u64) {
        let Some(totals) = self.totals.get_mut(worker) else { return };
        self.entries -= 1;
        totals.entries -= 1;
        totals.prefix_tokens -= prefix_tokens;
        if totals.entries == 0 {
            self.totals.remove(worker);
        }
    }
}

#[cfg(test)]
#[path = "prefix_table_tests.rs"]
mod tests;
