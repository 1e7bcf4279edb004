//! The JSON-RPC service: the state that its clients' connections share.

use super::active_calls::ActiveCalls;
use super::call::CallStarter;
use super::replay_buffer::ReplayBuffer;
use super::session::{Session, SessionContext};
use crate::config::ToolSettings;
use crate::frontend::context::ServiceContext;
use crate::frontend::response_body::ResponseBody;
use crate::net::server::client_socket::ClientSocket;
use bytes::Bytes;
use hyper::Response;
use std::rc::Rc;
use std::time::Duration;

/// Serves JSON-RPC to clients.
pub struct JsonRpcService {
    /// The path at which clients reach it.
    pub path: String,
    session_context: Rc<SessionContext>,
}

impl JsonRpcService {
    /// A service over what the server's connections share.
    pub fn new(
        context: Rc<ServiceContext>,
        settings: ToolSettings,
        connect_timeout: Duration,
        seed: u64,
    ) -> Rc<Self> {
        let path = settings.listen_path.clone();
        let counters = context.counters.clone();
        let replay_buffer = ReplayBuffer::new(settings, connect_timeout, counters.clone());
        let active_calls = ActiveCalls::new();
        let call_starter = CallStarter::new(context, active_calls.clone(), seed);
        let session_context = SessionContext { call_starter, active_calls, replay_buffer, counters };
        Rc::new(JsonRpcService { path, session_context: Rc::new(session_context) })
    }

    /// Frees what has expired. Called at intervals, as there may be no tool call that would do so.
    pub fn evict_expired(&self) {
        self.session_context.replay_buffer.evict_expired();
    }

    /// Answers one HTTP message: a request, a notification or a batch. Dropping the future drops a single request that
    /// has not begun to stream; the requests of a batch run in tasks of their own, and end once they see that the
    /// client has disconnected.
    pub async fn respond(self: Rc<Self>, body: Bytes, client: &Rc<ClientSocket>) -> Response<ResponseBody> {
        Session::new(self.session_context.clone(), client.clone()).respond(body).await
    }
}
