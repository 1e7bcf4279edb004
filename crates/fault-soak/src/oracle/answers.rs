//! Final answers and streams, as clients see them.

use super::view::{Request, View};
use super::{Findings, Invariant, TOLERANCE};
use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::ConnectionEnd;
use std::collections::BTreeMap;

/// A final answer that comes later than this after its time counts as lost.
const LATE: Micros = 500 * MILLISECOND;
/// A request that came so long after the order to end must be answered before the process is killed.
const TAKEN_LATE: Micros = 700 * MILLISECOND;
/// After the order to end, new connections come for so long.
const FRONT_NOTICES: Micros = 400 * MILLISECOND;
/// An event that takes longer from its worker to the client is held back.
const HELD_BACK: Micros = 300 * MILLISECOND;

/// Checks every request.
pub fn check(view: &View, findings: &mut Findings<'_>) {
    for request in view.requests.values() {
        check_final_answer(view, findings, request);
        check_resent(view, findings, request);
        check_stream(view, findings, request);
    }
}

fn check_final_answer(view: &View, findings: &mut Findings<'_>, request: &Request) {
    let Some((sent, first_token_timeout)) = request.sent() else { return };
    if request.left.is_some() {
        return;
    }
    let name = Some(&request.name);
    if let Some(answer) = &request.answer {
        let late_by = answer.at.saturating_sub(sent + first_token_timeout);
        if late_by > LATE {
            let detail = format!("answered {} ms after its time", late_by / MILLISECOND);
            findings.add(Invariant::FinalResponse, answer.at, request.router, name, detail);
        }
        let is_refusal = matches!(answer.status, 429 | 503);
        if is_refusal && !answer.has_retry_after {
            findings.add(
                Invariant::RetryAfterPresent,
                answer.at,
                request.router,
                name,
                "refused without advice",
            );
        }
        return;
    }
    let last = request.sendings.last();
    if let Some((at, end)) = last.and_then(|sending| sending.unanswered) {
        if !is_excused(view, request, sent, at, end) {
            let carried = last.map_or(0, |sending| sending.prior_requests);
            let waited = at.saturating_sub(sent) / MILLISECOND;
            let detail =
                format!("connection {end:?} with no answer after {waited} ms, {carried} carried before");
            findings.add(Invariant::FinalResponse, at, request.router, name, detail);
        }
        return;
    }
    if let Some(at) = request.nothing_heard {
        findings.add(Invariant::FinalResponse, at, request.router, name, "no answer at all");
    }
}

/// Whether a connection may have ended without an answer.
fn is_excused(view: &View, request: &Request, sent: Micros, at: Micros, end: ConnectionEnd) -> bool {
    let Some(life) = view.life(request.router, sent) else { return true };
    let told = life.told_to_end;
    if end == ConnectionEnd::NotOpened {
        let front_knows = told.is_some_and(|told| at > told + FRONT_NOTICES);
        return front_knows || life.killed.is_some_and(|killed| at + TOLERANCE >= killed);
    }
    // The life in which it was sent may have begun only while it was under way.
    let killed = life.killed.filter(|killed| at + TOLERANCE >= *killed);
    let was_taken_late = told.is_some_and(|told| sent > told + TAKEN_LATE);
    killed.is_some() && !was_taken_late
}

/// A connection may end under a request only if the request was not read: it is sent again, and must not run twice.
fn check_resent(view: &View, findings: &mut Findings<'_>, request: &Request) {
    let Some(resent) = request.sendings.iter().find(|sending| sending.is_resent) else { return };
    let first_ended = request.sendings.iter().find_map(|sending| sending.unanswered.map(|(at, _)| at));
    let life = view.life(request.router, resent.begun);
    // A process that is killed ends all of its connections.
    if life.and_then(|life| life.killed).is_some_and(|killed| first_ended.is_some_and(|at| at >= killed)) {
        return;
    }
    let before = request.attempts.iter().find(|attempt| attempt.begun < resent.begun);
    if let Some(attempt) = before {
        let detail = "its first connection ended without an answer, but it had been sent on";
        findings.add(
            Invariant::ForwardedThenAnswered,
            attempt.begun,
            request.router,
            Some(&request.name),
            detail,
        );
    }
}

fn check_stream(view: &View, findings: &mut Findings<'_>, request: &Request) {
    let name = Some(&request.name);
    let Some(answer) = request.answer.as_ref().filter(|answer| answer.status == 200) else { return };
    if let Some(at) = request.nothing_heard {
        findings.add(Invariant::DeadStreamClosed, at, request.router, name, "a dead stream was not ended");
    }
    let Some(end) = &request.end else { return };
    if !end.is_intact {
        findings.add(
            Invariant::StreamIntact,
            end.at,
            request.router,
            name,
            "what came is not what a worker sent",
        );
    }
    let was_killed = view.life(request.router, answer.at).is_some_and(|life| life.killed.is_some());
    if end.is_complete || request.left.is_some() || was_killed {
        return;
    }
    let finished = request.attempts.iter().find(|attempt| {
        let is_complete =
            attempt.answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.is_complete);
        is_complete && attempt.broken.is_none() && !attempt.is_silenced
    });
    if finished.is_some() {
        let detail = "cut off, though its worker had finished it";
        findings.add(Invariant::StreamComplete, end.at, request.router, name, detail);
    }
}

/// Requests by what became of them.
pub fn outcomes(view: &View) -> BTreeMap<&'static str, usize> {
    let mut outcomes = BTreeMap::new();
    for request in view.requests.values() {
        let outcome = match (&request.answer, &request.end) {
            _ if request.left.is_some() => "left",
            (Some(answer), Some(end)) if answer.status == 200 && end.is_complete => "served",
            (Some(answer), _) if answer.status == 200 => "cut off",
            (Some(answer), _) if matches!(answer.status, 429 | 503) => "refused",
            (Some(_), _) => "failed",
            (None, _) => "unanswered",
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    outcomes
}

/// Streams with an event that was held back, and all streams.
pub fn held_back(view: &View) -> (usize, usize) {
    let ends = view.requests.values().filter(|request| request.first_event.is_some());
    let ends: Vec<_> = ends.filter_map(|request| request.end.as_ref()).collect();
    (ends.iter().filter(|end| end.longest_delay > HELD_BACK).count(), ends.len())
}
