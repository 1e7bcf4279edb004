//! A request in the driver's table.

use super::held::HeldCache;
use super::outbound::ReleaseProgress;
use crate::interface::{Idempotency, Micros, Outcome, Settings, Stage, WorkerId};
use crate::rules::send::RequestFacts;
use crate::runtime::exchange::{ForwardedRequest, RequestState, Responder};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that has no final answer yet, or attempts still out.
pub(super) struct Open {
    pub call: Rc<ForwardedRequest>,
    pub deadline: Micros,
    /// Gone once the final answer is given.
    pub answer: Option<Responder>,
    pub state: RequestState,
    pub effect: Idempotency,
    pub attempts: Vec<Slot>,
    pub held: HeldCache,
    pub releasing: Option<Rc<ReleaseProgress>>,
}

/// One attempt of it.
pub(super) struct Slot {
    pub sent: Micros,
    pub worker: WorkerId,
    /// What its worker was asked to do. A prefill alone has no effect.
    pub stage: Stage,
    pub cancel: Option<oneshot::Sender<()>>,
    pub outcome: Option<Outcome>,
    pub begun: Rc<Cell<bool>>,
    pub streaming: bool,
}

impl Open {
    /// Whether an attempt is out.
    pub fn out(&self) -> bool {
        self.attempts.iter().any(|s| s.outcome.is_none())
    }

    /// Whether an attempt that is over, or one that is out at a decode worker, may have had an effect.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|slot| match slot.outcome {
            None => true,
            Some(outcome) => slot.stage == Stage::Decode && !outcome.had_no_effect(),
        })
    }

    /// What is known of it, for whoever decides on another attempt.
    pub fn facts(&self, settings: &Settings) -> RequestFacts {
        RequestFacts {
            is_answered: self.answer.is_none(),
            attempts: self.attempts.len(),
            max_attempts: settings.max_attempts as usize,
            attempts_out: self.attempts.iter().filter(|slot| slot.outcome.is_none()).count(),
            hedging_allowed: settings.hedging_allowed,
            effect: self.effect,
            may_have_run: self.may_have_run(),
        }
    }

    /// Takes the final answer, once. Whoever gives it, what has not begun does not begin any more, also where attempts
    /// may not be dropped.
    pub fn take_answer(&mut self) -> Option<Responder> {
        let answer = self.answer.take()?;
        for slot in self.attempts.iter_mut().filter(|slot| !slot.begun.get()) {
            slot.cancel = None;
        }
        Some(answer)
    }
}
