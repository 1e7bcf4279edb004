//! Tests of the queue of inputs.

use super::*;
use crate::interface::RequestId;
use crate::runtime::fixtures::{forwarded_request, request_spec};
use crate::runtime::{Clock, DriverHandle};

#[tokio::test]
async fn new_requests_go_behind_what_happens_to_those_in_progress() {
    let (handle, arriving) = DriverHandle::channel(Clock::start());
    let mut inputs = InputQueue::new(arriving);
    let _pending = [1, 2].map(|_| handle.submit_request(request_spec(0), forwarded_request()));
    handle.submit(DriverInput::ClientDisconnected(RequestId(7)));
    handle.submit(DriverInput::ClientDisconnected(RequestId(8)));
    let mut order = Vec::new();
    for _ in 0..4 {
        order.push(match inputs.recv().await {
            Some(DriverInput::RequestReceived { spec, .. }) => ("request", spec.request.0),
            Some(DriverInput::ClientDisconnected(request)) => ("disconnect", request.0),
            _ => panic!("another input"),
        });
    }
    assert_eq!(order, [("disconnect", 7), ("disconnect", 8), ("request", 1), ("request", 2)]);
    assert!(inputs.try_recv().is_none());
}
