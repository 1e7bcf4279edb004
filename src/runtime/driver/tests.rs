//! Unit tests of the driver.

use super::*;
use crate::interface::WorkerId;
use crate::runtime::exchange::ForwardedRequest;
use crate::runtime::fixtures::{forwarded_request, request_spec};
use crate::runtime::timers::PRUNING_THRESHOLD;
use crate::runtime::{Attempt, DriverHandle, ReleaseProgress};

/// An upstream client that ignores all calls.
struct NoopUpstream;

impl Outbound for NoopUpstream {
    fn send(&self, _: Attempt) {}
    fn release_cache(&self, _: Rc<ForwardedRequest>, _: Rc<ReleaseProgress>) {}
    fn reserve_slot(&self, _: RequestId, _: Rc<ForwardedRequest>, _: WorkerId) {}
    fn check_health(&self, _: WorkerId) {}
    fn close_idle_connections(&self, _: &WorkerId) {}
    fn poll_endpoints(&self) {}
}

/// Guards against timers of finished requests that stay in memory until the request deadline, which the
/// client chooses.
#[tokio::test]
async fn finished_requests_leave_no_timers_behind() {
    let clock = Clock::start();
    let (handle, mut inputs) = DriverHandle::channel(clock);
    let mut driver = Driver::new(Settings::default(), 1, clock, Rc::new(NoopUpstream), Rc::default());
    for _ in 0..5 * PRUNING_THRESHOLD {
        let spec = request_spec(clock.now() + 600_000_000);
        let pending = handle.submit_request(spec, forwarded_request());
        driver.handle_input(inputs.try_recv().unwrap());
        assert!(driver.timers.len() > 0);
        drop(pending);
        while let Ok(input) = inputs.try_recv() {
            driver.handle_input(input);
        }
    }
    assert!(driver.requests.len() == 0);
    assert!(driver.timers.len() <= PRUNING_THRESHOLD + 1, "{}", driver.timers.len());
}
