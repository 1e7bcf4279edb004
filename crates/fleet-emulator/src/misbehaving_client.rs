//! Emulated clients that send malformed, invalid or incomplete requests. A router must reject each request,
//! or close its connection, within a few seconds.

use crate::history::History;
use crate::http::MessageReader;
use crate::record::{Record, RouterIndex};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time that a client waits for a rejection. It exceeds the time within which routers must reject, so
/// that the delay of a late rejection is recorded.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// The size of the part that a client sends of a head without an end.
const ENDLESS_HEAD_BYTES: usize = 1 << 20;

static NEXT_CLIENT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// The misbehaviour of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMisbehaviour {
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Sends a head that does not end.
    EndlessHead,
    /// Sends both `content-length` and `transfer-encoding: chunked`.
    ConflictingLengths,
    /// Sends a negative `content-length`.
    InvalidLength,
    /// Sends a `content-length` that exceeds the body limit of routers.
    ExcessiveLength,
    /// Names a request class that does not exist.
    UnknownClass,
    /// Sends a deadline that is not a duration.
    InvalidDeadline,
    /// Sends no request id.
    MissingRequestId,
    /// Sends an incomplete head and waits.
    IncompleteHead,
    /// Sends an incomplete body and waits.
    IncompleteBody,
    /// Connects and sends no data.
    Silent,
}

impl ClientMisbehaviour {
    /// All kinds of misbehaviour, from which callers draw.
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

    /// The name of the misbehaviour in records.
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

    /// The bytes that client `number` sends.
    fn bytes(self, number: u64) -> Vec<u8> {
        let id = format!("x-request-id: bad{number}\r\n");
        let with_valid_headers = |rest: &str| encode_request("safe", "3000m", &id, rest);
        const BODY: &str = "content-length: 2\r\n\r\n{}";
        match self {
            ClientMisbehaviour::Garbage => b"\x16\x03\x01 this is no http\r\n\r\n".to_vec(),
            ClientMisbehaviour::EndlessHead => {
                let mut bytes = b"POST /v1/chat/completions HTTP/1.1\r\nx-filler: ".to_vec();
                bytes.resize(ENDLESS_HEAD_BYTES, b'x');
                bytes
            }
            ClientMisbehaviour::ConflictingLengths => {
                with_valid_headers("content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")
            }
            ClientMisbehaviour::InvalidLength => with_valid_headers("content-length: -7\r\n\r\n{}"),
            ClientMisbehaviour::ExcessiveLength => with_valid_headers("content-length: 60000000\r\n\r\n{}"),
            ClientMisbehaviour::UnknownClass => encode_request("nobody", "3000m", &id, BODY),
            ClientMisbehaviour::InvalidDeadline => encode_request("safe", "soon", &id, BODY),
            ClientMisbehaviour::MissingRequestId => encode_request("safe", "3000m", "", BODY),
            ClientMisbehaviour::IncompleteHead => with_valid_headers(""),
            ClientMisbehaviour::IncompleteBody => with_valid_headers("content-length: 100\r\n\r\n{}"),
            ClientMisbehaviour::Silent => Vec::new(),
        }
    }
}

/// Encodes a request with the given headers. `rest` is the remainder of the head, and the body.
fn encode_request(class: &str, deadline: &str, id_header: &str, rest: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-class: {class}\r\nx-deadline: {deadline}\r\n\
         {id_header}{rest}"
    )
    .into_bytes()
}

/// Runs one misbehaving client on a new connection, and records whether the router rejected it.
pub async fn run_misbehaving_client(
    router: RouterIndex,
    address: SocketAddr,
    misbehaviour: ClientMisbehaviour,
    history: History,
) {
    let number = NEXT_CLIENT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let Ok(stream) = TcpStream::connect(address).await else { return };
    history.add(Record::MisbehavingClientConnected { router, misbehaviour: misbehaviour.name(), number });
    let (input, mut output) = stream.into_split();
    let mut reader = MessageReader::new(input);
    let exchange = async {
        // A router may reject the request and close the connection before the client has sent everything.
        let _ = output.write_all(&misbehaviour.bytes(number)).await;
        match reader.read_response().await {
            Ok(Some(head)) => head.status >= 400,
            Ok(None) | Err(_) => true,
        }
    };
    let was_rejected = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.unwrap_or(false);
    history.add(Record::MisbehavingClientEnded { number, was_rejected });
}
