//! Reserves slots at decode workers.

use crate::interface::{RequestId, WorkerId};
use crate::net::is_valid_id;
use crate::net::upstream::call::{UnaryCall, UnaryResponse};
use crate::net::upstream::client::UpstreamClient;
use crate::runtime::DriverInput;
use crate::runtime::exchange::ForwardedRequest;
use hyper::{Method, StatusCode};
use tower::Service;

/// The path under which workers keep a request's resources, its reserved slot and its KV cache.
pub(super) fn reservation_path(request: &ForwardedRequest) -> String {
    format!("/internal/reservations/{}", request.id)
}

/// Spawns a task that reserves a slot at a decode worker and submits the worker's response, reserved or
/// refused, to the driver. Nothing is submitted if the call fails or has another status.
pub(super) fn reserve_slot(
    client: &UpstreamClient,
    request: RequestId,
    forwarded: &ForwardedRequest,
    worker: WorkerId,
) {
    debug_assert!(is_valid_id(&forwarded.id));
    // A draining worker gets no new reservations, as it gets no new requests.
    if !client.directory.is_ready(&worker) {
        return;
    }
    let call = UnaryCall::new(worker.clone(), Method::POST, &reservation_path(forwarded));
    let (mut client, Ok(call)) = (client.clone(), call) else { return };
    tokio::task::spawn_local(async move {
        let Ok(UnaryResponse { status, .. }) = client.call(call).await else { return };
        if let StatusCode::OK | StatusCode::CONFLICT = status {
            let reserved = status == StatusCode::OK;
            client.driver.submit(DriverInput::SlotReservationAnswered { request, worker, reserved });
        }
    });
}
