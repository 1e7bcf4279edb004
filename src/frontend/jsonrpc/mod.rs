//! JSON-RPC 2.0 over HTTP for clients on unreliable networks, with tool calls relayed while an answer
//! streams.
//!
//! A client posts a request whose method is a request class. The response body is newline-delimited JSON:
//! `delta` and `tool` notifications while the answer streams, then the JSON-RPC response. The decode worker
//! may send a JSON-RPC request as an event of its stream, a tool call: the router forwards it to the tool
//! server through the replay buffer and posts the result to the worker, which then continues its stream.
//!
//! When a stream breaks, the client's connection closes without the last chunk. The client resumes: it sends
//! its request again under the same name and states how much of the answer it has received. The replay buffer
//! supplies the outcomes of tool calls that have already run.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `protocol` | wire format of requests, responses and notifications |
//! | `error` | error objects for clients and workers |
//! | `params` | parameters of clients' requests, and the request body for workers |
//! | `service` | the service, with the state shared by all connections |
//! | `message_handler` | handles one HTTP message: a request, a notification or a batch |
//! | `active_calls` | calls in progress by name: duplicates, takeover, cancellation |
//! | `call` | starts a call: submits its request and waits for the worker's stream |
//! | `relay`, `tool_call` | relay a stream to the client, and a tool call within it |
//! | `relay_error` | errors that end a relay early |
//! | `sse`, `worker_event` | the worker's event stream: framing, and decoding of events |
//! | `output` | destinations of an answer: a streamed body or a batch response |
//! | `replay_buffer`, `tool_client` | run each tool call at most once, and send it to the tool server |

mod active_calls;
mod call;
mod error;
mod message_handler;
mod output;
mod params;
mod protocol;
mod relay;
mod relay_error;
mod replay_buffer;
mod service;
mod sse;
mod tool_call;
mod tool_client;
mod worker_event;

pub use service::JsonRpcService;
