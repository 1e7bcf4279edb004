//! Checks that the success rate is back to normal soon after the last fault.

use super::observations::{Observations, Request};
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::RouterIndex;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// A request whose timeout is below this share of the longest one is not counted, because routers may reject
/// it at any time.
const MIN_COUNTED_TIMEOUT_SHARE: f64 = 0.25;
/// The minimum share of its requests that each router has to serve.
const MIN_SERVED_SHARE: f64 = 0.9;
/// The minimum number of requests at a router for its share to be checked.
const MIN_REQUESTS: usize = 10;

/// The requests at one router that count for its success rate.
#[derive(Clone, Copy, Default)]
struct RequestCounts {
    served: usize,
    total: usize,
}

/// Checks each router, and returns the share of served requests over all routers.
pub(super) fn check(
    run: &Observations,
    deployment: &Deployment,
    observation_window: &Range<Timestamp>,
    findings: &mut Findings<'_>,
) -> f64 {
    let min_timeout = deployment.scenario.max_first_token_timeout.mul_f64(MIN_COUNTED_TIMEOUT_SHARE);
    let mut routers: BTreeMap<RouterIndex, RequestCounts> = BTreeMap::new();
    let is_relevant = |request: &&Request| is_counted(request, observation_window, min_timeout);
    for request in run.requests.values().filter(is_relevant) {
        let counts = routers.entry(request.router).or_default();
        counts.served += usize::from(request.is_completed());
        counts.total += 1;
    }
    for (router, RequestCounts { served, total }) in &routers {
        if *total >= MIN_REQUESTS && (*served as f64) < MIN_SERVED_SHARE * *total as f64 {
            let detail = format!(
                "{served} of {total} requests served after the recovery period, \
                 minimum share {MIN_SERVED_SHARE}"
            );
            findings.add(Invariant::Recovery, observation_window.end, *router, detail);
        }
    }
    let served: usize = routers.values().map(|counts| counts.served).sum();
    let total: usize = routers.values().map(|counts| counts.total).sum();
    served as f64 / total.max(1) as f64
}

fn is_counted(request: &Request, observation_window: &Range<Timestamp>, min_timeout: Duration) -> bool {
    let Some(sent) = request.sent() else { return false };
    observation_window.contains(&sent.at)
        && sent.first_token_timeout >= min_timeout
        && request.client_disconnected.is_none()
}
