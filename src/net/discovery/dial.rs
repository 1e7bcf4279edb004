//! Connecting to discovery.

use super::mode::CALL_TIMEOUT;
use crate::net::LocalBoxFuture;
use crate::net::socket::{Socket, connect};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

/// A byte stream to discovery.
pub trait DiscoveryStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> DiscoveryStream for T {}

/// Connects to discovery at an address. Dropping the future gives the connection up.
pub type Dial = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<io::Result<Box<dyn DiscoveryStream>>>>;

/// Connects over TCP.
pub fn dial_tcp() -> Dial {
    Rc::new(|address| {
        Box::pin(async move {
            let stream = connect(address, Instant::now() + CALL_TIMEOUT).await?;
            Ok(Box::new(Socket::new(Rc::new(stream))) as Box<dyn DiscoveryStream>)
        })
    })
}
