//! The JSON-RPC service, with the state shared by all client connections.

use super::active_calls::ActiveCalls;
use super::call::CallStarter;
use super::message_handler::{HandlerContext, MessageHandler};
use super::replay_buffer::ReplayBuffer;
use crate::config::ToolSettings;
use crate::frontend::context::ServiceContext;
use crate::frontend::response_body::ResponseBody;
use crate::net::buffer_limit::BufferLimit;
use crate::net::server::client_socket::ClientSocket;
use bytes::Bytes;
use hyper::Response;
use std::rc::Rc;
use std::time::Duration;

/// Serves JSON-RPC to clients.
pub struct JsonRpcService {
    /// The path that is served.
    pub path: String,
    handler_context: Rc<HandlerContext>,
}

impl JsonRpcService {
    /// Creates a service. `seed` varies the ids of forwarded requests.
    pub fn new(
        context: Rc<ServiceContext>,
        settings: ToolSettings,
        connect_timeout: Duration,
        buffer_limit: BufferLimit,
        seed: u64,
    ) -> Rc<Self> {
        let path = settings.listen_path.clone();
        let counters = context.counters.clone();
        let replay_buffer = ReplayBuffer::new(settings, connect_timeout, buffer_limit, counters.clone());
        let active_calls = ActiveCalls::new();
        let call_starter = CallStarter::new(context, active_calls.clone(), seed);
        let handler_context = HandlerContext { call_starter, active_calls, replay_buffer, counters };
        Rc::new(JsonRpcService { path, handler_context: Rc::new(handler_context) })
    }

    /// Evicts expired tool call outcomes and idle connections to the tool server. Must be called
    /// periodically: tool calls evict too, but there may be none.
    pub fn evict_expired(&self) {
        self.handler_context.replay_buffer.evict_expired();
    }

    /// Handles one HTTP message: a request, a notification or a batch. Dropping the future cancels a single
    /// request that has not begun to stream. The requests of a batch run in separate tasks, which end once
    /// they detect that the client has disconnected.
    pub async fn respond(self: Rc<Self>, body: Bytes, client: &Rc<ClientSocket>) -> Response<ResponseBody> {
        MessageHandler::new(self.handler_context.clone(), client.clone()).respond(body).await
    }
}
