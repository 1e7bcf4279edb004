//! Clients that send many requests at once, and the same again as soon as they have the responses.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

/// The threads that act as all clients: few, so that the router has a core of its own.
const THREADS: usize = 2;
const READ_BUFFER_BYTES: usize = 64 * 1024;
const RESPONSE_START: &[u8] = b"HTTP/1.1 ";

/// Makes a request of the client with this number; the second number is that of the request.
pub type MakeRequest = fn(usize, u64) -> Vec<u8>;

/// Clients that send without a pause until this is dropped.
pub struct Flood {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts clients that send `requests_at_once` requests on a connection each before they await responses.
    pub fn start(
        router: SocketAddr,
        clients: usize,
        requests_at_once: usize,
        make_request: MakeRequest,
    ) -> Flood {
        let is_stopped = Arc::<AtomicBool>::default();
        let start_thread = |thread| {
            let is_stopped = is_stopped.clone();
            thread::spawn(move || {
                let numbers = (0..clients).filter(|number| number % THREADS == thread);
                let mut clients: Vec<_> =
                    numbers.map(|number| Client::connect(router, number, requests_at_once)).collect();
                let mut buffer = vec![0; READ_BUFFER_BYTES];
                while !is_stopped.load(Ordering::Relaxed) {
                    clients.iter_mut().for_each(|client| client.step(router, make_request, &mut buffer));
                }
            })
        };
        Flood { threads: (0..THREADS).map(start_thread).collect(), is_stopped }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Client {
    number: usize,
    stream: Option<TcpStream>,
    requests_at_once: usize,
    requests_made: u64,
    /// The number of requests of the present batch that have not been made yet.
    unsent_requests: usize,
    /// The request that is being sent, and how much of it has been sent.
    request: Vec<u8>,
    sent: usize,
    awaited_responses: usize,
    /// The last bytes received, which may begin a response.
    tail: Vec<u8>,
}

impl Client {
    fn connect(router: SocketAddr, number: usize, requests_at_once: usize) -> Client {
        let mut client = Client {
            number,
            stream: None,
            requests_at_once,
            requests_made: 0,
            unsent_requests: 0,
            request: Vec::new(),
            sent: 0,
            awaited_responses: 0,
            tail: Vec::new(),
        };
        client.reconnect(router);
        client
    }

    fn reconnect(&mut self, router: SocketAddr) {
        let stream = TcpStream::connect(router).ok();
        self.stream = stream.filter(|stream| stream.set_nonblocking(true).is_ok());
        self.begin_batch();
    }

    fn begin_batch(&mut self) {
        self.unsent_requests = self.requests_at_once;
        self.awaited_responses = self.requests_at_once;
        self.request.clear();
        self.sent = 0;
        self.tail.clear();
    }

    /// Writes and reads what is possible, and connects again if the connection has ended.
    fn step(&mut self, router: SocketAddr, make_request: MakeRequest, buffer: &mut [u8]) {
        if !self.write(make_request) || !self.read(buffer) {
            self.reconnect(router);
        }
    }

    /// Returns whether the connection is still open.
    fn write(&mut self, make_request: MakeRequest) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        loop {
            if self.sent == self.request.len() {
                if self.unsent_requests == 0 {
                    return true;
                }
                self.request = make_request(self.number, self.requests_made);
                self.requests_made += 1;
                self.unsent_requests -= 1;
                self.sent = 0;
            }
            match stream.write(&self.request[self.sent..]) {
                Ok(written) => self.sent += written,
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
    }

    /// Returns whether the connection is still open.
    fn read(&mut self, buffer: &mut [u8]) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        match stream.read(buffer) {
            Ok(0) => return false,
            Ok(received) => self.tail.extend_from_slice(&buffer[..received]),
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
        let responses =
            self.tail.windows(RESPONSE_START.len()).filter(|bytes| *bytes == RESPONSE_START).count();
        self.tail.drain(..self.tail.len().saturating_sub(RESPONSE_START.len() - 1));
        self.awaited_responses = self.awaited_responses.saturating_sub(responses);
        if self.awaited_responses == 0 && self.unsent_requests == 0 && self.sent == self.request.len() {
            self.begin_batch();
        }
        true
    }
}
