//! Quotas of tenants, as token buckets.

use crate::interface::{Micros, Settings};
use std::collections::BTreeMap;

/// Requests of a tenant that may come at once, unless [`BURST_SECONDS`] allow more: so few are chance, not
/// excess.
const BURST_REQUESTS: f64 = 10.0;

/// A tenant may use this many seconds' worth of its quota at once.
const BURST_SECONDS: f64 = 2.0;

/// Where a request stands with its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaStatus {
    /// Within it, or there is none.
    Within,
    /// Beyond it.
    Exceeded,
}

/// A token bucket that is full at start.
struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn new(rate_per_s: f64) -> Self {
        TokenBucket { rate_per_s, level: f64::MAX, refilled_at: 0 }
    }

    /// Takes one token, if there is one.
    fn take(&mut self, now: Micros) -> QuotaStatus {
        let refill = self.rate_per_s * (now - self.refilled_at) as f64 / 1e6;
        let capacity = BURST_REQUESTS.max(self.rate_per_s * BURST_SECONDS);
        self.level = (self.level + refill).min(capacity);
        self.refilled_at = now;
        if self.level < 1.0 {
            return QuotaStatus::Exceeded;
        }
        self.level -= 1.0;
        QuotaStatus::Within
    }
}

/// This router's part of each tenant's quota.
#[derive(Default)]
pub(super) struct TenantQuotas {
    buckets: BTreeMap<String, TokenBucket>,
}

impl TenantQuotas {
    /// Full buckets for all tenants: each router grants an equal part of the quota.
    pub fn new(settings: &Settings) -> Self {
        let replicas = f64::from(settings.replica_count.max(1));
        let bucket = |quota_per_s: f64| TokenBucket::new(quota_per_s / replicas);
        let tenants = settings.tenants.iter();
        TenantQuotas { buckets: tenants.map(|t| (t.name.clone(), bucket(t.quota_per_s))).collect() }
    }

    /// Charges a request to its tenant. Tenants that the settings don't name have no quota to exceed.
    pub fn charge(&mut self, tenant: Option<&str>, now: Micros) -> QuotaStatus {
        let bucket = tenant.and_then(|tenant| self.buckets.get_mut(tenant));
        bucket.map_or(QuotaStatus::Within, |bucket| bucket.take(now))
    }

    /// Requests a microsecond that this router's quotas allow in all.
    pub fn total_rate(&self) -> f64 {
        self.buckets.values().map(|bucket| bucket.rate_per_s).sum::<f64>() / 1e6
    }
}
