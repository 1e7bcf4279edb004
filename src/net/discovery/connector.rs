//! Connectors that open the byte streams to discovery.

use crate::net::LocalBoxFuture;
use crate::net::socket::{Socket, connect};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

/// How long connecting is retried while the system lacks resources for it.
const LOCAL_RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// A bidirectional byte stream to the agent.
pub trait DiscoveryStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> DiscoveryStream for T {}

/// Opens a connection to the agent at an address. Dropping the future cancels the attempt.
pub type Connector = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<io::Result<Box<dyn DiscoveryStream>>>>;

/// A connector that uses TCP.
pub fn tcp_connector() -> Connector {
    Rc::new(|address| {
        Box::pin(async move {
            let stream = connect(address, Instant::now() + LOCAL_RETRY_TIMEOUT).await?;
            Ok(Box::new(Socket::new(Rc::new(stream))) as Box<dyn DiscoveryStream>)
        })
    })
}
