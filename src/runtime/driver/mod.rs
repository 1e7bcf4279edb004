//! The driver: the event loop that passes events to the policy and executes its actions.
//!
//! [`inputs`] handles the driver's inputs, [`actions`] executes the policy's actions, and [`limits`] enforces
//! time limits independently of the policy.

mod actions;
mod inputs;
mod limits;

use super::clock::Clock;
use super::counters::Counters;
use super::handle::DriverInput;
use super::input_queue::InputQueue;
use super::lag::{LATE_TIMER_THRESHOLD, LagChange, LagMonitor};
use super::outbound::Outbound;
use super::request_table::RequestTable;
use super::timers::{TimerEntry, TimerQueue};
use crate::interface::{Action, Event, Micros, RequestId, Settings};
use crate::policy::Policy;
use crate::rules::Invariant;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::mpsc;

const MICROS_PER_MS: Micros = 1000;

/// The time after which the driver yields the thread, even if inputs are pending.
const MAX_TURN_DURATION: Micros = 5_000;

/// Whether inputs may still be pending at the end of a turn.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Backlog {
    Empty,
    Remains,
}

/// The event loop around one policy.
pub struct Driver {
    policy: Policy,
    settings: Settings,
    clock: Clock,
    outbound: Rc<dyn Outbound>,
    counters: Rc<Counters>,
    requests: RequestTable,
    timers: TimerQueue,
    lag: LagMonitor,
    /// A buffer that is reused for each event and is empty between events.
    actions: Vec<Action>,
    /// Requests that got their final response through actions on the current event.
    responded: Vec<RequestId>,
}

impl Driver {
    /// Creates a driver with a new policy.
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
            responded: Vec::new(),
        }
    }

    /// Runs until every handle is dropped. Dropping the future drops all requests; those without a final
    /// response fail.
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
                // Inputs come first: a timer is handled after all inputs that arrived before it.
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = timer => {}
            }
            if self.handle_pending_inputs(&mut inputs) == Backlog::Remains {
                // Other tasks of this thread serve streams and connections.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Handles pending inputs until there are none or the turn is over.
    fn handle_pending_inputs(&mut self, inputs: &mut InputQueue) -> Backlog {
        let turn_end = self.clock.now() + MAX_TURN_DURATION;
        // Timers fire after each input, so that a queue that is never empty does not starve them.
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
                TimerEntry::ResponseDeadline(request) => self.enforce_response_deadline(request),
                TimerEntry::CacheHoldLimit(request) => self.enforce_cache_hold_limit(request, now),
            }
        }
    }

    /// Records how late a timer of the policy fires. The policy has a timer while any request is in progress.
    fn record_lag(&mut self, due: Micros, now: Micros) {
        if now.saturating_sub(due) > LATE_TIMER_THRESHOLD {
            self.counters.late_timers.increment();
        }
        let in_progress = self.requests.len();
        match self.lag.record_timer(due, now) {
            Some(LagChange::Overloaded { lag }) => log::warn!(
                "CPU overload: timers fire {} ms late, {in_progress} requests in progress",
                lag / MICROS_PER_MS
            ),
            Some(LagChange::Recovered { after }) => log::warn!(
                "CPU overload ended after {} ms, {in_progress} requests in progress",
                after / MICROS_PER_MS
            ),
            None => {}
        }
    }

    /// Passes an event to the policy and executes the resulting actions. A panic in the policy is caught and
    /// affects this event only: a request that the policy loses track of is ended at its response deadline.
    fn notify_policy(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.clock.now();
        let policy = &mut self.policy;
        if catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions))).is_err() {
            self.counters.panics.increment();
            log::error!("the policy panicked; event skipped");
        }
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        // Done after all actions, since a cache release may follow the final response of its request.
        while let Some(request) = self.responded.pop() {
            self.remove_if_finished(request);
        }
    }

    /// Removes a request from the table if it has its final response and no attempt in flight. A KV cache
    /// that is still held for it is released.
    fn remove_if_finished(&mut self, request: RequestId) {
        let Some(finished) = self.requests.remove_if_finished(request) else { return };
        if finished.is_abandoned() {
            finished.forwarded().abandonment.record();
        }
        if finished.holds_cache() {
            let detail = "a KV cache is still held after the end of the request";
            self.counters.violations.record(Invariant::CacheReleased, finished.id(), detail);
            self.outbound.release_cache(finished.forwarded(), Rc::default());
        }
    }
}

#[cfg(test)]
mod tests;
