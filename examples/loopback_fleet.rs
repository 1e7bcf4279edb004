//! A fleet on loopback for trying out the router: a prefill worker, a decode worker and a tool server.
//!
//! Its addresses are those of `deploy/operator.toml`:
//!
//! ```text
//! cargo run --example loopback_fleet
//! cargo run -- serve deploy/operator.toml
//! ```

use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

const PREFILL_ADDRESS: &str = "127.0.0.1:9101";
const DECODE_ADDRESS: &str = "127.0.0.1:9201";
const TOOL_ADDRESS: &str = "127.0.0.1:9300";

/// The path, up to the request id, to which the router posts the results of tool calls.
const TOOL_RESULT_PATH_PREFIX: &str = "/internal/tool-results/";
/// The delay before each event of a stream.
const INTER_TOKEN_DELAY: Duration = Duration::from_millis(60);
/// The maximum number of events of a stream that are queued to be written.
const MAX_QUEUED_EVENTS: usize = 4;

type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>;
type StreamEvent = Result<Frame<Bytes>, Infallible>;
/// The channels to streams that wait for the result of a tool call, by request id.
type PendingToolCalls = Rc<RefCell<HashMap<String, oneshot::Sender<String>>>>;

fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Accepts every prefill request, and sends an empty response to everything else.
async fn prefill_worker(request: Request<Incoming>) -> Response<Body> {
    let is_prefill = request.method() == Method::POST;
    let _ = request.into_body().collect().await;
    if is_prefill {
        response(StatusCode::ACCEPTED, r#"{"cached_tokens":0}"#)
    } else {
        response(StatusCode::NO_CONTENT, "")
    }
}

/// Streams a short completion. It includes a tool call for JSON-RPC requests of the method `send`, which the
/// router forwards as the model.
async fn decode_worker(request: Request<Incoming>, pending: PendingToolCalls) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let is_post = request.method() == Method::POST;
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let body = String::from_utf8_lossy(&body).into_owned();
    if let Some(id) = path.strip_prefix(TOOL_RESULT_PATH_PREFIX) {
        return deliver_tool_result(id, body, &pending);
    }
    if !is_post {
        return response(StatusCode::NO_CONTENT, "");
    }
    let calls_tool = body.contains(r#""model":"send""#);
    let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    tokio::task::spawn_local(stream_completion(EventSender(sender), calls_tool.then_some(id), pending));
    event_stream(events)
}

/// Passes the result of a tool call to the stream that waits for it.
fn deliver_tool_result(id: &str, result: String, pending: &PendingToolCalls) -> Response<Body> {
    let stream = pending.borrow_mut().remove(id);
    let is_delivered = stream.is_some_and(|stream| stream.send(result).is_ok());
    response(if is_delivered { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND }, "")
}

/// Sends server-sent events to the body of one response.
struct EventSender(mpsc::Sender<StreamEvent>);

impl EventSender {
    /// Sends an event, which is dropped if the client has disconnected.
    async fn send(&self, data: &str) {
        tokio::time::sleep(INTER_TOKEN_DELAY).await;
        let event = Frame::data(Bytes::from(format!("data: {data}\n\n")));
        let _ = self.0.send(Ok(event)).await;
    }

    /// Sends a delta of the completion's text.
    async fn send_text(&self, text: &str) {
        let delta = serde_json::json!({
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}]
        });
        self.send(&delta.to_string()).await;
    }
}

/// Streams a completion. `tool_caller` is the id of the request if its completion includes a tool call.
async fn stream_completion(events: EventSender, tool_caller: Option<String>, pending: PendingToolCalls) {
    for word in ["The ", "clause ", "says: "] {
        events.send_text(word).await;
    }
    if let Some(id) = tool_caller {
        let (sender, result) = oneshot::channel();
        pending.borrow_mut().insert(id, sender);
        events.send(r#"{"jsonrpc":"2.0","id":"w1","method":"annex.fetch","params":{"page":1}}"#).await;
        events.send_text(&result.await.unwrap_or_default()).await;
    }
    events.send(r#"{"choices":[{"index":0,"delta":{"content":" Done."},"finish_reason":"stop"}]}"#).await;
    events.send("[DONE]").await;
}

fn event_stream(events: mpsc::Receiver<StreamEvent>) -> Response<Body> {
    let next = async |mut events: mpsc::Receiver<StreamEvent>| Some((events.recv().await?, events));
    let body = StreamBody::new(futures_util::stream::unfold(events, next)).boxed_unsync();
    let mut response = Response::new(body);
    response.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
    response
}

/// A JSON-RPC tool server that prints each call and returns the same result for all of them.
async fn tool_server(request: Request<Incoming>) -> Response<Body> {
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let call: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    println!("tool: {call}");
    let result =
        serde_json::json!({"jsonrpc": "2.0", "id": call["id"], "result": {"annex": "text of the annex"}});
    response(StatusCode::OK, result.to_string())
}

/// Serves HTTP on an address for as long as the process runs.
async fn serve<F: Future<Output = Response<Body>> + 'static>(
    address: &str,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) {
    let address: SocketAddr = address.parse().expect("an address");
    let listener = TcpListener::bind(address).await.expect("the address is free");
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let pending = PendingToolCalls::default();
    println!("prefill worker {PREFILL_ADDRESS}, decode worker {DECODE_ADDRESS}, tool server {TOOL_ADDRESS}");
    let fleet = async {
        tokio::join!(
            serve(PREFILL_ADDRESS, prefill_worker),
            serve(DECODE_ADDRESS, move |request| decode_worker(request, pending.clone())),
            serve(TOOL_ADDRESS, tool_server),
        )
    };
    tokio::task::LocalSet::new().run_until(fleet).await;
}
