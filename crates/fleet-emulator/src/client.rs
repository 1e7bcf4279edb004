//! Clients: they send requests as well-behaved, impatient and slow clients do, and note what becomes of them.

use crate::clock::{self, MILLISECOND, Micros, SECOND};
use crate::history::{ConnectionEnd, ConnectionNumber, History, Idempotency, Record, RequestId, RouterIndex};
use crate::http::{Head, Reader};
use rand::Rng;
use std::collections::HashSet;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// A connection that does not come up by then is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// An answer that has not begun so long after its time was up never will.
const ANSWER_GIVEN_UP_AFTER: Micros = 3 * SECOND;
/// A stream on which nothing comes for so long is dead.
const STREAM_GIVEN_UP_AFTER: Duration = Duration::from_secs(7);
/// Pieces in which a slow client writes a request.
const SLOW_PIECES: usize = 6;
/// The longest time between two of them.
const SLOW_PAUSE: Micros = 60 * MILLISECOND;

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub name: RequestId,
    /// Its class.
    pub class: &'static str,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// The conversation that it belongs to.
    pub session: String,
    /// The opening that it shares with other conversations, and how long that is.
    pub prefix: Option<(String, u64)>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// The most tokens of its answer.
    pub max_tokens: u64,
    /// How long its client waits for the first token.
    pub first_token_timeout: Micros,
}

/// How a client behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehaviour {
    /// It closes so long after it sent the request, if it still waits or reads then.
    pub disconnects_after: Option<Micros>,
    /// It writes the request bit by bit.
    pub writes_slowly: bool,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It got its whole answer.
    Served,
    /// It was refused: trying again is harmless. How long to wait, if told.
    Refused(Option<Micros>),
    /// Anything else.
    Failed,
}

/// A connection that may carry another request.
#[derive(Debug)]
struct Connection {
    reader: Reader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    carried: u32,
}

/// The clients of one router, and the connections that they keep.
#[derive(Clone, Debug)]
pub struct Clients {
    router: RouterIndex,
    address: SocketAddr,
    history: History,
    idle: Arc<Mutex<Vec<Connection>>>,
}

/// Why an exchange ended before its answer did.
enum Broken {
    /// Without a byte of the answer.
    ConnectionEndedUnanswered(ConnectionEnd),
    /// Nothing came in time.
    Silence,
    /// In the middle of the answer.
    InAnswer,
}

impl Clients {
    /// Clients of a router at this address.
    pub fn new(router: RouterIndex, address: SocketAddr, history: History) -> Self {
        Clients { router, address, history, idle: Arc::default() }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a connection is kept on which a request may be sent.
    pub fn has_idle(&self) -> bool {
        !self.idle().is_empty()
    }

    /// Closes the connections that are kept.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    /// Sends a request on a kept connection or a new one, and follows it to its end.
    pub async fn send(&self, request: &Request, behaviour: ClientBehaviour) -> Outcome {
        let kept = self.idle().pop();
        let is_kept = kept.is_some();
        match self.try_on(kept, request, behaviour, false).await {
            // The close of a kept connection may cross a request: that one is sent once more.
            Err(Broken::ConnectionEndedUnanswered(_)) if is_kept => {
                self.try_on(None, request, behaviour, true).await.unwrap_or(Outcome::Failed)
            }
            result => result.unwrap_or(Outcome::Failed),
        }
    }

    async fn try_on(
        &self,
        kept: Option<Connection>,
        request: &Request,
        behaviour: ClientBehaviour,
        is_resent: bool,
    ) -> Result<Outcome, Broken> {
        let prior_requests = kept.as_ref().map_or(0, |connection| connection.carried);
        self.history.add(Record::RequestStarted {
            request: request.name.clone(),
            router: self.router,
            idempotency: request.idempotency,
            prior_requests,
            is_resent,
        });
        let result = self.exchange(kept, request, behaviour).await;
        match &result {
            Err(Broken::ConnectionEndedUnanswered(end)) => {
                self.history
                    .add(Record::ConnectionEndedUnanswered { request: request.name.clone(), end: *end });
            }
            Err(Broken::Silence) => {
                self.history.add(Record::ResponseTimedOut { request: request.name.clone() })
            }
            Ok(_) | Err(Broken::InAnswer) => {}
        }
        result
    }

    async fn exchange(
        &self,
        kept: Option<Connection>,
        request: &Request,
        behaviour: ClientBehaviour,
    ) -> Result<Outcome, Broken> {
        let mut connection = match kept {
            Some(connection) => connection,
            None => self
                .connect()
                .await
                .map_err(|_| Broken::ConnectionEndedUnanswered(ConnectionEnd::NotOpened))?,
        };
        let written = write_request(&mut connection.writer, request, behaviour.writes_slowly).await;
        let sent = clock::now();
        if written.is_ok() {
            let (name, first_token_timeout) = (request.name.clone(), request.first_token_timeout);
            self.history.add_at(sent, Record::RequestSent { request: name, first_token_timeout });
        }
        let leave_at = behaviour.disconnects_after.map(|after| sent + after);
        let answering = self.answer(&mut connection.reader, request, sent);
        let answered = tokio::select! {
            biased;
            () = leaving(leave_at) => {
                self.history.add(Record::ClientDisconnected { request: request.name.clone() });
                return Ok(Outcome::Failed);
            }
            answered = answering => answered,
        };
        let (outcome, may_keep) = answered?;
        connection.carried += 1;
        if may_keep && connection.reader.is_empty() {
            self.idle().push(connection);
        }
        Ok(outcome)
    }

    async fn connect(&self) -> io::Result<Connection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Connection { reader: Reader::new(reader), writer, carried: 0 })
    }

    /// Reads the answer; whether its connection may be kept.
    async fn answer(
        &self,
        reader: &mut Reader<OwnedReadHalf>,
        request: &Request,
        sent: Micros,
    ) -> Result<(Outcome, bool), Broken> {
        let give_up = sent + request.first_token_timeout + ANSWER_GIVEN_UP_AFTER;
        let head = tokio::select! {
            head = reader.response() => head,
            () = clock::sleep_until(give_up) => return Err(Broken::Silence),
        };
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) if reader.is_empty() => {
                return Err(Broken::ConnectionEndedUnanswered(ConnectionEnd::Closed));
            }
            Err(error) if reader.is_empty() && error.kind() != ErrorKind::InvalidData => {
                return Err(Broken::ConnectionEndedUnanswered(ConnectionEnd::Reset));
            }
            Ok(None) | Err(_) => return Err(Broken::InAnswer),
        };
        let retry_after = head.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        let (name, has_retry_after) = (request.name.clone(), retry_after.is_some());
        self.history.add(Record::ResponseStarted { request: name, status: head.status, has_retry_after });
        let may_keep = !head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        match head.status {
            200 => self.stream(reader, request, &head).await.map(|outcome| (outcome, may_keep)),
            status => {
                let whole = reader.body(head.content_length()).await.is_ok();
                self.note_end(request, whole, true, 0);
                let retry_after = retry_after.map(|seconds| (seconds * SECOND as f64) as Micros);
                let is_refusal = status == 503 || status == 429;
                let outcome = if is_refusal { Outcome::Refused(retry_after) } else { Outcome::Failed };
                Ok((outcome, may_keep && whole))
            }
        }
    }

    async fn stream(
        &self,
        reader: &mut Reader<OwnedReadHalf>,
        request: &Request,
        head: &Head,
    ) -> Result<Outcome, Broken> {
        let mut events = Events::new(request.name.clone());
        let is_complete = loop {
            if !head.is_chunked() {
                break false;
            }
            let Ok(chunk) = tokio::time::timeout(STREAM_GIVEN_UP_AFTER, reader.chunk()).await else {
                self.note_end(request, false, events.is_intact, events.longest_delay);
                return Err(Broken::Silence);
            };
            let Ok(chunk) = chunk else { break false };
            if chunk.is_empty() {
                break events.is_done;
            }
            let had_any = events.count > 0;
            events.take(&chunk);
            if !had_any && events.count > 0 {
                self.history.add(Record::FirstEventReceived { request: request.name.clone() });
            }
        };
        self.note_end(request, is_complete, events.is_intact, events.longest_delay);
        if is_complete { Ok(Outcome::Served) } else { Err(Broken::InAnswer) }
    }

    fn note_end(&self, request: &Request, is_complete: bool, is_intact: bool, longest_delay: Micros) {
        let request = request.name.clone();
        self.history.add(Record::ResponseEnded { request, is_complete, is_intact, longest_delay });
    }
}

async fn leaving(moment: Option<Micros>) {
    match moment {
        Some(moment) => clock::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

/// The events of one answer, as its client reads them.
struct Events {
    request: RequestId,
    text: Vec<u8>,
    count: u64,
    connections: HashSet<ConnectionNumber>,
    is_done: bool,
    is_intact: bool,
    longest_delay: Micros,
}

impl Events {
    fn new(request: RequestId) -> Self {
        let (text, connections) = (Vec::new(), HashSet::new());
        Events { request, text, count: 0, connections, is_done: false, is_intact: true, longest_delay: 0 }
    }

    fn take(&mut self, data: &[u8]) {
        self.text.extend_from_slice(data);
        while let Some(end) = self.text.windows(2).position(|two| two == b"\n\n") {
            let event: Vec<u8> = self.text.drain(..end + 2).collect();
            self.event(String::from_utf8_lossy(&event).trim());
        }
    }

    fn event(&mut self, event: &str) {
        if event == "data: [DONE]" {
            self.is_done = true;
            return;
        }
        let content = event.split_once("\"content\":\"").and_then(|(_, rest)| rest.split('"').next());
        let Some(content) = content else {
            // The report of what was found kept; anything else comes from no worker.
            self.is_intact &= event.contains("\"usage\"") && self.count > 0;
            return;
        };
        let parts: Vec<&str> = content.split(' ').collect();
        let [request, connection, number, at] = parts[..] else {
            self.is_intact = false;
            return;
        };
        self.connections.extend(connection.parse::<ConnectionNumber>());
        let is_next = number.parse() == Ok(self.count) && *request == *self.request;
        self.is_intact &= is_next && self.connections.len() == 1;
        self.count += 1;
        let sent = at.parse().unwrap_or(0);
        self.longest_delay = self.longest_delay.max(clock::now().saturating_sub(sent));
    }
}

/// A request as bytes.
pub fn encode(request: &Request) -> Vec<u8> {
    let Request { name, class, session, prompt_tokens, max_tokens, first_token_timeout, .. } = request;
    let prefix = request
        .prefix
        .as_ref()
        .map_or_else(String::new, |(prefix, length)| format!("prefix={prefix},prefix_len={length},"));
    let body = format!(
        r#"{{"model":"chat","stream":true,"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"hello"}}]}}"#
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: api.internal\r\nx-request-id: {name}\r\nx-class: {class}\r\n\
         x-key: {session}\r\nx-deadline: {first_token_timeout}u\r\n\
         x-extras: {prefix}prompt_len={prompt_tokens},max_out={max_tokens}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

async fn write_request(writer: &mut OwnedWriteHalf, request: &Request, slowly: bool) -> io::Result<()> {
    let bytes = encode(request);
    if !slowly {
        return writer.write_all(&bytes).await;
    }
    for piece in bytes.chunks(bytes.len().div_ceil(SLOW_PIECES)) {
        writer.write_all(piece).await?;
        let pause = rand::rng().random_range(0..SLOW_PAUSE);
        tokio::time::sleep(Duration::from_micros(pause)).await;
    }
    Ok(())
}
