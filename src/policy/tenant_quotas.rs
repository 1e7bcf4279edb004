//! Tenant quotas, enforced by a token bucket per tenant.

use crate::interface::{Micros, Settings};
use std::collections::BTreeMap;

/// Minimum burst of a tenant, in requests: so few requests at once may arrive by chance, within the quota.
const BURST_REQUESTS: f64 = 10.0;

/// Burst of a tenant, in seconds of its quota.
const BURST_SECONDS: f64 = 2.0;

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaStatus {
    /// Within the quota, or the tenant has none.
    Within,
    /// Beyond the quota.
    Exceeded,
}

/// A token bucket, full at first.
struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn new(rate_per_s: f64) -> Self {
        TokenBucket { rate_per_s, level: f64::MAX, refilled_at: 0 }
    }

    /// Refills the bucket and takes one token, if there is one.
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

/// This router's share of each tenant's quota.
#[derive(Default)]
pub(super) struct TenantQuotas {
    buckets: BTreeMap<String, TokenBucket>,
}

impl TenantQuotas {
    /// Full buckets for all tenants. The quotas are divided equally among the routers.
    pub fn new(settings: &Settings) -> Self {
        let replicas = f64::from(settings.replica_count.max(1));
        let bucket = |quota_per_s: f64| TokenBucket::new(quota_per_s / replicas);
        let tenants = settings.tenants.iter();
        TenantQuotas { buckets: tenants.map(|t| (t.name.clone(), bucket(t.quota_per_s))).collect() }
    }

    /// Charges a request to its tenant's quota. Requests without a tenant and tenants without a configured
    /// quota are unlimited.
    pub fn charge(&mut self, tenant: Option<&str>, now: Micros) -> QuotaStatus {
        let bucket = tenant.and_then(|tenant| self.buckets.get_mut(tenant));
        bucket.map_or(QuotaStatus::Within, |bucket| bucket.take(now))
    }

    /// The sum of this router's quotas, in requests per microsecond.
    pub fn total_rate_per_us(&self) -> f64 {
        self.buckets.values().map(|bucket| bucket.rate_per_s).sum::<f64>() / 1e6
    }
}
