//! Checks that service is back to normal soon after the last fault.

use super::observations::{Observations, Request};
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::RouterIndex;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Requests with a shorter timeout than this share of the longest one may be rejected at any time.
const MIN_TIMEOUT_SHARE: f64 = 0.25;
/// The share of its requests that each router has to serve.
const MIN_SERVED_SHARE: f64 = 0.9;
/// The smallest number of requests from which a share is computed.
const MIN_REQUESTS: usize = 10;

/// The requests of one router after the recovery.
#[derive(Clone, Copy, Default)]
struct Tally {
    served: usize,
    all: usize,
}

/// Checks each router, and returns the share of all requests that were served.
pub(super) fn check(
    run: &Observations,
    deployment: &Deployment,
    observed: &Range<Timestamp>,
    findings: &mut Findings<'_>,
) -> f64 {
    let min_timeout = deployment.scenario.max_deadline.mul_f64(MIN_TIMEOUT_SHARE);
    let mut routers: BTreeMap<RouterIndex, Tally> = BTreeMap::new();
    for request in run.requests.values().filter(|request| counts(request, observed, min_timeout)) {
        let tally = routers.entry(request.router).or_default();
        tally.served += usize::from(request.is_completed());
        tally.all += 1;
    }
    for (router, Tally { served, all }) in &routers {
        if *all >= MIN_REQUESTS && (*served as f64) < MIN_SERVED_SHARE * *all as f64 {
            let detail = format!("{served} of {all} requests served after the faults");
            findings.add(Invariant::Recovery, observed.end, *router, detail);
        }
    }
    let served: usize = routers.values().map(|tally| tally.served).sum();
    let all: usize = routers.values().map(|tally| tally.all).sum();
    served as f64 / all.max(1) as f64
}

fn counts(request: &Request, observed: &Range<Timestamp>, min_timeout: Duration) -> bool {
    let Some(sent) = request.sent() else { return false };
    observed.contains(&sent.at)
        && sent.first_token_timeout >= min_timeout
        && request.client_disconnected.is_none()
}
