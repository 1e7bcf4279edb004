//! The upstream side: the connection pool, attempts at requests, response streams and unary calls to workers.
//!
//! [`client::UpstreamClient`] is the entry point. An attempt takes a connection from the [`pool`], sends its
//! request under a write guard, reads the response, and relays it to the client if it is a stream. A request
//! may have run only if its last byte was written, which [`pool::WriteProgress`] tracks at the socket.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `client` | the upstream client, with the state shared by all other modules |
//! | `outbound` | implements the driver's [`Outbound`](crate::runtime::Outbound): spawns a task per call |
//! | `attempt`, `completion` | the steps of an attempt, and the report of its result |
//! | `forward`, `write_guard` | builds the forwarded request, and checks before each write of it |
//! | `response` | classifies responses |
//! | `event_stream`, `event_validator`, `event_kind` | validate event streams, and tell which events are progress |
//! | `stream`, `stream_progress`, `stream_tail` | the relay of a stream to the client |
//! | `call` | unary calls outside of attempts, used by `release`, `slot`, `health` and `stream` |
//! | `release`, `slot`, `health` | cache releases, slot reservations and health checks |
//! | `load_report` | the workers' load reports |
//! | `pool`, `connection` | connections and their reuse |
//! | `write_progress`, `response_limits` | the progress of a request and the limits of its response, at the socket |

mod attempt;
mod call;
pub mod client;
mod completion;
mod connection;
mod event_kind;
mod event_stream;
mod event_validator;
mod forward;
mod health;
mod load_report;
mod outbound;
pub mod pool;
mod release;
mod response;
mod response_limits;
mod slot;
mod stream;
mod stream_progress;
mod stream_tail;
mod write_guard;
mod write_progress;
