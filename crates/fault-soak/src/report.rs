//! The report of a run, for people to read.

use crate::error::SoakError;
use crate::oracle::{Invariant, Verdict, Violation};
use crate::run::FinishedRun;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::history::Entry;
use fleet_emulator::record::Record;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// The number of violations of one invariant that are reported with their records and log lines.
const MAX_DETAILED: usize = 2;
/// The number of violations of one invariant that are listed.
const MAX_LISTED: usize = 12;

/// The whole report.
pub fn text(finished: &FinishedRun, entries: &[Entry], verdict: &Verdict) -> String {
    let mut out = String::new();
    let start = start_of(entries);
    let _ = writeln!(out, "seed {}: {}", finished.seed, headline(verdict));
    let _ = writeln!(out, "{:?}", finished.world.deployment);
    for planned in &finished.plan {
        let (from, until) = (planned.from.as_millis(), planned.until.as_millis());
        let _ = writeln!(out, "  {from:>6} to {until:>6} ms  {}: {:?}", planned.fault.name(), planned.fault);
    }
    for entry in entries {
        if let Record::HarnessDelayed { by } = entry.record {
            let at = milliseconds_since(start, entry.at);
            let _ = writeln!(out, "  {at:>6} ms  the harness was delayed by {} ms", by.as_millis());
        }
    }
    let mut by_invariant: BTreeMap<Invariant, Vec<&Violation>> = BTreeMap::new();
    for violation in &verdict.violations {
        by_invariant.entry(violation.invariant).or_default().push(violation);
    }
    for (invariant, violations) in by_invariant {
        let _ = writeln!(out, "\n== {invariant:?}: {}", violations.len());
        for violation in violations.iter().take(MAX_LISTED) {
            let _ = writeln!(out, "  {:>8} ms  {violation}", milliseconds_since(start, violation.at));
        }
        for violation in violations.iter().take(MAX_DETAILED) {
            write_details(&mut out, finished, entries, start, violation);
        }
    }
    out
}

/// Writes the log of each router to a file of its own, with times relative to the start of the run.
///
/// # Errors
/// A file can't be written.
pub fn write_logs(finished: &FinishedRun, entries: &[Entry], folder: &Path) -> Result<(), SoakError> {
    let start = start_of(entries);
    for router in &finished.world.routers {
        let mut text = String::new();
        for line in router.log.lines_containing("") {
            let _ = writeln!(text, "{:>8} ms  {}", milliseconds_since(start, line.at), line.text);
        }
        let file = folder.join(format!("seed-{}-router-{}.log", finished.seed, router.index));
        std::fs::write(&file, text).map_err(|error| SoakError::Files(file, error))?;
    }
    Ok(())
}

/// The verdict in one line.
pub fn headline(verdict: &Verdict) -> String {
    let summary = &verdict.summary;
    let delays = summary.stream_delays;
    format!(
        "{}; {:?}; recovered {:.3}; {} of {} streams delayed",
        violation_counts(&verdict.violations),
        summary.outcomes,
        summary.recovered_share,
        delays.delayed,
        delays.total
    )
}

/// The number of violations of one invariant.
#[derive(Default)]
struct Count {
    all: usize,
    doubtful: usize,
}

fn violation_counts(violations: &[Violation]) -> String {
    if violations.is_empty() {
        return "no violation".to_owned();
    }
    let mut counts: BTreeMap<Invariant, Count> = BTreeMap::new();
    for violation in violations {
        let count = counts.entry(violation.invariant).or_default();
        count.all += 1;
        count.doubtful += usize::from(violation.is_doubtful);
    }
    let describe = |(invariant, count): (&Invariant, &Count)| match count.doubtful {
        0 => format!("{invariant:?} {}", count.all),
        doubtful => format!("{invariant:?} {} ({doubtful} doubtful)", count.all),
    };
    counts.iter().map(describe).collect::<Vec<_>>().join(", ")
}

fn start_of(entries: &[Entry]) -> Timestamp {
    entries.first().map_or_else(Timestamp::default, |entry| entry.at)
}

fn milliseconds_since(start: Timestamp, at: Timestamp) -> u128 {
    at.since(start).as_millis()
}

/// Writes all records and log lines of the request that a violation concerns.
fn write_details(
    out: &mut String,
    finished: &FinishedRun,
    entries: &[Entry],
    start: Timestamp,
    violation: &Violation,
) {
    let Some(request) = &violation.request else { return };
    let _ = writeln!(out, "\n  -- {violation}");
    for entry in entries.iter().filter(|entry| entry.record.request() == Some(request)) {
        let _ = writeln!(out, "     {:>8} ms  {:?}", milliseconds_since(start, entry.at), entry.record);
    }
    let log = &finished.world.routers[violation.router].log;
    for line in log.lines_containing(request) {
        let _ = writeln!(out, "     {:>8} ms  log: {}", milliseconds_since(start, line.at), line.text);
    }
}
