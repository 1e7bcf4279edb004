//! The driver: the loop that feeds the policy its events and executes its actions.
//!
//! What happens is handled in [`inputs`](self::inputs), what the policy wants done in
//! [`actions`](self::actions), and what the driver does by itself when a limit is reached in
//! [`limits`](self::limits).

mod actions;
mod inputs;
mod limits;

use super::clock::Clock;
use super::counters::Counters;
use super::handle::DriverInput;
use super::input_queue::InputQueue;
use super::lag::{LATE, LagChange, LagMonitor};
use super::outbound::Outbound;
use super::request_table::RequestTable;
use super::timers::{TimerEntry, TimerQueue};
use crate::interface::{Action, Event, Micros, RequestId, Settings};
use crate::policy::Policy;
use crate::rules::Invariant;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Log lines state times in ms.
const MICROS_PER_MS: Micros = 1000;

/// The driver yields the thread after this long, however many inputs wait.
const TURN: Micros = 5_000;

/// Whether inputs may still wait at the end of a turn.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    Empty,
    Remains,
}

/// The driver of one policy.
pub struct Driver {
    policy: Policy,
    settings: Settings,
    clock: Clock,
    outbound: Rc<dyn Outbound>,
    counters: Rc<Counters>,
    requests: RequestTable,
    timers: TimerQueue,
    lag: LagMonitor,
    /// Empty between two events; kept for its memory.
    actions: Vec<Action>,
    /// Requests that the actions of the present event have answered.
    answered: Vec<RequestId>,
}

impl Driver {
    /// A driver around a new policy.
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
            requests: RequestTable::default(),
            timers: TimerQueue::default(),
            lag: LagMonitor::default(),
            actions: Vec::new(),
            answered: Vec::new(),
        }
    }

    /// Runs until every handle is dropped. Dropping the future drops all requests: those without a final
    /// answer fail.
    pub async fn run(mut self, inputs: mpsc::UnboundedReceiver<DriverInput>) {
        let mut inputs = InputQueue::new(inputs);
        loop {
            let next_due = self.timers.next_due().map(|at| self.clock.instant(at));
            let timer = async {
                match next_due {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // Inputs come first, so that a timer is handled with everything known that happened before
                // it.
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = timer => {}
            }
            if self.work_off(&mut inputs) == Backlog::Remains {
                // Streams and connections are served by other tasks of this thread.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Handles the inputs that wait, for one turn of the thread at most.
    fn work_off(&mut self, inputs: &mut InputQueue) -> Backlog {
        let turn_end = self.clock.now() + TURN;
        // After each input: a queue that is never empty must not starve the timers.
        self.fire_due_timers();
        while self.clock.now() < turn_end {
            let Some(input) = inputs.try_recv() else { return Backlog::Empty };
            self.handle_input(input);
            self.fire_due_timers();
        }
        Backlog::Remains
    }

    fn fire_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some((due, entry)) = self.timers.pop_due(now) {
            match entry {
                TimerEntry::Policy(timer) => {
                    self.record_lag(due, now);
                    self.notify_policy(Event::Timer(timer));
                }
                TimerEntry::AnswerDeadline(request) => self.enforce_answer_deadline(request),
                TimerEntry::CacheHoldLimit(request) => self.enforce_cache_hold_limit(request, now),
            }
        }
    }

    /// Records how late a timer of the policy fires. There is one for as long as a request is in progress.
    fn record_lag(&mut self, due: Micros, now: Micros) {
        if now.saturating_sub(due) > LATE {
            self.counters.late_timers.increment();
        }
        let in_progress = self.requests.len();
        match self.lag.record_timer(due, now) {
            Some(LagChange::FellBehind { lag }) => log::warn!(
                "the router is short of CPU time: its timers are {} ms late, {in_progress} requests are in progress",
                lag / MICROS_PER_MS
            ),
            Some(LagChange::CaughtUp { after }) => log::warn!(
                "the router's timers are on time again after {} ms, {in_progress} requests are in progress",
                after / MICROS_PER_MS
            ),
            None => {}
        }
    }

    /// Hands an event to the policy and executes the actions that it returns. A panic of the policy costs
    /// that decision only: a request that the policy loses by it is ended at its answer deadline.
    fn notify_policy(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.clock.now();
        let policy = &mut self.policy;
        if catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions))).is_err() {
            self.counters.panics.increment();
            log::error!("the policy panicked; the event is skipped");
        }
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        // Only after all actions: a release that follows the final answer has to find its request.
        while let Some(request) = self.answered.pop() {
            self.remove_if_finished(request);
        }
    }

    /// Removes a request from the table if it has its final answer and no attempt in flight. A KV cache that
    /// is still held for it is released.
    fn remove_if_finished(&mut self, request: RequestId) {
        let Some(finished) = self.requests.remove_if_finished(request) else { return };
        if finished.holds_cache() {
            let detail = "a KV cache is held for a request that is over";
            self.counters.violations.record(Invariant::CacheReleased, finished.id(), detail);
            self.outbound.release_cache(finished.forwarded(), Rc::default());
        }
    }
}

#[cfg(test)]
mod tests;
