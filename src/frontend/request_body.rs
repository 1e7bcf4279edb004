//! Reads request bodies within the size limit of each and the memory budget of all.

use crate::frontend::error::RequestError;
use crate::net::memory::BLOCK_BYTES;
use crate::net::memory_budget::{BudgetExhausted, MemoryReservation};
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::received_request::MAX_BODY_BYTES;
use crate::runtime::exchange::SegmentedBytes;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// The smallest segment of a body. The sizes of segments are the powers of two up to [`BLOCK_BYTES`], and the last
/// segment of a body is the smallest one that holds the rest.
const MIN_SEGMENT_BYTES: usize = 1024;

/// A body that has been received in full.
pub struct RequestBody {
    /// The bytes of the body without its transfer encoding.
    pub bytes: SegmentedBytes,
    /// The memory reserved for `bytes`, to be held as long as they are.
    pub reservation: MemoryReservation,
}

/// Reads a body to its end, and adds its memory to `reservation`. It has no timeout of its own: the connection
/// closes when receiving a request takes too long.
///
/// # Errors
/// The body exceeds its size limit or the memory budget, reading it failed, or its declared length is
/// followed by excess bytes.
pub async fn read_body(
    mut body: Incoming,
    client: &ClientSocket,
    reservation: MemoryReservation,
) -> Result<RequestBody, RequestError> {
    let declared_length = body.size_hint().exact();
    if declared_length.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err(RequestError::BodyTooLong);
    }
    let expected_length = declared_length.map_or(MAX_BODY_BYTES, |length| length as usize);
    let mut buffer = BodyBuffer::new(expected_length, reservation);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::BodyReadFailed)?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if buffer.length + data.len() > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLong);
        }
        buffer.append(&data)?;
    }
    if client.has_excess_bytes() {
        return Err(RequestError::ExcessBytes);
    }
    client.complete_request();
    Ok(buffer.into_body())
}

/// The received part of a body. All of its allocated memory is reserved, not only the bytes received.
struct BodyBuffer {
    full_segments: Vec<Bytes>,
    last_segment: Vec<u8>,
    /// The number of bytes received.
    length: usize,
    /// The declared length, or the size limit of a body of unknown length.
    expected_length: usize,
    reservation: MemoryReservation,
}

impl BodyBuffer {
    fn new(expected_length: usize, reservation: MemoryReservation) -> Self {
        let (full_segments, last_segment) = (Vec::new(), Vec::new());
        BodyBuffer { full_segments, last_segment, length: 0, expected_length, reservation }
    }

    /// Appends received bytes. The memory grows as they arrive, so that a declared length alone occupies none.
    fn append(&mut self, mut data: &[u8]) -> Result<(), BudgetExhausted> {
        while !data.is_empty() {
            if self.last_segment.len() == self.last_segment.capacity() {
                self.begin_segment()?;
            }
            let room = self.last_segment.capacity() - self.last_segment.len();
            let (part, rest) = data.split_at(room.min(data.len()));
            self.last_segment.extend_from_slice(part);
            self.length += part.len();
            data = rest;
        }
        Ok(())
    }

    fn begin_segment(&mut self) -> Result<(), BudgetExhausted> {
        let rest = self.expected_length.saturating_sub(self.length);
        let size = rest.clamp(MIN_SEGMENT_BYTES, BLOCK_BYTES).next_power_of_two();
        self.reservation.grow(size)?;
        let full_segment = std::mem::replace(&mut self.last_segment, Vec::with_capacity(size));
        self.full_segments.push(full_segment.into());
        Ok(())
    }

    /// The received bytes, and the reservation of their memory.
    fn into_body(self) -> RequestBody {
        let segments = self.full_segments.into_iter().chain([self.last_segment.into()]);
        RequestBody { bytes: segments.collect(), reservation: self.reservation }
    }
}
