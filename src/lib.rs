//! A request router for language-model servers with separate prefill and decode workers.
//!
//! All routing decisions are made by [`Policy`], which the router and the simulator's adapter ([`simulator`])
//! share. In the router, [`runtime`] drives the policy, [`net`] manages the connections to clients, workers
//! and discovery, and [`frontend`] implements the client protocols. The two sides of a request communicate
//! only through an [`exchange`](runtime::exchange).
//!
//! [`Policy`] is a state machine without I/O: the caller passes events with their time to it, and executes
//! the actions that it appends to the caller's list. The same sequence of events always gives the same
//! actions. [`interface`] defines settings, events and actions.
//!
//! ```
//! use llm_router::Policy;
//! use llm_router::interface::*;
//!
//! let kind = |name: &str, role| WorkerKind { name: name.into(), role, kv_cache_tokens: Some(200_000) };
//! let settings = Settings {
//!     replica_count: 1,
//!     worker_kinds: vec![kind("prefill", Role::Prefill), kind("decode", Role::Decode)],
//!     classes: vec![Class { name: "chat".into(), first_token_objective: 1_000_000, ..Class::default() }],
//!     max_attempts: 4,
//!     cache_hold_limit: 500_000,
//!     connect_timeout: 250_000,
//!     ..Settings::default()
//! };
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//! let endpoint = |name: &str, kind: &str| Endpoint {
//!     worker: WorkerId(name.into()),
//!     zone: "zone-1".into(),
//!     kind: kind.into(),
//!     cell: 0,
//!     status: WorkerStatus::Ready,
//!     weight: 1.0,
//!     started_at: None,
//! };
//! let endpoints = vec![endpoint("a:1", "prefill"), endpoint("b:1", "decode")];
//! policy.handle(0, Event::EndpointsUpdated { kind: UpdateKind::Snapshot, endpoints }, &mut actions);
//!
//! let request = RequestSpec {
//!     request: RequestId(1),
//!     deadline: 4_000_000,
//!     session: None,
//!     prefix: None,
//!     prefix_tokens: 0,
//!     prompt_tokens: 900,
//!     max_tokens: 200,
//!     expected_decode_time: None,
//!     class: "chat".into(),
//!     tenant: None,
//! };
//! policy.handle(1_000, Event::RequestReceived(request), &mut actions);
//! let sent_to_prefill = actions
//!     .iter()
//!     .any(|action| matches!(action, Action::Send { worker, .. } if &*worker.0 == "a:1"));
//! assert!(sent_to_prefill);
//! ```

pub mod config;
pub mod frontend;
mod hashing;
pub mod import;
pub mod interface;
pub mod logging;
pub mod net;
pub mod policy;
pub mod process;
pub mod rules;
pub mod runtime;
pub mod simulator;
pub mod wire_format;

pub use policy::Policy;
