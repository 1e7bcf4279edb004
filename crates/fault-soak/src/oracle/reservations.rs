//! Checks that reserved KV caches are fetched or released in time.

use super::OBSERVATION_TOLERANCE;
use super::observations::{Observations, Request, Reservation};
use super::verdict::{Findings, Invariant};
use crate::deployment::Deployment;
use fleet_emulator::clock::Timestamp;
use std::time::Duration;

/// The time by which a release may exceed the configured timeout.
const RELEASE_SLACK: Duration = Duration::from_millis(300);
/// The upper bound on reported durations, for reservations that never ended.
const MAX_REPORTED_DURATION: Duration = Duration::from_secs(60);

/// Checks every reservation.
pub(super) fn check(run: &Observations, deployment: &Deployment, findings: &mut Findings<'_>) {
    for request in run.requests.values() {
        for reservation in &request.reservations {
            check_reservation(run, deployment, findings, request, *reservation);
        }
    }
}

fn check_reservation(
    run: &Observations,
    deployment: &Deployment,
    findings: &mut Findings<'_>,
    request: &Request,
    reservation: Reservation,
) {
    let end = request.reservation_ends.iter().copied().find(|end| *end >= reservation.at);
    let end = end.unwrap_or(Timestamp::MAX);
    let limit = deployment.release_timeout + RELEASE_SLACK + OBSERVATION_TOLERANCE;
    let longest = longest_idle_period(request, reservation.at, end);
    let Some(idle) = longest.filter(|idle| idle.length() > limit) else { return };
    let router = request.attempts.first().map_or(request.router, |attempt| attempt.router);
    // A router is not responsible for a reservation that its process left behind when it was killed or
    // exited.
    let incarnation = run.incarnation(router, reservation.at);
    let ended = incarnation
        .and_then(|incarnation| incarnation.killed.or(incarnation.exit.as_ref().map(|exit| exit.at)));
    if ended.is_some_and(|ended| ended <= idle.from + limit) {
        return;
    }
    let duration = idle.until.min(idle.from + MAX_REPORTED_DURATION).since(idle.from).as_millis();
    let worker = reservation.worker;
    let release_timeout = deployment.release_timeout.as_millis();
    let detail = format!(
        "reserved at worker {worker} for {duration} ms with no attempt in flight, limit {release_timeout} ms"
    );
    findings.add_for(request, Invariant::CacheReleased, idle.from + limit, router, detail);
}

/// A period in which no attempt for a request was in flight.
#[derive(Clone, Copy)]
struct IdlePeriod {
    from: Timestamp,
    until: Timestamp,
}

impl IdlePeriod {
    fn length(self) -> Duration {
        self.until.since(self.from)
    }
}

/// The longest period between `start` and `end` in which no attempt was in flight at a running worker.
fn longest_idle_period(request: &Request, start: Timestamp, end: Timestamp) -> Option<IdlePeriod> {
    let mut in_flight: Vec<(Timestamp, Timestamp)> = request
        .attempts
        .iter()
        .filter_map(|attempt| Some((attempt.received?, attempt.ended())))
        .filter(|(received, ended)| *ended >= start && *received <= end)
        .collect();
    in_flight.sort_unstable();
    let (mut from, mut longest) = (start, None);
    for (received, ended) in in_flight {
        longest = longer(longest, IdlePeriod { from, until: received.min(end) });
        from = from.max(ended);
    }
    longer(longest, IdlePeriod { from, until: end })
}

/// The longer of two periods, or the first one if they are equal. Empty periods are ignored.
fn longer(longest: Option<IdlePeriod>, other: IdlePeriod) -> Option<IdlePeriod> {
    if other.length().is_zero() || longest.is_some_and(|longest| longest.length() >= other.length()) {
        return longest;
    }
    Some(other)
}
