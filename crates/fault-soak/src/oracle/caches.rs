//! What prefill workers hold for a request: taken over or released in time.

use super::view::{Attempt, Request, View};
use super::{Findings, Invariant, TOLERANCE};
use crate::deployment::Deployment;
use fleet_emulator::clock::{MILLISECOND, Micros};

/// What is held has this much more than the settings say.
const SLACK: Micros = 300 * MILLISECOND;

/// Checks every request for which something was held.
pub fn check(view: &View, deployment: &Deployment, findings: &mut Findings<'_>) {
    for request in view.requests.values() {
        for (held, worker) in &request.held {
            check_held(view, deployment, findings, request, *held, *worker);
        }
    }
}

fn check_held(
    view: &View,
    deployment: &Deployment,
    findings: &mut Findings<'_>,
    request: &Request,
    held: Micros,
    worker: usize,
) {
    let gone = request.gone.iter().copied().find(|gone| *gone >= held).unwrap_or(Micros::MAX);
    let longest = longest_unattended(request, held, gone);
    let limit = deployment.release + SLACK + TOLERANCE;
    let Some((since, until)) = longest.filter(|(since, until)| until - since > limit) else { return };
    let router = request.attempts.first().map_or(request.router, |attempt| attempt.router);
    // What a process that was killed left behind is nobody's to release.
    let was_killed =
        view.life(router, held).and_then(|life| life.killed.or(life.ended.as_ref().map(|e| e.0)));
    let unattended_before_end = was_killed.is_none_or(|killed| killed > since + limit);
    if !unattended_before_end {
        return;
    }
    let time = (until.min(since + 60 * 1_000_000) - since) / MILLISECOND;
    let detail = format!("held at worker {worker} for {time} ms while no attempt was out");
    findings.add(Invariant::CacheReleased, since + limit, router, Some(&request.name), detail);
}

/// The longest time between `held` and `gone` in which no attempt was out at a running worker.
fn longest_unattended(request: &Request, held: Micros, gone: Micros) -> Option<(Micros, Micros)> {
    let mut out: Vec<(Micros, Micros)> = request
        .attempts
        .iter()
        .filter_map(|attempt: &Attempt| Some((attempt.arrived?, attempt.over())))
        .filter(|(arrived, over)| *over >= held && *arrived <= gone)
        .collect();
    out.sort_unstable();
    let (mut since, mut longest) = (held, None);
    for (arrived, over) in out {
        longest = longer(longest, since, arrived.min(gone));
        since = since.max(over);
    }
    longer(longest, since, gone)
}

fn longer(longest: Option<(Micros, Micros)>, since: Micros, until: Micros) -> Option<(Micros, Micros)> {
    let length = until.saturating_sub(since);
    if longest.is_some_and(|(from, to)| to - from >= length) || length == 0 {
        return longest;
    }
    Some((since, until))
}
