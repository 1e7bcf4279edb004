//! Tests of the directory with a large fleet.

use super::*;

const WORKERS: usize = 3_200;

fn endpoint_with_status(number: usize, status: WorkerStatus) -> AddressedEndpoint {
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

/// Guards against requests to workers that are known to be draining: with a record of only the last 512
/// withdrawals, the list of an agent that lags behind returned the others to service.
#[test]
fn outdated_list_restores_no_withdrawn_worker_of_a_large_fleet() {
    let directory = Directory::default();
    let list = |status| (0..WORKERS).map(|number| endpoint_with_status(number, status)).collect();
    let complete = EndpointUpdate { sequence: 10, complete: true, endpoints: list(WorkerStatus::Ready) };
    directory.apply(&complete);
    let drained_half =
        (0..WORKERS / 2).map(|number| endpoint_with_status(number, WorkerStatus::Draining)).collect();
    directory.apply(&EndpointUpdate { sequence: 11, complete: false, endpoints: drained_half });
    let mut outdated = complete;
    directory.mark_withdrawn_as_draining(&mut outdated);
    let is_ready = |listed: &&AddressedEndpoint| listed.endpoint.status == WorkerStatus::Ready;
    assert_eq!(outdated.endpoints.iter().filter(is_ready).count(), WORKERS / 2);
}
