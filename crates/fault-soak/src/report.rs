//! The human-readable report of a run.

use crate::error::SoakError;
use crate::oracle::{Invariant, Verdict, Violation};
use crate::run::FinishedRun;
use fleet_emulator::clock::Timestamp;
use fleet_emulator::history::Entry;
use fleet_emulator::record::Record;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// The maximum number of violations per invariant that are reported with their records and log lines.
const MAX_DETAILED: usize = 2;
/// The maximum number of violations per invariant that are listed.
const MAX_LISTED: usize = 12;

/// Formats the complete report.
pub fn format_report(finished: &FinishedRun, entries: &[Entry], verdict: &Verdict) -> String {
    let mut report = String::new();
    let start = start_time(entries);
    let _ = writeln!(report, "seed {}: {}", finished.seed, format_summary(verdict));
    let _ = writeln!(report, "{:?}", finished.testbed.deployment);
    for planned in &finished.plan {
        let (from, until) = (planned.from.as_millis(), planned.until.as_millis());
        let _ =
            writeln!(report, "  {from:>6} to {until:>6} ms  {}: {:?}", planned.fault.name(), planned.fault);
    }
    for entry in entries {
        if let Record::HarnessDelayed { duration } = entry.record {
            let at = milliseconds_since(start, entry.at);
            let _ = writeln!(report, "  {at:>6} ms  the harness was delayed by {} ms", duration.as_millis());
        }
    }
    let mut by_invariant: BTreeMap<Invariant, Vec<&Violation>> = BTreeMap::new();
    for violation in &verdict.violations {
        by_invariant.entry(violation.invariant).or_default().push(violation);
    }
    for (invariant, violations) in by_invariant {
        let _ = writeln!(report, "\n== {invariant:?}: {}", violations.len());
        for violation in violations.iter().take(MAX_LISTED) {
            let _ = writeln!(report, "  {:>8} ms  {violation}", milliseconds_since(start, violation.at));
        }
        for violation in violations.iter().take(MAX_DETAILED) {
            write_details(&mut report, finished, entries, start, violation);
        }
    }
    report
}

/// Writes the log of each router to a separate file, with times relative to the start of the run.
///
/// # Errors
/// Returns an error if a file can't be written.
pub fn write_logs(finished: &FinishedRun, entries: &[Entry], directory: &Path) -> Result<(), SoakError> {
    let start = start_time(entries);
    for router in &finished.testbed.routers {
        let mut text = String::new();
        for line in router.log.lines_containing("") {
            let _ = writeln!(text, "{:>8} ms  {}", milliseconds_since(start, line.at), line.text);
        }
        let file = directory.join(format!("seed-{}-router-{}.log", finished.seed, router.index));
        std::fs::write(&file, text).map_err(|error| SoakError::FileAccess(file, error))?;
    }
    Ok(())
}

/// Formats the verdict in one line.
pub fn format_summary(verdict: &Verdict) -> String {
    let summary = &verdict.summary;
    let delays = summary.stream_delays;
    format!(
        "{}; {:?}; recovered {:.3}; {} of {} streams delayed",
        format_violation_counts(&verdict.violations),
        summary.outcomes,
        summary.recovered_share,
        delays.delayed,
        delays.total
    )
}

/// The number of violations of one invariant, and how many of them a delay of the harness may explain.
#[derive(Default)]
struct ViolationCount {
    total: usize,
    doubtful: usize,
}

fn format_violation_counts(violations: &[Violation]) -> String {
    if violations.is_empty() {
        return "no violation".to_owned();
    }
    let mut counts: BTreeMap<Invariant, ViolationCount> = BTreeMap::new();
    for violation in violations {
        let count = counts.entry(violation.invariant).or_default();
        count.total += 1;
        count.doubtful += usize::from(violation.is_doubtful);
    }
    let format_count = |(invariant, count): (&Invariant, &ViolationCount)| match count.doubtful {
        0 => format!("{invariant:?} {}", count.total),
        doubtful => format!("{invariant:?} {} ({doubtful} doubtful)", count.total),
    };
    counts.iter().map(format_count).collect::<Vec<_>>().join(", ")
}

fn start_time(entries: &[Entry]) -> Timestamp {
    entries.first().map_or_else(Timestamp::default, |entry| entry.at)
}

fn milliseconds_since(start: Timestamp, at: Timestamp) -> u128 {
    at.since(start).as_millis()
}

/// Writes all records and log lines of the request that a violation affects.
fn write_details(
    report: &mut String,
    finished: &FinishedRun,
    entries: &[Entry],
    start: Timestamp,
    violation: &Violation,
) {
    let Some(request) = &violation.request else { return };
    let _ = writeln!(report, "\n  -- {violation}");
    for entry in entries.iter().filter(|entry| entry.record.request() == Some(request)) {
        let _ = writeln!(report, "     {:>8} ms  {:?}", milliseconds_since(start, entry.at), entry.record);
    }
    let log = &finished.testbed.routers[violation.router].log;
    for line in log.lines_containing(request) {
        let _ = writeln!(report, "     {:>8} ms  log: {}", milliseconds_since(start, line.at), line.text);
    }
}
