//! The driver: feeds the module events, carries out its actions, owns the timers and the table of requests.
//!
//! It knows no wire. Requests come in through a [`DriverHandle`], what goes out goes through [`Outbound`], and
//! how it went comes back as [`DriverInput`]. Everything runs on one thread and in the order of one queue.

mod clock;
pub mod counters;
pub mod exchange;
mod handle;
mod held;
mod open_request;
mod outbound;

pub use clock::Clock;
pub use handle::{DriverHandle, DriverInput};
pub use outbound::{Attempt, Outbound, ReleaseProgress};

use crate::interface::*;
use crate::policy::Policy;
use crate::rules::Rule;
use crate::rules::idempotency::is_rejection_harmless;
use crate::rules::send::may_attempt;
use crate::runtime::counters::Counters;
use crate::runtime::exchange::{ForwardedRequest, Responder, ResponseStream};
use held::HeldCache;
use open_request::{Open, Slot};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Timers and guards that are kept without looking whether anything still needs them.
const MOST_DUE: usize = 1024;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(TimerId),
    /// The last moment for the answer to a request, whatever the module does.
    Guard(RequestId),
    /// The last moment for the release of what is held for a request.
    HeldCache(RequestId),
}

/// The driver of one module.
pub struct Driver {
    policy: Policy,
    settings: Settings,
    clock: Clock,
    outbound: Rc<dyn Outbound>,
    counters: Rc<Counters>,
    open: HashMap<RequestId, Open>,
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    actions: Vec<Action>,
    ended: Vec<RequestId>,
}

impl Driver {
    /// A core around a fresh module.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        outbound: Rc<dyn Outbound>,
        counters: Rc<Counters>,
    ) -> Self {
        Driver {
            policy: Policy::new(settings.clone(), seed),
            settings,
            clock,
            outbound,
            counters,
            open: HashMap::new(),
            due: BinaryHeap::new(),
            actions: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<DriverInput>) {
        loop {
            let next = self.due.peek().map(|Reverse((at, _))| self.clock.instant(*at));
            let timer = async {
                match next {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                input = queue.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = timer => {}
            }
            // Also after an input: a queue that is never empty must not starve the timers.
            self.run_due();
        }
    }

    fn run_due(&mut self) {
        let now = self.clock.now();
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            match self.due.pop() {
                Some(Reverse((_, Due::Timer(timer)))) => self.handle(Event::Timer(timer)),
                Some(Reverse((_, Due::Guard(request)))) => self.guard(request),
                Some(Reverse((_, Due::HeldCache(request)))) => self.check_held_state(request, now),
                None => {}
            }
        }
    }

    fn input(&mut self, input: DriverInput) {
        match input {
            DriverInput::RequestReceived { spec: ask, forwarded: call, responder: answer } => {
                self.ask(ask, call, answer)
            }
            DriverInput::ClientDisconnected(request) => self.left(request),
            DriverInput::StreamStarted { request, attempt, stream: feed } => {
                self.first(request, attempt, feed)
            }
            DriverInput::AttemptEnded { request, attempt, outcome, cached_tokens: kept, report } => {
                self.ended(request, attempt, outcome, kept, report);
            }
            DriverInput::EndpointsUpdated { kind, endpoints: entries } => {
                self.counters.endpoint_updates.increment();
                self.handle(Event::EndpointsUpdated { kind, endpoints: entries });
            }
            DriverInput::SlotReserved { request, worker, reserved: held } => {
                if self.open.contains_key(&request) {
                    self.handle(Event::SlotReserved { request, worker, reserved: held });
                }
            }
            DriverInput::HealthChecked { worker, outcome, report } => {
                self.handle(Event::HealthChecked { worker, outcome, report })
            }
        }
    }

    fn ask(&mut self, ask: RequestSpec, call: Rc<ForwardedRequest>, answer: Responder) {
        self.counters.requests_received.increment();
        let class = self.settings.classes.iter().find(|c| c.name == ask.class);
        // What the settings don't name is never repeated.
        let effect = class.map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let (request, deadline) = (ask.request, ask.deadline);
        log::debug!("request {}: {ask:?}", call.id);
        let open = Open {
            call,
            deadline,
            state: answer.request(),
            answer: Some(answer),
            effect,
            attempts: Vec::new(),
            held: HeldCache::default(),
            releasing: None,
        };
        self.open.insert(request, open);
        self.due.push(Reverse((deadline + self.settings.answer_grace, Due::Guard(request))));
        // Guards stand until their deadline, minutes away if the client says so, though most requests end long
        // before: those are cleared out once they are the most.
        if self.due.len() > 2 * self.open.len() + MOST_DUE {
            self.due.retain(|Reverse((_, due))| match due {
                Due::Timer(_) => true,
                Due::Guard(request) | Due::HeldCache(request) => self.open.contains_key(request),
            });
        }
        self.handle(Event::RequestReceived(ask));
    }

    /// The client has left, or has ended its sending and may still hear the answer.
    fn left(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        self.counters.client_disconnects.increment();
        open.attempts.iter_mut().filter(|slot| slot.streaming).for_each(|slot| slot.cancel = None);
        self.answer_itself(request);
        self.handle(Event::ClientDisconnected { request });
        self.forget(request);
    }

    fn first(&mut self, request: RequestId, attempt: AttemptIndex, feed: ResponseStream) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(slot) = open.attempts.get_mut(attempt.0 as usize) else { return };
        slot.begun.set(true);
        // An answer already given stands: the feed is dropped, and with it the attempt.
        if open.answer.is_none() {
            return;
        }
        slot.streaming = true;
        let sent = slot.sent;
        open.held.let_go();
        let Some(answer) = open.take_answer() else { return };
        let elapsed = self.clock.now().saturating_sub(sent);
        log::debug!("request {}: attempt {} streams after {elapsed} us", open.call.id, attempt.0);
        self.counters.responses_streamed.increment();
        if let Some(releasing) = open.releasing.take() {
            releasing.stop();
        }
        answer.stream(feed);
        self.handle(Event::StreamStarted { request, attempt, elapsed });
    }

    fn ended(
        &mut self,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: Outcome,
        kept: u64,
        report: Option<LoadReport>,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(slot) = open.attempts.get_mut(attempt.0 as usize).filter(|s| s.outcome.is_none()) else {
            return;
        };
        slot.outcome = Some(outcome);
        slot.cancel = None;
        let now = self.clock.now();
        let elapsed = now.saturating_sub(slot.sent);
        open.held.attempt_ended(&slot.worker, outcome, now);
        let release_due = open.held.release_due(self.settings.cache_hold_limit);
        log::debug!(
            "request {}: attempt {} ended {outcome:?} after {elapsed} us, {kept} kept",
            open.call.id,
            attempt.0
        );
        let settled = open.answer.is_none();
        let c = &self.counters;
        let count = match outcome {
            Outcome::PrefillCompleted => &c.attempts_prefill_completed,
            Outcome::Completed => &c.attempts_completed,
            Outcome::Rejected | Outcome::CacheMissing => &c.attempts_rejected,
            Outcome::ConnectFailed => &c.attempts_connect_failed,
            Outcome::ConnectionLost => &c.attempts_connection_lost,
            Outcome::TimedOut => &c.attempts_timed_out,
            Outcome::WorkerError => &c.attempts_worker_error,
            Outcome::Cancelled => &c.attempts_cancelled,
            Outcome::NotSent => &c.attempts_not_sent,
        };
        count.increment();
        self.due.extend(release_due.map(|at| Reverse((at, Due::HeldCache(request)))));
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished: settled,
            cached_tokens: kept,
            report,
        }));
        self.forget(request);
    }

    /// Guards against a module that has lost a request (after a panic, say): the client gets an answer all the same.
    fn guard(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request).filter(|open| open.answer.is_some()) else { return };
        let detail = "no decision by its deadline, ended by the driver";
        self.counters.violations.note(Rule::AnswerInTime, &open.call.id, detail);
        open.attempts.iter_mut().for_each(|slot| slot.cancel = None);
        self.release(request);
        self.answer_itself(request);
        self.handle(Event::ClientDisconnected { request });
        self.forget(request);
    }

    /// Gives the final answer, if there is none yet, without the module: a refusal only if nothing can have run.
    fn answer_itself(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(answer) = open.take_answer() else { return };
        let is_refusal = is_rejection_harmless(open.effect, open.may_have_run());
        log::debug!("request {}: ended by the driver, refused {is_refusal}", open.call.id);
        if is_refusal {
            self.counters.responses_rejected.increment();
            answer.reject(self.settings.retry_after_allowed.then_some(self.settings.max_retry_after));
        } else {
            self.counters.responses_failed.increment();
            answer.fail();
        }
    }

    fn forget(&mut self, request: RequestId) {
        if !self.open.get(&request).is_some_and(|o| o.answer.is_none() && !o.out()) {
            return;
        }
        let Some(over) = self.open.remove(&request) else { return };
        if over.held.is_held() {
            let detail = "something is held for a request that is over";
            self.counters.violations.note(Rule::NothingLeftBehind, &over.call.id, detail);
            self.outbound.release_cache(over.call, Rc::default());
        }
    }

    /// Hands an event to the module and carries out its actions. A panic of the module costs that decision
    /// only: requests it loses by it are ended by their guards.
    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.clock.now();
        let (policy, list) = (&mut self.policy, &mut actions);
        if catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, list))).is_err() {
            self.counters.panics.increment();
            log::error!("the module panicked; the event is skipped");
        }
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        // Only now: a release that follows the answer still has to find the request.
        while let Some(request) = self.ended.pop() {
            self.forget(request);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, stage, timeout, begin_before } => {
                self.send(request, worker, stage, timeout, begin_before);
            }
            Action::Reject { request, retry_after, reason } => self.refuse(request, retry_after, reason),
            Action::Fail { request, reason } => self.fail(request, reason),
            Action::CancelAttempt { request, attempt } => {
                let slot = self.open.get_mut(&request).and_then(|o| o.attempts.get_mut(attempt.0 as usize));
                if let Some(slot) = slot.filter(|s| !s.streaming) {
                    slot.cancel = None;
                }
            }
            Action::ReleaseCache { request } => self.release(request),
            Action::ReserveSlot { request, worker } => {
                if let Some(open) = self.open.get(&request) {
                    self.outbound.reserve_slot(request, open.call.clone(), worker);
                }
            }
            Action::MigrateStream { request } => {
                // Cut off without its last chunk, a stream makes its client come again for the rest.
                if let Some(open) = self.open.get_mut(&request) {
                    open.attempts.iter_mut().filter(|s| s.streaming).for_each(|s| s.cancel = None);
                }
            }
            Action::SetTimer { at, timer } => self.due.push(Reverse((at, Due::Timer(timer)))),
            Action::CheckHealth { worker } => self.outbound.check_health(worker),
            Action::CloseIdleConnections { worker } => self.outbound.close_idle_connections(&worker),
            // The client side watches discovery from its start on, and begins anew by itself what breaks: asking
            // once more would only cut off the watch that is about to be answered.
            Action::WatchEndpoints => {}
            Action::PollEndpoints => self.outbound.poll_endpoints(),
            Action::Gossip { .. } => {
                log::debug!("conductors share nothing here: a message to peers is dropped")
            }
            Action::Log(text) => log::info!("module: {text}"),
        }
    }

    fn refuse(&mut self, request: RequestId, retry_after: Option<Micros>, reason: EndReason) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.answer.is_some() && !is_rejection_harmless(open.effect, open.may_have_run()) {
            let detail = format!("a refusal ({reason:?}) is a failure");
            self.counters.violations.note(Rule::HonestRefusal, &open.call.id, detail);
            return self.fail(request, reason);
        }
        let Some(answer) = open.take_answer() else { return };
        log::debug!("request {}: refused: {reason:?}, retry after {retry_after:?} us", open.call.id);
        self.counters.responses_rejected.increment();
        answer.reject(retry_after);
        self.ended.push(request);
    }

    fn fail(&mut self, request: RequestId, reason: EndReason) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(answer) = open.take_answer() else { return };
        log::debug!("request {}: failed: {reason:?}", open.call.id);
        self.counters.responses_failed.increment();
        answer.fail();
        self.ended.push(request);
    }

    fn send(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        stage: Stage,
        timeout: Option<Micros>,
        begin_before: Option<Micros>,
    ) {
        let now = self.clock.now();
        let Some(open) = self.open.get_mut(&request) else { return };
        if let Err(rule) = may_attempt(&open.facts(&self.settings)) {
            self.counters.violations.note(rule, &open.call.id, format!("not sent to {}", worker.0));
            return;
        }
        let until = timeout.map_or(open.deadline, |t| open.deadline.min(now.saturating_add(t)));
        let attempt = AttemptIndex(open.attempts.len() as u32);
        let (cancel, cancelled) = oneshot::channel();
        let begun = Rc::<Cell<bool>>::default();
        let (cancel, slot_begun) = (Some(cancel), begun.clone());
        open.attempts.push(Slot {
            sent: now,
            worker: worker.clone(),
            stage,
            cancel,
            outcome: None,
            begun: slot_begun,
            streaming: false,
        });
        let call = open.call.clone();
        let before = open.attempts.iter().rev().nth(1).and_then(|slot| slot.outcome);
        log::debug!(
            "request {}: attempt {} to {}, {} us, after {before:?}",
            call.id,
            attempt.0,
            worker.0,
            until.saturating_sub(now)
        );
        let after = open.releasing.take();
        open.held.attempt_sent();
        self.outbound.send(Attempt {
            request,
            state: open.state.clone(),
            attempt,
            worker,
            stage,
            forwarded: call,
            until,
            begin_before,
            after,
            cancelled,
            begun,
        });
    }

    /// Releases what is held for a request if its limit is over, whatever the policy makes of it.
    fn check_held_state(&mut self, request: RequestId, now: Micros) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(due) = open.held.release_due(self.settings.cache_hold_limit) else { return };
        if due > now {
            self.due.push(Reverse((due, Due::HeldCache(request))));
            return;
        }
        log::debug!("request {}: what is held is released under an unanswered attempt", open.call.id);
        self.counters.cache_releases_forced.increment();
        self.begin_release(request);
        if let Some(open) = self.open.get_mut(&request) {
            open.held.released_unattended();
        }
    }

    fn release(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.held.let_go();
        self.begin_release(request);
    }

    fn begin_release(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let releasing = Rc::new(ReleaseProgress::of(open.held.holder()));
        self.counters.cache_releases.increment();
        self.outbound.release_cache(open.call.clone(), releasing.clone());
        open.releasing = Some(releasing);
    }
}

#[cfg(test)]
mod tests;
