//! Tests of what is private to `core`.

use super::*;
use bytes::Bytes;

struct Nowhere;

impl Outbound for Nowhere {
    fn send(&self, _: Attempt) {}
    fn release_cache(&self, _: Rc<ForwardedRequest>, _: Rc<ReleaseProgress>) {}
    fn reserve_slot(&self, _: RequestId, _: Rc<ForwardedRequest>, _: WorkerId) {}
    fn check_health(&self, _: WorkerId) {}
    fn close_idle_connections(&self, _: &WorkerId) {}
    fn poll_endpoints(&self) {}
}

/// Guards against memory that grows with every request for as long as the longest deadline that clients state.
#[tokio::test]
async fn requests_that_have_ended_leave_no_guards_behind() {
    let clock = Clock::start();
    let (handle, mut queue) = DriverHandle::channel(clock);
    let mut driver = Driver::new(Settings::default(), 1, clock, Rc::new(Nowhere), Rc::default());
    for _ in 0..5 * MOST_DUE {
        let ask = RequestSpec {
            request: RequestId(0),
            deadline: clock.now() + 600_000_000,
            session: None,
            prefix: None,
            prefix_tokens: 0,
            prompt_tokens: 1,
            max_tokens: 1,
            expected_decode_time: None,
            class: String::new(),
            tenant: None,
        };
        let target = String::new();
        let call = ForwardedRequest {
            id: String::new(),
            target,
            headers: Default::default(),
            body: Bytes::new(),
            client: Default::default(),
            resources: None,
        };
        drop(handle.submit_request(ask, call));
        while let Ok(input) = queue.try_recv() {
            driver.input(input);
        }
    }
    assert!(driver.open.is_empty());
    assert!(driver.due.len() <= MOST_DUE + 1, "{}", driver.due.len());
}
