//! Checks that routers reject misbehaving clients in time, by an error response or by closing the connection.

use super::observations::Observations;
use super::verdict::{Findings, Invariant};
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{Record, RouterIndex};
use std::collections::HashMap;
use std::time::Duration;

/// The time within which a router has to reject a misbehaving client.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(3);
/// The time by which a rejection may exceed [`REJECTION_TIMEOUT`].
const REJECTION_SLACK: Duration = Duration::from_millis(100);

/// A misbehaving client that is connected to a router.
struct MisbehavingClient {
    connected_at: Timestamp,
    router: RouterIndex,
    misbehaviour: &'static str,
}

/// Checks every misbehaving client.
pub(super) fn check(run: &Observations, findings: &mut Findings<'_>) {
    let mut clients: HashMap<u64, MisbehavingClient> = HashMap::new();
    for entry in &run.entries {
        match entry.record {
            Record::MisbehavingClientConnected { router, misbehaviour, number } => {
                let client = MisbehavingClient { connected_at: entry.at, router, misbehaviour };
                clients.insert(number, client);
            }
            Record::MisbehavingClientEnded { number, was_rejected } => {
                let Some(client) = clients.remove(&number) else { continue };
                let elapsed = entry.at.since(client.connected_at);
                if !was_rejected || elapsed > REJECTION_TIMEOUT + REJECTION_SLACK {
                    let detail = format!(
                        "{}: ended after {} ms (rejected: {was_rejected}), expected a rejection within {} ms",
                        client.misbehaviour,
                        elapsed.as_millis(),
                        REJECTION_TIMEOUT.as_millis()
                    );
                    findings.add(Invariant::MisbehavingClientsRejected, entry.at, client.router, detail);
                }
            }
            _ => {}
        }
    }
}
