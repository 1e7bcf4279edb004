//! Reads request bodies within the limits on their length and on the memory that all of them take.

use crate::frontend::error::RequestError;
use crate::net::server::client_socket::ClientSocket;
use crate::net::server::memory_budget::{MemoryBudget, MemoryReservation};
use crate::net::server::received_request::MAX_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;

/// A body that has been received to its end.
pub struct RequestBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// The memory that they take, to be kept for as long as they are.
    pub reservation: MemoryReservation,
}

/// Reads a body to its end. How long that may take is decided by the connection, which closes when a request is overdue.
///
/// # Errors
/// The body is too long, could not be read, found no memory left, or is followed by bytes that its length leaves out.
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
        let frame = frame.map_err(|_| RequestError::BodyBroken)?;
        // Trailers are of no use here.
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
