//! Scripted peers: HTTP/1.1 servers on loopback sockets whose responses are defined by a test.

use super::{HANG_TIMEOUT, Message};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;

/// A peer's end of an accepted connection.
pub struct PeerConnection {
    pub stream: TcpStream,
}

impl PeerConnection {
    /// Sends a response with a `content-length`. `headers` are complete lines with their line ends.
    pub fn respond(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let _ = write!(self.stream, "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    }

    /// Sends the head of an event stream.
    pub fn begin_stream(&mut self) {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = self.stream.write_all(head.as_bytes());
    }

    /// Sends a chunk of a chunked body.
    pub fn send_chunk(&mut self, data: &str) {
        let _ = write!(self.stream, "{:x}\r\n{data}\r\n", data.len());
    }

    /// Sends a server-sent event.
    pub fn send_event(&mut self, data: &str) {
        self.send_chunk(&format!("data: {data}\n\n"));
    }

    /// Sends an event with a delta of the completion's text.
    pub fn send_delta(&mut self, text: &str) {
        self.send_event(&format!(
            r#"{{"choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":null}}]}}"#
        ));
    }

    /// Ends the event stream properly: with its token counts, `[DONE]` and the last chunk.
    pub fn end_stream(&mut self) {
        self.send_event(
            r#"{"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}"#,
        );
        self.send_event("[DONE]");
        let _ = self.stream.write_all(b"0\r\n\r\n");
    }

    /// Blocks until the router closes or resets the connection, sends more than one byte, or nothing happens
    /// within [`HANG_TIMEOUT`]. Returns whether it closed the connection.
    pub fn wait_for_close(&mut self) -> bool {
        let _ = self.stream.set_read_timeout(Some(HANG_TIMEOUT));
        let mut is_closed = || match self.stream.read(&mut [0]) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        };
        is_closed() || is_closed()
    }
}

/// Responds to a request, and returns whether the connection stays open.
type Script = dyn Fn(&Message, &mut PeerConnection) -> bool + Send + Sync;

/// A scripted server.
pub struct Peer {
    /// The address that it listens on.
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Peer {
    /// Starts a server. The script responds to each request, and returns whether the connection stays open.
    pub fn start(script: impl Fn(&Message, &mut PeerConnection) -> bool + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script: Arc<Script> = Arc::new(script);
        let connections = Arc::new(Mutex::new(Vec::new()));
        let peer = Peer { address, connections: connections.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let mut connections = connections.lock().unwrap();
                connections.retain(|stream: &TcpStream| stream.peer_addr().is_ok());
                connections.push(stream.try_clone().unwrap());
                drop(connections);
                let script = script.clone();
                thread::spawn(move || serve_connection(stream, &*script));
            }
        });
        peer
    }

    /// Closes all of its connections, as the kernel does when a process is killed.
    pub fn kill(&self) {
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts a prefill worker that accepts every request.
    pub fn prefill_worker() -> Peer {
        Peer::start(|message, conn| {
            match message.start_line.split(' ').next() {
                Some("POST") => conn.respond("202 Accepted", "", r#"{"cached_tokens":4}"#),
                _ => conn.respond("204 No Content", "", ""),
            }
            true
        })
    }

    /// Returns an address that refuses connections until the test process ends. Its socket stays bound, so
    /// that no other test gets the port, but does not listen.
    pub fn refusing_address() -> SocketAddr {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        std::mem::forget(socket);
        address
    }

    /// Returns an unbound address, on a loopback IP address that no other test binds ports on.
    pub fn unbound_address() -> SocketAddr {
        TcpListener::bind("127.0.0.2:0").unwrap().local_addr().unwrap()
    }
}

fn serve_connection(stream: TcpStream, script: &Script) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut conn = PeerConnection { stream };
    while let Some(message) = Message::read(&mut reader) {
        if !script(&message, &mut conn) {
            break;
        }
    }
    let _ = conn.stream.shutdown(Shutdown::Both);
}

/// Starts a peer that records all request lines, acknowledges cache releases, and passes other requests to
/// `script`. Returns it and the receiver of the request lines.
pub fn recording_peer(
    script: impl Fn(&Message, &mut PeerConnection) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Receiver<String>) {
    recording_peer_with_releases(move |message, conn| {
        if message.start_line.starts_with("DELETE") {
            conn.respond("204 No Content", "", "");
            return true;
        }
        script(message, conn)
    })
}

/// Starts a peer that records all request lines, and passes all requests, including cache releases, to
/// `script`. Returns it and the receiver of the request lines.
pub fn recording_peer_with_releases(
    script: impl Fn(&Message, &mut PeerConnection) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Receiver<String>) {
    let (record, request_lines) = shared_channel();
    let peer = Peer::start(move |message, conn| {
        record(message.start_line.clone());
        script(message, conn)
    });
    (peer, request_lines)
}

/// Starts a discovery agent that forwards the lines of a channel to its watch. Returns it and the channel's
/// sender.
pub fn discovery_agent() -> (Peer, mpsc::Sender<String>) {
    let (line_sender, lines) = mpsc::channel::<String>();
    let lines = Mutex::new(lines);
    let agent = Peer::start(move |message, conn| {
        if !message.start_line.contains("watch=1") {
            return true;
        }
        conn.begin_stream();
        while let Ok(line) = lines.lock().unwrap().recv() {
            conn.send_chunk(&line);
        }
        false
    });
    (agent, line_sender)
}

/// Creates a channel whose sender can be shared by the threads of a script.
pub fn shared_channel() -> (Arc<dyn Fn(String) + Send + Sync>, mpsc::Receiver<String>) {
    let (sender, receiver) = mpsc::channel();
    let sender = Mutex::new(sender);
    (Arc::new(move |text| _ = sender.lock().unwrap().send(text)), receiver)
}
