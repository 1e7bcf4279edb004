//! The interface of the policy: settings and events as input, actions as output.
//!
//! These are plain data types, shared by the policy, the driver, the network code and the simulator's
//! adapter. Times are in microseconds on the caller's clock.

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

/// Microseconds: a point in time on the caller's monotonic clock, or a duration.
pub type Micros = u64;

/// The identifier of a timer, chosen by the policy in [`Action::SetTimer`] and returned in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
