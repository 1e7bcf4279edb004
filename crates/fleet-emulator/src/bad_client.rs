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
pub enum Misdeed {
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

impl Misdeed {
    /// All of them.
    pub const ALL: [Misdeed; 11] = [
        Misdeed::Garbage,
        Misdeed::EndlessHead,
        Misdeed::TwoLengths,
        Misdeed::BadLength,
        Misdeed::HugeLength,
        Misdeed::UnknownClass,
        Misdeed::BadDeadline,
        Misdeed::NoRequestId,
        Misdeed::HalfHead,
        Misdeed::HalfBody,
        Misdeed::Silent,
    ];

    /// Its name, in records.
    pub fn name(self) -> &'static str {
        match self {
            Misdeed::Garbage => "garbage",
            Misdeed::EndlessHead => "endless head",
            Misdeed::TwoLengths => "two lengths",
            Misdeed::BadLength => "bad length",
            Misdeed::HugeLength => "huge length",
            Misdeed::UnknownClass => "unknown class",
            Misdeed::BadDeadline => "bad deadline",
            Misdeed::NoRequestId => "no request id",
            Misdeed::HalfHead => "half a head",
            Misdeed::HalfBody => "half a body",
            Misdeed::Silent => "silent",
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
            Misdeed::Garbage => b"\x16\x03\x01 this is no http\r\n\r\n".to_vec(),
            Misdeed::EndlessHead => {
                let mut bytes = b"POST /v1/chat/completions HTTP/1.1\r\nx-filler: ".to_vec();
                bytes.resize(ENDLESS_BYTES, b'x');
                bytes
            }
            Misdeed::TwoLengths => request(
                "safe",
                "3000m",
                &id,
                "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            Misdeed::BadLength => request("safe", "3000m", &id, "content-length: -7\r\n\r\n{}"),
            Misdeed::HugeLength => request("safe", "3000m", &id, "content-length: 60000000\r\n\r\n{}"),
            Misdeed::UnknownClass => request("nobody", "3000m", &id, "content-length: 2\r\n\r\n{}"),
            Misdeed::BadDeadline => request("safe", "soon", &id, "content-length: 2\r\n\r\n{}"),
            Misdeed::NoRequestId => request("safe", "3000m", "", "content-length: 2\r\n\r\n{}"),
            Misdeed::HalfHead => request("safe", "3000m", &id, ""),
            Misdeed::HalfBody => request("safe", "3000m", &id, "content-length: 100\r\n\r\n{}"),
            Misdeed::Silent => Vec::new(),
        }
    }
}

/// Misbehaves on a connection of its own and notes what it got.
pub async fn misbehave(router: RouterIndex, address: SocketAddr, misdeed: Misdeed, history: History) {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let Ok(stream) = TcpStream::connect(address).await else { return };
    history.add(Record::BadClientBegun { router, kind: misdeed.name(), number });
    let (input, mut output) = stream.into_split();
    let mut reader = Reader::new(input);
    let exchange = async {
        // A router that has answered may close while the rest is still being sent.
        let _ = output.write_all(&misdeed.bytes(number)).await;
        match reader.response().await {
            Ok(Some(head)) => head.status >= 400,
            Ok(None) | Err(_) => true,
        }
    };
    let got_its_due = tokio::time::timeout(GIVEN_UP_AFTER, exchange).await.unwrap_or(false);
    history.add(Record::BadClientEnded { number, got_its_due });
}
