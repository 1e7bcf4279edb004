//! Unit tests of the exchange.

use super::*;
use std::cell::Cell;

/// Guards against responses lost in a panic: dropping the responder fails the request.
#[tokio::test]
async fn a_dropped_responder_fails_the_request_and_a_dropped_pending_response_reports_a_disconnect() {
    let disconnects = Rc::new(Cell::new(0));
    let count = disconnects.clone();
    let on_disconnect: Rc<dyn Fn()> = Rc::new(move || count.set(count.get() + 1));
    let (pending, responder) = open_exchange(on_disconnect.clone());
    drop(responder);
    assert!(matches!(pending.wait().await.0, FinalResponse::Failed));
    assert_eq!(disconnects.get(), 0);
    let (pending, _responder) = open_exchange(on_disconnect);
    drop(pending);
    assert_eq!(disconnects.get(), 1);
}
