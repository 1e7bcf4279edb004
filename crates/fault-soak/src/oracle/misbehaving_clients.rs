//! Checks that misbehaving clients get an error, or that their connections are closed, in time.

use super::observations::Observations;
use super::verdict::{Findings, Invariant};
use fleet_emulator::clock::Timestamp;
use fleet_emulator::record::{Record, RouterIndex};
use std::collections::HashMap;
use std::time::Duration;

/// The time within which a router has to reject a misbehaving client.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(3);
/// The time by which that may be exceeded.
const TOLERANCE: Duration = Duration::from_millis(100);

/// A misbehaving client that is connected.
struct Client {
    connected: Timestamp,
    router: RouterIndex,
    misbehaviour: &'static str,
}

/// Checks every misbehaving client.
pub(super) fn check(run: &Observations, findings: &mut Findings<'_>) {
    let mut clients: HashMap<u64, Client> = HashMap::new();
    for entry in &run.entries {
        match entry.record {
            Record::MisbehavingClientConnected { router, misbehaviour, number } => {
                clients.insert(number, Client { connected: entry.at, router, misbehaviour });
            }
            Record::MisbehavingClientEnded { number, was_rejected } => {
                let Some(client) = clients.remove(&number) else { continue };
                let took = entry.at.since(client.connected);
                if !was_rejected || took > REJECTION_TIMEOUT + TOLERANCE {
                    let misbehaviour = client.misbehaviour;
                    let detail =
                        format!("{misbehaviour}: rejected {was_rejected} after {} ms", took.as_millis());
                    findings.add(Invariant::MisbehavingClientsRejected, entry.at, client.router, detail);
                }
            }
            _ => {}
        }
    }
}
