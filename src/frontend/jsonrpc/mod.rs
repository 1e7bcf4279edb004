//! JSON-RPC 2.0 over HTTP for clients on unreliable links, with tool calls relayed while an answer streams.
//!
//! A client posts a request whose method is a request class. The response body is newline-delimited JSON: `delta`
//! and `tool` notifications while the answer streams, then the JSON-RPC response. The decode worker may put a
//! JSON-RPC request of its own into its stream: the router forwards it to the tool server through the
//! replay buffer, posts the result back to the worker, and the stream goes on.
//!
//! When a stream breaks, the client's connection ends without its last chunk. The client sends its request again
//! under the same name and says how much of the answer it has; the replay buffer answers the tool calls that have
//! already run.
//!
//! | module | its job |
//! | --- | --- |
//! | `protocol` | requests, responses and notifications as they stand on the wire |
//! | `error` | the errors that clients and workers receive |
//! | `params` | the parameters of clients' requests, and the body forwarded to workers |
//! | `service` | owns the state that all connections share |
//! | `session` | answers one HTTP message: a request, a notification or a batch |
//! | `active_calls` | the calls in progress by name: duplicates, takeover, cancellation |
//! | `call` | takes one call from its parameters to the worker's stream |
//! | `relay`, `tool_call` | relay a stream to the client, and one tool call within it |
//! | `relay_error` | why a relay ends early |
//! | `sse`, `worker_event` | the worker's event stream: framing, and the meaning of an event |
//! | `output` | where the lines of an answer go |
//! | `replay_buffer`, `tool_client` | run each tool call at most once, and talk to the tool server |

mod active_calls;
mod call;
mod error;
mod output;
mod params;
mod protocol;
mod relay;
mod relay_error;
mod replay_buffer;
mod service;
mod session;
mod sse;
mod tool_call;
mod tool_client;
mod worker_event;

pub use service::JsonRpcService;
