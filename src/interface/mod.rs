//! What goes into the policy and what comes out: settings, events and actions.
//!
//! Everything here is plain data in the terms of the domain, shared by the policy, the driver, the network code and the
//! simulator's adapter. Times are microseconds on the caller's clock.

mod action;
mod attempt;
mod endpoint;
mod event;
mod request;
mod settings;

pub use action::{Action, EndReason};
pub use attempt::{AttemptEnd, AttemptIndex, LoadReport, Outcome, Stage};
pub use endpoint::{Endpoint, UpdateKind, WorkerId, WorkerStatus};
pub use event::Event;
pub use request::{RequestId, RequestSpec};
pub use settings::{
    Class, DeduplicationScope, Idempotency, LoadReporting, Role, Settings, Tenant, WorkerKind,
};

/// Microseconds: a moment on the caller's monotonic clock, or a length of time.
pub type Micros = u64;

/// Names a timer that the policy has set; handed back when the timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
