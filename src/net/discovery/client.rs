//! HTTP client of the discovery agent.

use super::MAX_MESSAGE_BYTES;
use super::connector::Connector;
use super::error::DiscoveryError;
use super::hedging::{CallActivity, call_with_hedging};
use super::message_timer::{MessageTimeout, MessageTimer};
use super::messages::EndpointListMessage;
use super::mode::DiscoveryMode;
use super::update::EndpointUpdate;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::time::timeout_at;

const LIST_PATH: &str = "/v1/servers";

/// HTTP client of one discovery agent; opens a new connection for each call. Whether a call is hedged, and its
/// timeout up to the response head, depend on the mode.
pub struct DiscoveryClient {
    address: SocketAddr,
    connector: Connector,
    mode: DiscoveryMode,
}

impl DiscoveryClient {
    /// Creates a client of the agent at `address`.
    pub fn new(address: SocketAddr, connector: Connector, mode: DiscoveryMode) -> Self {
        DiscoveryClient { address, connector, mode }
    }

    /// Fetches the complete list, whose body may take `message_timeout`.
    pub async fn poll(&self, message_timeout: &MessageTimeout) -> Result<EndpointUpdate, DiscoveryError> {
        let activity = CallActivity::start();
        let call = || self.fetch_list(&activity, message_timeout);
        call_with_hedging(&self.name_call(LIST_PATH), self.mode.hedging(), &activity, call).await
    }

    /// Opens a watch of the changes after a sequence number.
    pub async fn open_watch(&self, after: u64) -> Result<Incoming, DiscoveryError> {
        let target = format!("{LIST_PATH}?watch=1&after={after}");
        let activity = CallActivity::start();
        let call = || self.get(&target);
        let response =
            call_with_hedging(&self.name_call(&target), self.mode.hedging(), &activity, call).await?;
        Ok(response.into_body())
    }

    /// The name of a call in the log.
    fn name_call(&self, target: &str) -> String {
        format!("GET {target} at {}", self.address)
    }

    /// Fetches the complete list, and records the head and the data of the response as activity.
    async fn fetch_list(
        &self,
        activity: &CallActivity,
        message_timeout: &MessageTimeout,
    ) -> Result<EndpointUpdate, DiscoveryError> {
        let response = self.get(LIST_PATH).await?;
        activity.record();
        let body = read_body(response.into_body(), activity, MessageTimer::start(message_timeout)).await?;
        let message: EndpointListMessage = serde_json::from_slice(&body).map_err(DiscoveryError::Parse)?;
        // The response to a poll is the complete list, even if the message does not say so.
        Ok(EndpointUpdate { complete: true, ..message.into() })
    }

    /// Sends a request and returns its response once the head has arrived, with the call timeout of the mode.
    async fn get(&self, target: &str) -> Result<Response<Incoming>, DiscoveryError> {
        let timeout = self.mode.call_timeout();
        tokio::time::timeout(timeout, self.send(target)).await.unwrap_or_else(|_| {
            Err(DiscoveryError::CallTimedOut { address: self.address, target: target.to_owned(), timeout })
        })
    }

    /// Connects and sends a request. The connection is driven by its own task, which ends when the response is
    /// dropped, or when this future is dropped before it returns.
    async fn send(&self, target: &str) -> Result<Response<Incoming>, DiscoveryError> {
        let address = self.address;
        let stream =
            (self.connector)(address).await.map_err(|source| DiscoveryError::Connect { address, source })?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|source| DiscoveryError::Handshake { address, source })?;
        tokio::task::spawn_local(connection);
        let request = Request::get(target)
            .header("host", "discovery")
            .body(Empty::<Bytes>::new())
            .map_err(|source| DiscoveryError::BuildRequest { target: target.to_owned(), source })?;
        let response = sender.send_request(request).await.map_err(|source| DiscoveryError::Request {
            address,
            target: target.to_owned(),
            source,
        })?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(DiscoveryError::Status { address, target: target.to_owned(), status }),
        }
    }
}

async fn read_body(
    mut body: Incoming,
    activity: &CallActivity,
    mut timer: MessageTimer<'_>,
) -> Result<BytesMut, DiscoveryError> {
    let mut bytes = BytesMut::new();
    loop {
        let frame =
            timeout_at(timer.deadline(), body.frame()).await.map_err(|_| timer.expire(bytes.len()))?;
        let Some(frame) = frame else { return Ok(bytes) };
        let Ok(data) = frame.map_err(DiscoveryError::Body)?.into_data() else { continue };
        activity.record();
        timer.record_data(&data);
        if bytes.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(DiscoveryError::MessageTooLong { limit: MAX_MESSAGE_BYTES });
        }
        bytes.extend_from_slice(&data);
    }
}
