//! Clients that send what can't be used. Each is owed an error or a close within a few seconds.

use crate::history::{History, Record, RouterIndex};
use crate::http::Reader;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longer than anybody is owed an answer within.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(8);
/// Bytes of a head that never ends.
const ENDLESS_BYTES: usize = 1 << 20;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// What a client does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMisbehaviour {
    /// It sends what is no HTTP.
    Garbage,
    /// Its head does not end.
    EndlessHead,
    /// It states its length twice, in two ways.
    TwoLengths,
    /// Its length is no number.
    BadLength,
    /// Its length is larger than any that is taken.
    HugeLength,
    /// Its class does not exist.
    UnknownClass,
    /// Its deadline is no duration.
    BadDeadline,
    /// It names no request.
    NoRequestId,
    /// It sends a half of its head and stays.
    HalfHead,
    /// It sends a half of its body and stays.
    HalfBody,
    /// It says nothing.
    Silent,
}

impl ClientMisbehaviour {
    /// All of them.
    pub const ALL: [ClientMisbehaviour; 11] = [
        ClientMisbehaviour::Garbage,
        ClientMisbehaviour::EndlessHead,
        ClientMisbehaviour::TwoLengths,
        ClientMisbehaviour::BadLength,
        ClientMisbehaviour::HugeLength,
        ClientMisbehaviour::UnknownClass,
        ClientMisbehaviour::BadDeadline,
        ClientMisbehaviour::NoRequestId,
        ClientMisbehaviour::HalfHead,
        ClientMisbehaviour::HalfBody,
        ClientMisbehaviour::Silent,
    ];

    /// Its name, in records.
    pub fn name(self) -> &'static str {
        match self {
            ClientMisbehaviour::Garbage => "garbage",
            ClientMisbehaviour::EndlessHead => "endless head",
            ClientMisbehaviour::TwoLengths => "two lengths",
            ClientMisbehaviour::BadLength => "bad length",
            ClientMisbehaviour::HugeLength => "huge length",
            ClientMisbehaviour::UnknownClass => "unknown class",
            ClientMisbehaviour::BadDeadline => "bad deadline",
            ClientMisbehaviour::NoRequestId => "no request id",
            ClientMisbehaviour::HalfHead => "half a head",
            ClientMisbehaviour::HalfBody => "half a body",
            ClientMisbehaviour::Silent => "silent",
        }
    }

    fn bytes(self, number: u64) -> Vec<u8> {
        let id = format!("bad{number}");
        let request = |class: &str, deadline: &str, id: &str, rest: &str| {
            format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-class: {class}\r\nx-deadline: {deadline}\r\n\
                 {id}{rest}"
            )
            .into_bytes()
        };
        let id = format!("x-request-id: {id}\r\n");
        match self {
            ClientMisbehaviour::Garbage => b"\x16\x03\x01 this is no http\r\n\r\n".to_vec(),
            ClientMisbehaviour::EndlessHead => {
                let mut bytes = b"POST /v1/chat/completions HTTP/1.1\r\nx-filler: ".to_vec();
                bytes.resize(ENDLESS_BYTES, b'x');
                bytes
            }
            ClientMisbehaviour::TwoLengths => request(
                "safe",
                "3000m",
                &id,
                "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            ClientMisbehaviour::BadLength => request("safe", "3000m", &id, "content-length: -7\r\n\r\n{}"),
            ClientMisbehaviour::HugeLength => {
                request("safe", "3000m", &id, "content-length: 60000000\r\n\r\n{}")
            }
            ClientMisbehaviour::UnknownClass => {
                request("nobody", "3000m", &id, "content-length: 2\r\n\r\n{}")
            }
            ClientMisbehaviour::BadDeadline => request("safe", "soon", &id, "content-length: 2\r\n\r\n{}"),
            ClientMisbehaviour::NoRequestId => request("safe", "3000m", "", "content-length: 2\r\n\r\n{}"),
            ClientMisbehaviour::HalfHead => request("safe", "3000m", &id, ""),
            ClientMisbehaviour::HalfBody => request("safe", "3000m", &id, "content-length: 100\r\n\r\n{}"),
            ClientMisbehaviour::Silent => Vec::new(),
        }
    }
}

/// Misbehaves on a connection of its own and notes what it got.
pub async fn misbehave(
    router: RouterIndex,
    address: SocketAddr,
    misbehaviour: ClientMisbehaviour,
    history: History,
) {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let Ok(stream) = TcpStream::connect(address).await else { return };
    history.add(Record::MisbehavingClientConnected { router, kind: misbehaviour.name(), number });
    let (input, mut output) = stream.into_split();
    let mut reader = Reader::new(input);
    let exchange = async {
        // A router that has answered may close while the rest is still being sent.
        let _ = output.write_all(&misbehaviour.bytes(number)).await;
        match reader.response().await {
            Ok(Some(head)) => head.status >= 400,
            Ok(None) | Err(_) => true,
        }
    };
    let was_rejected = tokio::time::timeout(GIVEN_UP_AFTER, exchange).await.unwrap_or(false);
    history.add(Record::MisbehavingClientEnded { number, was_rejected });
}
