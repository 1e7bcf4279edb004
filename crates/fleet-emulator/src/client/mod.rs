//! Emulated clients that send valid requests and record the responses. They may write slowly or disconnect
//! early.

mod events;
mod request;

pub use request::{Request, SharedPrefix};

use crate::clock::{self, Timestamp};
use crate::history::History;
use crate::http::{ConnectionUse, Head, MessageReader};
use crate::record::{ConnectionEnd, Record, RouterIndex};
use crate::sync::lock;
use events::EventStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// The timeout for establishing a connection to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after the deadline of a request at which its client stops waiting for the start of the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);
/// The time after a part of the answer at which a client stops waiting for the rest of a stream: the limit of 5 s
/// and some slack for the machine.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(5_500);

/// The behaviour of a client during one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehaviour {
    /// The time from the end of the request until the client disconnects, unless the response has ended by
    /// then.
    pub disconnects_after: Option<Duration>,
    /// Whether the client writes the request slowly.
    pub writes_slowly: bool,
}

/// The outcome of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client received the complete response.
    Completed,
    /// The router rejected the request, so a retry is safe.
    Rejected {
        /// The delay in the `Retry-After` header.
        retry_after: Option<Duration>,
    },
    /// Any other end: an error, a missing or truncated response, a timeout, or a disconnect by the client.
    Failed,
}

/// A client's connection to a router.
#[derive(Debug)]
struct Connection {
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// The number of completed exchanges on the connection.
    completed_exchanges: u32,
}

/// The reason why an exchange ended before the end of the response.
enum ExchangeError {
    /// The connection ended before the first byte of the response.
    Unanswered(ConnectionEnd),
    /// No data arrived in time.
    TimedOut,
    /// The connection ended in the middle of the response, or the response is malformed or not a stream.
    Truncated,
}

/// The clients of one router, which share a pool of idle connections.
#[derive(Clone, Debug)]
pub struct Clients {
    router: RouterIndex,
    address: SocketAddr,
    history: History,
    idle_connections: Arc<Mutex<Vec<Connection>>>,
}

impl Clients {
    /// Creates the clients of a router that listens on an address.
    pub fn new(router: RouterIndex, address: SocketAddr, history: History) -> Self {
        Clients { router, address, history, idle_connections: Arc::default() }
    }

    /// Whether the pool has an idle connection.
    pub fn has_idle_connection(&self) -> bool {
        !lock(&self.idle_connections).is_empty()
    }

    /// Sends a request on an idle connection, or on a new one if there is none, and waits for the end of the
    /// response.
    ///
    /// If a reused connection ends without a response, the router may have closed it before the request
    /// arrived, so the request is sent once more on a new connection.
    pub async fn send(&self, request: &Request, behaviour: ClientBehaviour) -> Outcome {
        let idle = lock(&self.idle_connections).pop();
        let is_reused = idle.is_some();
        let result = match self.transmit(idle, request, behaviour, false).await {
            Err(ExchangeError::Unanswered(_)) if is_reused => {
                self.transmit(None, request, behaviour, true).await
            }
            result => result,
        };
        result.unwrap_or(Outcome::Failed)
    }

    /// Sends a request once. Records the start of the exchange, and its failure if no response arrives.
    async fn transmit(
        &self,
        idle: Option<Connection>,
        request: &Request,
        behaviour: ClientBehaviour,
        is_resent: bool,
    ) -> Result<Outcome, ExchangeError> {
        let prior_requests = idle.as_ref().map_or(0, |connection| connection.completed_exchanges);
        self.history.add(Record::RequestStarted {
            request: request.id.clone(),
            router: self.router,
            idempotency: request.idempotency,
            prior_requests,
            is_resent,
        });
        let result = self.exchange(idle, request, behaviour).await;
        let request = request.id.clone();
        match &result {
            Err(ExchangeError::Unanswered(end)) => {
                self.history.add(Record::ConnectionEndedUnanswered { request, end: *end });
            }
            Err(ExchangeError::TimedOut) => self.history.add(Record::ResponseTimedOut { request }),
            Ok(_) | Err(ExchangeError::Truncated) => {}
        }
        result
    }

    async fn exchange(
        &self,
        idle: Option<Connection>,
        request: &Request,
        behaviour: ClientBehaviour,
    ) -> Result<Outcome, ExchangeError> {
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connect().await.map_err(|_| ExchangeError::Unanswered(ConnectionEnd::NotOpened))?,
        };
        let write_result = request.write(&mut connection.writer, behaviour.writes_slowly).await;
        let sent_at = clock::now();
        if write_result.is_ok() {
            let first_token_timeout = request.first_token_timeout;
            self.history
                .add_at(sent_at, Record::RequestSent { request: request.id.clone(), first_token_timeout });
        }
        let disconnect_at = behaviour.disconnects_after.map(|after| sent_at + after);
        let response = self.receive_response(&mut connection.reader, request, sent_at);
        let result = tokio::select! {
            // A disconnect that is due takes precedence over a response that is ready at the same time.
            biased;
            () = clock::sleep_until_or_forever(disconnect_at) => {
                self.history.add(Record::ClientDisconnected { request: request.id.clone() });
                return Ok(Outcome::Failed);
            }
            result = response => result,
        };
        let (outcome, connection_use) = result?;
        connection.completed_exchanges += 1;
        if connection_use == ConnectionUse::Reuse && connection.reader.is_empty() {
            lock(&self.idle_connections).push(connection);
        }
        Ok(outcome)
    }

    async fn connect(&self) -> io::Result<Connection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Connection { reader: MessageReader::new(reader), writer, completed_exchanges: 0 })
    }

    async fn receive_response(
        &self,
        reader: &mut MessageReader<OwnedReadHalf>,
        request: &Request,
        sent_at: Timestamp,
    ) -> Result<(Outcome, ConnectionUse), ExchangeError> {
        let head = receive_head(reader, sent_at + request.first_token_timeout + RESPONSE_GRACE).await?;
        let retry_after = head.header("retry-after").and_then(|value| value.parse::<f64>().ok());
        self.history.add(Record::ResponseStarted {
            request: request.id.clone(),
            status: head.status,
            has_retry_after: retry_after.is_some(),
        });
        let is_closing = head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let connection_use = if is_closing { ConnectionUse::Close } else { ConnectionUse::Reuse };
        if head.status == 200 {
            let outcome = self.receive_stream(reader, request, &head).await?;
            return Ok((outcome, connection_use));
        }
        let is_complete = reader.read_body(head.content_length()).await.is_ok();
        self.record_end(request, is_complete, true, Duration::ZERO);
        let retry_after = retry_after.map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or_default());
        let is_rejection = matches!(head.status, 429 | 503);
        let outcome = if is_rejection { Outcome::Rejected { retry_after } } else { Outcome::Failed };
        Ok((outcome, if is_complete { connection_use } else { ConnectionUse::Close }))
    }

    async fn receive_stream(
        &self,
        reader: &mut MessageReader<OwnedReadHalf>,
        request: &Request,
        head: &Head,
    ) -> Result<Outcome, ExchangeError> {
        let mut events = EventStream::new(request.id.clone());
        let result = self.receive_events(reader, request, head, &mut events).await;
        self.record_end(request, result.is_ok(), events.is_intact(), events.longest_delay());
        result.map(|()| Outcome::Completed)
    }

    /// Receives the events of a stream up to its regular end.
    async fn receive_events(
        &self,
        reader: &mut MessageReader<OwnedReadHalf>,
        request: &Request,
        head: &Head,
        events: &mut EventStream,
    ) -> Result<(), ExchangeError> {
        if !head.is_chunked() {
            return Err(ExchangeError::Truncated);
        }
        let mut last_content_at = Instant::now();
        loop {
            let content_events = events.content_events();
            let chunk = tokio::time::timeout_at(last_content_at + STREAM_IDLE_TIMEOUT, reader.read_chunk())
                .await
                .map_err(|_| ExchangeError::TimedOut)?
                .map_err(|_| ExchangeError::Truncated)?;
            if chunk.is_empty() {
                return if events.is_done() { Ok(()) } else { Err(ExchangeError::Truncated) };
            }
            let had_content = events.has_content();
            events.receive(&chunk);
            if events.content_events() > content_events {
                last_content_at = Instant::now();
            }
            if !had_content && events.has_content() {
                self.history.add(Record::FirstEventReceived { request: request.id.clone() });
            }
        }
    }

    fn record_end(&self, request: &Request, is_complete: bool, is_intact: bool, longest_delay: Duration) {
        let request = request.id.clone();
        self.history.add(Record::ResponseEnded { request, is_complete, is_intact, longest_delay });
    }
}

/// Receives the head of a response, unless a deadline passes first.
async fn receive_head(
    reader: &mut MessageReader<OwnedReadHalf>,
    deadline: Timestamp,
) -> Result<Head, ExchangeError> {
    let head = tokio::select! {
        head = reader.read_response() => head,
        () = clock::sleep_until(deadline) => return Err(ExchangeError::TimedOut),
    };
    match head {
        Ok(Some(head)) => Ok(head),
        Ok(None) if reader.is_empty() => Err(ExchangeError::Unanswered(ConnectionEnd::Closed)),
        Err(error) if reader.is_empty() && error.kind() != ErrorKind::InvalidData => {
            Err(ExchangeError::Unanswered(ConnectionEnd::Reset))
        }
        Ok(None) | Err(_) => Err(ExchangeError::Truncated),
    }
}
