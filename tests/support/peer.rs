//! Scripted peers: servers on loopback sockets that answer as a test says.

use super::{HANG_TIMEOUT, Message};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;

/// A connection as a script writes to it.
pub struct Conn(pub TcpStream);

impl Conn {
    /// Sends a response; `headers` are whole lines.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let _ = write!(self.0, "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    }

    /// Sends the head of an event stream.
    pub fn begin_stream(&mut self) {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = self.0.write_all(head.as_bytes());
    }

    /// Sends a chunk of the body.
    pub fn chunk(&mut self, data: &str) {
        let _ = write!(self.0, "{:x}\r\n{data}\r\n", data.len());
    }

    /// Sends an event of the stream.
    pub fn event(&mut self, data: &str) {
        self.chunk(&format!("data: {data}\n\n"));
    }

    /// Sends an event with more of the answer's text.
    pub fn delta(&mut self, text: &str) {
        self.event(&format!(
            r#"{{"choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":null}}]}}"#
        ));
    }

    /// Ends the event stream in order, with its token counts.
    pub fn end_stream(&mut self) {
        self.event(
            r#"{"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}"#,
        );
        self.event("[DONE]");
        let _ = self.0.write_all(b"0\r\n\r\n");
    }

    /// Blocks until the other side closes the connection, in order or by a reset, or sends more than one byte; whether
    /// it closed.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.0.set_read_timeout(Some(HANG_TIMEOUT));
        let mut at_end = || match self.0.read(&mut [0]) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        };
        at_end() || at_end()
    }
}

/// Answers a message, and says whether the connection stays open.
type Script = dyn Fn(&Message, &mut Conn) -> bool + Send + Sync;

/// A scripted server.
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Peer {
    /// Starts a server. The script answers each message, and says whether the connection stays open.
    pub fn start(script: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script: Arc<Script> = Arc::new(script);
        let connections = Arc::new(Mutex::new(Vec::new()));
        let peer = Peer { address, connections: connections.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let mut connections = connections.lock().unwrap();
                connections.retain(|other: &TcpStream| other.peer_addr().is_ok());
                connections.push(stream.try_clone().unwrap());
                drop(connections);
                let script = script.clone();
                thread::spawn(move || serve_connection(stream, &*script));
            }
        });
        peer
    }

    /// Breaks all of its connections, as the death of its process would.
    pub fn kill(&self) {
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// A prefill worker that accepts whatever it is sent.
    pub fn prefill_worker() -> Peer {
        Peer::start(|message, conn| {
            match message.line.split(' ').next() {
                Some("POST") => conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#),
                _ => conn.answer("204 No Content", "", ""),
            }
            true
        })
    }

    /// An address that refuses connections for as long as the tests run: bound, so that no other test is given its
    /// port, and not listening.
    pub fn nobody() -> SocketAddr {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        std::mem::forget(socket);
        address
    }

    /// An address that nothing is bound to: on a loopback address of its own, whose ports no other test is given.
    pub fn unbound_address() -> SocketAddr {
        TcpListener::bind("127.0.0.2:0").unwrap().local_addr().unwrap()
    }
}

fn serve_connection(stream: TcpStream, script: &Script) {
    let mut from = BufReader::new(stream.try_clone().unwrap());
    let mut conn = Conn(stream);
    while let Some(message) = Message::read(&mut from) {
        if !script(&message, &mut conn) {
            break;
        }
    }
    let _ = conn.0.shutdown(Shutdown::Both);
}

/// A peer that records the first line of every request, answers releases, and leaves the other requests to `act`.
pub fn recording_peer(
    act: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Receiver<String>) {
    recording_peer_with_releases(move |message, conn| {
        if message.line.starts_with("DELETE") {
            conn.answer("204 No Content", "", "");
            return true;
        }
        act(message, conn)
    })
}

/// A peer that records the first line of every request, releases included, and answers as `act` says.
pub fn recording_peer_with_releases(
    act: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Receiver<String>) {
    let (record, lines) = shared_channel();
    let peer = Peer::start(move |message, conn| {
        record(message.line.clone());
        act(message, conn)
    });
    (peer, lines)
}

/// A discovery agent that sends the lines of a channel on the watch, as they come.
pub fn discovery_agent() -> (Peer, mpsc::Sender<String>) {
    let (lines, watched) = mpsc::channel::<String>();
    let watched = Mutex::new(watched);
    let agent = Peer::start(move |message, conn| {
        if !message.line.contains("watch=1") {
            return true;
        }
        conn.begin_stream();
        while let Ok(line) = watched.lock().unwrap().recv() {
            conn.chunk(&line);
        }
        false
    });
    (agent, lines)
}

/// A channel whose sender the threads of a script may share.
pub fn shared_channel() -> (Arc<dyn Fn(String) + Send + Sync>, mpsc::Receiver<String>) {
    let (sender, receiver) = mpsc::channel();
    let sender = Mutex::new(sender);
    (Arc::new(move |text| _ = sender.lock().unwrap().send(text)), receiver)
}
