//! Active health checks of workers.

use crate::interface::{LoadReporting, Outcome, WorkerId};
use crate::net::upstream::call::{UnaryCall, UnaryResponse};
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::load_report;
use crate::runtime::DriverInput;
use hyper::{Method, StatusCode};
use std::time::Duration;
use tower::Service;

/// The time within which a worker must respond to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks a worker's health and submits the result to the driver.
pub(super) async fn check_health(mut client: UpstreamClient, worker: WorkerId) {
    let path = match client.load_reporting {
        LoadReporting::None => "/healthz",
        LoadReporting::HealthChecks | LoadReporting::Responses => "/load",
    };
    let Ok(call) = UnaryCall::new(worker.clone(), Method::GET, path) else { return };
    let (outcome, report) = match tokio::time::timeout(HEALTH_CHECK_TIMEOUT, client.call(call)).await {
        Ok(Ok(UnaryResponse { status: StatusCode::OK, body })) => {
            (Outcome::Completed, load_report::from_body(&body))
        }
        Ok(Ok(_)) => (Outcome::Rejected, None),
        Ok(Err(_)) => (Outcome::ConnectFailed, None),
        Err(_) => (Outcome::TimedOut, None),
    };
    client.driver.submit(DriverInput::HealthChecked { worker, outcome, report });
}
