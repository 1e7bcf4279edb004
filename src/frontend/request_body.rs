//! Reads request bodies within the size limit of each and the memory budget of all.

use crate::frontend::error::RequestError;
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::memory_budget::{BudgetExhausted, MemoryReservation};
use crate::net::server::received_request::MAX_BODY_BYTES;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// How much the memory of a body grows at a time.
const GROWTH_BYTES: usize = 16 * 1024;

/// A body that has been received in full.
pub struct RequestBody {
    /// The bytes of the body without its transfer encoding.
    pub bytes: Bytes,
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
    let mut buffer = BodyBuffer { bytes: Vec::new(), expected_length, reservation };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::BodyReadFailed)?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if buffer.bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLong);
        }
        buffer.append(&data)?;
    }
    if client.has_excess_bytes() {
        return Err(RequestError::ExcessBytes);
    }
    client.complete_request();
    Ok(RequestBody { bytes: buffer.bytes.into(), reservation: buffer.reservation })
}

/// The received part of a body. All of its allocated memory is reserved, not only the bytes received.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// The declared length, or the size limit of a body of unknown length.
    expected_length: usize,
    reservation: MemoryReservation,
}

impl BodyBuffer {
    /// Appends received bytes. The memory grows as they arrive, so that a declared length alone occupies none.
    fn append(&mut self, data: &[u8]) -> Result<(), BudgetExhausted> {
        let length = self.bytes.len() + data.len();
        let capacity = self.bytes.capacity();
        if length > capacity {
            let new_capacity = length.max((capacity + GROWTH_BYTES).min(self.expected_length));
            self.reservation.grow(new_capacity - capacity)?;
            self.bytes.reserve_exact(new_capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}
