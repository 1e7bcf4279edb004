//! Connections to workers: the connection pool, attempts at requests, response streams, and the calls around them.
//!
//! [`client::UpstreamClient`] is the entry point. An attempt takes a connection from the [`pool`], sends its request
//! under a write guard, reads the response, and relays it to the client if it is a stream. Whether a request may have
//! run depends on whether its last byte was written, which [`pool::WriteProgress`] observes at the socket.
//!
//! | module | job |
//! | --- | --- |
//! | `client` | addresses, connections and the driver, for all of the below |
//! | `outbound` | the driver's [`Outbound`](crate::runtime::Outbound): starts the calls |
//! | `attempt`, `completion` | the steps of an attempt, and the report of its end |
//! | `forward`, `write_guard` | the request as it is written, and the check before each write |
//! | `response`, `event_stream` | what a worker answered, up to the first event of a stream |
//! | `stream`, `stream_tail` | the relay of a stream to the client |
//! | `call` | single calls beside the attempts, used by `release`, `slot`, `health` and `stream` |
//! | `release`, `slot`, `health` | cache releases, slot reservations and health checks |
//! | `load_report` | the workers' load reports |
//! | `pool`, `connection`, `write_progress` | connections, their reuse, and what was written to them |

mod attempt;
mod call;
pub mod client;
mod completion;
mod connection;
mod event_stream;
mod forward;
mod health;
mod load_report;
mod outbound;
pub mod pool;
mod release;
mod response;
mod slot;
mod stream;
mod stream_tail;
mod write_guard;
mod write_progress;
