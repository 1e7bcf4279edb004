//! Misbehaving clients get an error or a close in time.

use super::view::View;
use super::{Findings, Invariant};
use fleet_emulator::clock::{MILLISECOND, Micros, SECOND};
use fleet_emulator::history::{Record, RouterIndex};
use std::collections::HashMap;

/// They are owed it within this.
const OWED_WITHIN: Micros = 3 * SECOND;
const TOLERANCE: Micros = 100 * MILLISECOND;

/// Checks every misbehaving client.
pub fn check(view: &View, findings: &mut Findings<'_>) {
    let mut begun: HashMap<u64, (Micros, RouterIndex, &'static str)> = HashMap::new();
    for entry in &view.entries {
        match entry.record {
            Record::MisbehavingClientConnected { router, kind, number } => {
                begun.insert(number, (entry.at, router, kind));
            }
            Record::MisbehavingClientEnded { number, was_rejected } => {
                let Some((since, router, kind)) = begun.remove(&number) else { continue };
                let took = entry.at - since;
                if !was_rejected || took > OWED_WITHIN + TOLERANCE {
                    let detail = format!("{kind}: due {was_rejected} after {} ms", took / MILLISECOND);
                    findings.add(Invariant::MisbehavingClientsRejected, entry.at, router, None, detail);
                }
            }
            _ => {}
        }
    }
}
