//! Tests of the directory in large fleets.

use super::*;

const WORKERS: usize = 3_200;

fn listed(number: usize, status: WorkerStatus) -> AddressedEndpoint {
    let endpoint = Endpoint {
        worker: WorkerId(format!("worker-{number}").into()),
        zone: String::new(),
        kind: "decode".into(),
        cell: 0,
        status,
        weight: 1.0,
        started_at: None,
    };
    AddressedEndpoint { endpoint, address: None }
}

/// Guards against requests to workers that are known to be draining: only the last 512 of them were remembered when the
/// list of an agent that lags behind came.
#[test]
fn a_late_list_brings_withdrawn_workers_of_a_large_fleet_back() {
    let directory = Directory::default();
    let list = |status| (0..WORKERS).map(|number| listed(number, status)).collect();
    let complete = EndpointUpdate { sequence: 10, complete: true, endpoints: list(WorkerStatus::Ready) };
    directory.apply(&complete);
    let half = (0..WORKERS / 2).map(|number| listed(number, WorkerStatus::Draining)).collect();
    directory.apply(&EndpointUpdate { sequence: 11, complete: false, endpoints: half });
    let mut late = complete;
    directory.mark_withdrawn_as_draining(&mut late);
    let is_ready = |listed: &&AddressedEndpoint| listed.endpoint.status == WorkerStatus::Ready;
    assert_eq!(late.endpoints.iter().filter(is_ready).count(), WORKERS / 2);
}
