//! Unit tests of the input queue.

use super::*;
use crate::interface::RequestId;
use crate::runtime::fixtures::{forwarded_request, request_spec};
use crate::runtime::{Clock, DriverHandle};

#[tokio::test]
async fn new_requests_have_the_lowest_priority() {
    let (handle, receiver) = DriverHandle::channel(Clock::start());
    let mut inputs = InputQueue::new(receiver);
    let _pending = [1, 2].map(|_| handle.submit_request(request_spec(0), forwarded_request()));
    handle.submit(DriverInput::ClientDisconnected(RequestId(7)));
    handle.submit(DriverInput::ClientDisconnected(RequestId(8)));
    let mut order = Vec::new();
    for _ in 0..4 {
        order.push(match inputs.recv().await {
            Some(DriverInput::RequestReceived { spec, .. }) => ("request", spec.request.0),
            Some(DriverInput::ClientDisconnected(request)) => ("disconnect", request.0),
            _ => panic!("unexpected input"),
        });
    }
    assert_eq!(order, [("disconnect", 7), ("disconnect", 8), ("request", 1), ("request", 2)]);
    assert!(inputs.try_recv().is_none());
}
