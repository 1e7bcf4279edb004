//! What a run found, for people to read.

use crate::oracle::{Invariant, Summary, Violation};
use crate::run::Finished;
use fleet_emulator::clock::{MILLISECOND, Micros};
use fleet_emulator::history::{Entry, Record};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// Violations of one invariant that are shown in full.
const SHOWN_IN_FULL: usize = 2;
/// Violations of one invariant that are listed.
const LISTED: usize = 12;

/// The report of a run.
pub fn text(finished: &Finished, entries: &[Entry], violations: &[Violation], summary: &Summary) -> String {
    let mut out = String::new();
    let start = entries.first().map_or(0, |entry| entry.at);
    let _ = writeln!(out, "seed {}: {}", finished.seed, headline(violations, summary));
    let _ = writeln!(out, "{:?}", finished.world.deployment);
    for planned in &finished.plan {
        let (from, until) = (planned.from / MILLISECOND, planned.until / MILLISECOND);
        let _ = writeln!(out, "  {from:>6} to {until:>6} ms  {:?}", planned.trouble);
    }
    for entry in entries {
        if let Record::HarnessDelayed { by } = entry.record {
            let _ = writeln!(
                out,
                "  {:>6} ms  the harness was {} ms late",
                since(start, entry.at),
                by / MILLISECOND
            );
        }
    }
    let mut by_invariant: BTreeMap<Invariant, Vec<&Violation>> = BTreeMap::new();
    for violation in violations {
        by_invariant.entry(violation.invariant).or_default().push(violation);
    }
    for (invariant, all) in by_invariant {
        let _ = writeln!(out, "\n== {invariant:?}: {}", all.len());
        for violation in all.iter().take(LISTED) {
            let _ = writeln!(out, "  {:>8} ms  {violation}", since(start, violation.at));
        }
        for violation in all.iter().take(SHOWN_IN_FULL) {
            write_story(&mut out, finished, entries, start, violation);
        }
    }
    out
}

/// Writes each router's log to a file of its own, with the moments of the run.
///
/// # Errors
/// A file can't be written.
pub fn write_logs(finished: &Finished, entries: &[Entry], folder: &Path) -> io::Result<()> {
    let start = entries.first().map_or(0, |entry| entry.at);
    for router in &finished.world.routers {
        let mut text = String::new();
        for line in router.log.lines_with("") {
            let _ = writeln!(text, "{:>8} ms  {}", since(start, line.at), line.text);
        }
        std::fs::write(folder.join(format!("seed-{}-router-{}.log", finished.seed, router.index)), text)?;
    }
    Ok(())
}

/// A run in one line.
pub fn headline(violations: &[Violation], summary: &Summary) -> String {
    let mut counts: BTreeMap<Invariant, (usize, usize)> = BTreeMap::new();
    for violation in violations {
        let (all, doubtful) = counts.entry(violation.invariant).or_default();
        *all += 1;
        *doubtful += usize::from(violation.is_doubtful);
    }
    let list = |(invariant, (all, doubtful)): (&Invariant, &(usize, usize))| match doubtful {
        0 => format!("{invariant:?} {all}"),
        _ => format!("{invariant:?} {all} ({doubtful} doubtful)"),
    };
    let found = if counts.is_empty() {
        "no violation".to_owned()
    } else {
        counts.iter().map(list).collect::<Vec<_>>().join(", ")
    };
    let (held_back, streams) = summary.held_back;
    let recovered = summary.recovered_share;
    format!(
        "{found}; {:?}; recovered {recovered:.3}; {held_back} of {streams} streams held back",
        summary.outcomes
    )
}

fn since(start: Micros, at: Micros) -> u64 {
    at.saturating_sub(start) / MILLISECOND
}

/// All that is known of the request of a violation, and what went on around it.
fn write_story(
    out: &mut String,
    finished: &Finished,
    entries: &[Entry],
    start: Micros,
    violation: &Violation,
) {
    let Some(request) = &violation.request else { return };
    let _ = writeln!(out, "\n  -- {violation}");
    for entry in entries.iter().filter(|entry| entry.record.request() == Some(request)) {
        let _ = writeln!(out, "     {:>8} ms  {:?}", since(start, entry.at), entry.record);
    }
    let log = &finished.world.routers[violation.router].log;
    for line in log.lines_with(request) {
        let _ = writeln!(out, "     {:>8} ms  log: {}", since(start, line.at), line.text);
    }
}
