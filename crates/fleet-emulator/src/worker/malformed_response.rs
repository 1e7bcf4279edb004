//! Malformed responses: responses that can't be parsed, and streams that neither go on nor end.

use super::exchange::{Exchange, HANG_DURATION, STREAM_HEAD, happens};
use crate::http::ConnectionUse;
use rand::Rng;
use std::io;
use std::ops::Range;
use std::time::Duration;
use tokio::io::AsyncWrite;
use tokio::time::Instant;

/// The size of the head or chunk that a malformed response starts but does not end.
const UNTERMINATED_RESPONSE_BYTES: usize = 256 * 1024;
/// How often a worker repeats a part of an endless tail in one write at full speed, and the time between two
/// parts of a slow one.
const TAIL_REPETITIONS: usize = 1024;
const TAIL_INTERVAL: Duration = Duration::from_millis(50);
/// The share of spoiled streams whose answer goes on in an endless chunk, and the size line of that chunk.
const ENDLESS_CHUNK_PROBABILITY: f64 = 0.25;
const ENDLESS_CHUNK: &str = "c0000000\r\n";
/// What an endless tail begins with, and what it repeats: chunks that can't be read, and chunks without output.
const ENDLESS_TAILS: [(&str, &str); 12] = [
    ("", ""),
    ("zz\r\n", ""),
    (ENDLESS_CHUNK, "x"),
    (ENDLESS_CHUNK, "\n"),
    (ENDLESS_CHUNK, ": ping\n\n"),
    (ENDLESS_CHUNK, "data: {\"choices\":[]}\n\n"),
    ("", "1\r\n\n\r\n"),
    ("", "8\r\n: ping\n\n\r\n"),
    ("", "7\r\ndata:\n\n\r\n"),
    ("", "16\r\ndata: {\"choices\":[]}\n\n\r\n"),
    ("0\r\n", "data: x\r\n"),
    ("", "e\r\ndata: [DONE]\n\n\r\n"),
];

/// How fast a worker sends an endless tail.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TailSpeed {
    Full,
    Slow,
}

/// What a worker sends in place of the rest of an answer.
struct EndlessTail {
    prefix: &'static str,
    repeated: &'static str,
    speed: TailSpeed,
}

impl EndlessTail {
    fn draw() -> EndlessTail {
        let (prefix, repeated) = ENDLESS_TAILS[rand::rng().random_range(0..ENDLESS_TAILS.len())];
        let speed = if happens(0.5) { TailSpeed::Full } else { TailSpeed::Slow };
        EndlessTail { prefix, repeated, speed }
    }
}

impl<W: AsyncWrite + Unpin> Exchange<'_, W> {
    /// Sends one of four kinds of malformed response, and closes the connection after [`HANG_DURATION`]:
    /// bytes that are not HTTP, a head that does not end, an invalid chunk size, or a chunk of 3 GiB that
    /// does not end.
    pub(super) async fn respond_malformed(&mut self) -> io::Result<ConnectionUse> {
        self.record_completion(0, false, false);
        let variant = rand::rng().random_range(0..4);
        match variant {
            0 => self.write(b"\x00\x01 what is this\r\n\r\n").await?,
            1 => {
                let unterminated_header: Vec<u8> =
                    b"x-filler: ".iter().copied().cycle().take(UNTERMINATED_RESPONSE_BYTES).collect();
                self.write(&unterminated_header).await?;
            }
            2 => {
                self.write(STREAM_HEAD.as_bytes()).await?;
                self.write(b"zz\r\ndata: no\n\n\r\n").await?;
            }
            _ => {
                self.write(STREAM_HEAD.as_bytes()).await?;
                self.write(b"c0000000\r\n").await?;
                self.write(&vec![b'x'; UNTERMINATED_RESPONSE_BYTES]).await?;
            }
        }
        tokio::time::sleep(HANG_DURATION).await;
        Ok(ConnectionUse::Close)
    }

    /// Continues a stream with something that is not the rest of the answer, which has these events.
    pub(super) async fn stream_malformed(&mut self, rest: Range<u64>) -> io::Result<ConnectionUse> {
        self.record_completion(0, false, false);
        if happens(ENDLESS_CHUNK_PROBABILITY) {
            self.stream_in_endless_chunk(rest).await
        } else {
            self.stream_endless_tail().await
        }
    }

    /// Sends the rest of an answer in a chunk that is said to be much longer, and then nothing more.
    async fn stream_in_endless_chunk(&mut self, events: Range<u64>) -> io::Result<ConnectionUse> {
        self.write(ENDLESS_CHUNK.as_bytes()).await?;
        for event in events {
            let interval = self.worker.settings.event_interval;
            tokio::time::sleep(self.worker.slowed(interval, &self.misbehaviour)).await;
            let event = self.encode_event(event);
            self.write(event.as_bytes()).await?;
        }
        self.write(b"data: [DONE]\n\n").await?;
        tokio::time::sleep(HANG_DURATION).await;
        Ok(ConnectionUse::Close)
    }

    /// Sends something after an event that neither continues nor ends the answer, until the router closes the
    /// connection, for [`HANG_DURATION`] at most.
    async fn stream_endless_tail(&mut self) -> io::Result<ConnectionUse> {
        let tail = EndlessTail::draw();
        self.write(tail.prefix.as_bytes()).await?;
        let repeated = match tail.speed {
            TailSpeed::Full => tail.repeated.repeat(TAIL_REPETITIONS),
            TailSpeed::Slow => tail.repeated.to_owned(),
        };
        let end = Instant::now() + HANG_DURATION;
        while Instant::now() < end {
            self.write(repeated.as_bytes()).await?;
            if tail.speed == TailSpeed::Slow || repeated.is_empty() {
                tokio::time::sleep(TAIL_INTERVAL).await;
            }
        }
        Ok(ConnectionUse::Close)
    }
}
