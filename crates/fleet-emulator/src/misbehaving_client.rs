//! Clients that send malformed or incomplete requests. A router has to reject each of them, or close its connection,
//! within a few seconds.

use crate::history::History;
use crate::http::MessageReader;
use crate::record::{Record, RouterIndex};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time after which a client stops waiting, which is longer than routers have.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// The size of a head that never ends.
const ENDLESS_BYTES: usize = 1 << 20;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// What a client does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMisbehaviour {
    /// It sends bytes that are not HTTP.
    Garbage,
    /// It sends a head that does not end.
    EndlessHead,
    /// It states the length of the body in two contradictory ways.
    ConflictingLengths,
    /// It states a length that is not a number.
    InvalidLength,
    /// It states a length that exceeds the limit.
    ExcessiveLength,
    /// It names a class that does not exist.
    UnknownClass,
    /// It states a deadline that is not a duration.
    InvalidDeadline,
    /// It sends no request id.
    MissingRequestId,
    /// It sends a part of the head and waits.
    IncompleteHead,
    /// It sends a part of the body and waits.
    IncompleteBody,
    /// It sends nothing.
    Silent,
}

impl ClientMisbehaviour {
    /// All of them.
    pub const ALL: [ClientMisbehaviour; 11] = [
        ClientMisbehaviour::Garbage,
        ClientMisbehaviour::EndlessHead,
        ClientMisbehaviour::ConflictingLengths,
        ClientMisbehaviour::InvalidLength,
        ClientMisbehaviour::ExcessiveLength,
        ClientMisbehaviour::UnknownClass,
        ClientMisbehaviour::InvalidDeadline,
        ClientMisbehaviour::MissingRequestId,
        ClientMisbehaviour::IncompleteHead,
        ClientMisbehaviour::IncompleteBody,
        ClientMisbehaviour::Silent,
    ];

    /// The name in records.
    pub fn name(self) -> &'static str {
        match self {
            ClientMisbehaviour::Garbage => "garbage",
            ClientMisbehaviour::EndlessHead => "endless head",
            ClientMisbehaviour::ConflictingLengths => "conflicting lengths",
            ClientMisbehaviour::InvalidLength => "invalid length",
            ClientMisbehaviour::ExcessiveLength => "excessive length",
            ClientMisbehaviour::UnknownClass => "unknown class",
            ClientMisbehaviour::InvalidDeadline => "invalid deadline",
            ClientMisbehaviour::MissingRequestId => "missing request id",
            ClientMisbehaviour::IncompleteHead => "incomplete head",
            ClientMisbehaviour::IncompleteBody => "incomplete body",
            ClientMisbehaviour::Silent => "silent",
        }
    }

    /// What the client sends.
    fn bytes(self, number: u64) -> Vec<u8> {
        let id = format!("x-request-id: bad{number}\r\n");
        let valid = |rest: &str| request("safe", "3000m", &id, rest);
        const BODY: &str = "content-length: 2\r\n\r\n{}";
        match self {
            ClientMisbehaviour::Garbage => b"\x16\x03\x01 this is no http\r\n\r\n".to_vec(),
            ClientMisbehaviour::EndlessHead => {
                let mut bytes = b"POST /v1/chat/completions HTTP/1.1\r\nx-filler: ".to_vec();
                bytes.resize(ENDLESS_BYTES, b'x');
                bytes
            }
            ClientMisbehaviour::ConflictingLengths => {
                valid("content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")
            }
            ClientMisbehaviour::InvalidLength => valid("content-length: -7\r\n\r\n{}"),
            ClientMisbehaviour::ExcessiveLength => valid("content-length: 60000000\r\n\r\n{}"),
            ClientMisbehaviour::UnknownClass => request("nobody", "3000m", &id, BODY),
            ClientMisbehaviour::InvalidDeadline => request("safe", "soon", &id, BODY),
            ClientMisbehaviour::MissingRequestId => request("safe", "3000m", "", BODY),
            ClientMisbehaviour::IncompleteHead => valid(""),
            ClientMisbehaviour::IncompleteBody => valid("content-length: 100\r\n\r\n{}"),
            ClientMisbehaviour::Silent => Vec::new(),
        }
    }
}

/// A request with these headers, followed by the rest of the head and the body.
fn request(class: &str, deadline: &str, id_header: &str, rest: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-class: {class}\r\nx-deadline: {deadline}\r\n\
         {id_header}{rest}"
    )
    .into_bytes()
}

/// Misbehaves on a connection of its own and records whether the router rejected it.
pub async fn run_misbehaving_client(
    router: RouterIndex,
    address: SocketAddr,
    misbehaviour: ClientMisbehaviour,
    history: History,
) {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let Ok(stream) = TcpStream::connect(address).await else { return };
    history.add(Record::MisbehavingClientConnected { router, misbehaviour: misbehaviour.name(), number });
    let (input, mut output) = stream.into_split();
    let mut reader = MessageReader::new(input);
    let exchange = async {
        // A router that has responded may close the connection while the rest is still being sent.
        let _ = output.write_all(&misbehaviour.bytes(number)).await;
        match reader.read_response().await {
            Ok(Some(head)) => head.status >= 400,
            Ok(None) | Err(_) => true,
        }
    };
    let was_rejected = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.unwrap_or(false);
    history.add(Record::MisbehavingClientEnded { number, was_rejected });
}
