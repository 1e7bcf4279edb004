//! Encodes actions in the simulator's wire format, one per line.

use crate::interface::{Action, Micros};
use std::io::{self, Write};

/// The field for an unspecified value.
const UNSPECIFIED: &str = "-";
/// The receiver field of a gossip message to all other routers.
const ALL_ROUTERS: i64 = -1;

/// Writes an action of a router's policy.
pub(super) fn write_action(out: &mut impl Write, router: u32, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { request, worker, timeout, .. } => {
            writeln!(
                out,
                "DELIVER\t{router}\t{}\t{}\t{}",
                request.0,
                worker.0,
                micros_or_unspecified(*timeout)
            )
        }
        Action::Reject { request, retry_after, .. } => {
            writeln!(out, "DECLINE\t{router}\t{}\t{}", request.0, micros_or_unspecified(*retry_after))
        }
        Action::Fail { request, .. } => writeln!(out, "FAIL\t{router}\t{}", request.0),
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "DROP_ATTEMPT\t{router}\t{}\t{}", request.0, attempt.0)
        }
        Action::ReserveSlot { request, worker } => {
            writeln!(out, "HOLD_PLACE\t{router}\t{}\t{}", request.0, worker.0)
        }
        Action::ReleaseCache { request } => writeln!(out, "DROP_STATE\t{router}\t{}", request.0),
        Action::MigrateStream { request } => writeln!(out, "MIGRATE\t{router}\t{}", request.0),
        Action::SetTimer { at, timer } => writeln!(out, "AFTER\t{router}\t{at}\t{}", timer.0),
        Action::CheckHealth { worker } => writeln!(out, "TOUCH\t{router}\t{}", worker.0),
        Action::CloseIdleConnections { worker } => writeln!(out, "HANG_UP\t{router}\t{}", worker.0),
        Action::Gossip { to, payload } => {
            let to = to.map_or(ALL_ROUTERS, i64::from);
            writeln!(out, "WRITE_PEER\t{router}\t{to}\t{}", hex_or_unspecified(payload))
        }
        Action::WatchEndpoints => writeln!(out, "TRACK\t{router}\t1"),
        Action::PollEndpoints => writeln!(out, "PULL\t{router}"),
        Action::Log(text) => writeln!(out, "LOG\t{router}\t{}", single_field(text)),
    }
}

/// Reports a panic of a router's policy.
pub(super) fn write_panic(out: &mut impl Write, router: u32, text: &str) -> io::Result<()> {
    writeln!(out, "EXCEPTION\t{router}\t{}", single_field(text))
}

fn micros_or_unspecified(value: Option<Micros>) -> String {
    value.map_or_else(|| UNSPECIFIED.to_owned(), |micros| micros.to_string())
}

fn hex_or_unspecified(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return UNSPECIFIED.to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Replaces the field and line separators in a text by spaces.
fn single_field(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}
