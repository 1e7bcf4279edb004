//! Reads request bodies within the size limit of each and the memory budget of all.

use crate::frontend::error::RequestError;
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::memory_budget::{MemoryBudget, MemoryReservation};
use crate::net::server::received_request::MAX_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;

/// A body that has been received in full.
pub struct RequestBody {
    /// The bytes of the body without its transfer encoding.
    pub bytes: Bytes,
    /// The memory reserved for `bytes`, to be held as long as they are.
    pub reservation: MemoryReservation,
}

/// Reads a body to its end. It has no timeout of its own: the connection closes when receiving a request
/// takes too long.
///
/// # Errors
/// The body exceeds its size limit or the memory budget, reading it failed, or its declared length is
/// followed by excess bytes.
pub async fn read_body(
    mut body: Incoming,
    client: &ClientSocket,
    budget: &Rc<MemoryBudget>,
) -> Result<RequestBody, RequestError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    let mut bytes = BytesMut::new();
    let mut reservation = MemoryReservation::new(budget.clone());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::BodyReadFailed)?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLong);
        }
        reservation.grow(data.len()).map_err(|_| RequestError::MemoryBudgetExhausted)?;
        bytes.extend_from_slice(&data);
    }
    if client.has_excess_bytes() {
        return Err(RequestError::ExcessBytes);
    }
    client.complete_request();
    Ok(RequestBody { bytes: bytes.freeze(), reservation })
}
