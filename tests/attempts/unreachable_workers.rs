//! Workers that requests do not reach.

use crate::harness::*;
use bytes::Bytes;
use llm_router::runtime::Attempt;
use llm_router::runtime::exchange::ForwardedRequest;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// A worker with a small receive buffer that does not read.
pub struct SlowWorker {
    pub listener: TcpListener,
    /// A request body that is much larger than the receive buffer.
    pub body: Bytes,
}

impl SlowWorker {
    pub fn start() -> SlowWorker {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4 * 1024).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(8).unwrap();
        SlowWorker { listener: socket.into(), body: vec![b'x'; 256 * 1024].into() }
    }

    /// Creates an attempt with the large body.
    pub fn attempt(&self, upstream: &mut UpstreamHarness) -> Attempt {
        let forwarded = ForwardedRequest { body: self.body.clone().into(), ..forwarded_request("id-1") };
        Attempt { forwarded: Rc::new(forwarded), ..upstream.attempt(WORKER, "id-1") }
    }

    /// Reads up to the end of the connection and returns the number of bytes received.
    pub fn receive(&self) -> usize {
        let (mut connection, _) = self.listener.accept().unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes);
        bytes.len()
    }
}

/// A listener whose accept queue is full, so that connections to it are not established.
pub struct FullListener {
    pub address: SocketAddr,
    _listener: TcpListener,
    /// Client sockets that fill the accept queue.
    _queued: Vec<Socket>,
}

impl FullListener {
    pub fn start() -> FullListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        SockRef::from(&listener).listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let connect = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        };
        FullListener { address, _queued: (0..3).map(|_| connect()).collect(), _listener: listener }
    }
}
