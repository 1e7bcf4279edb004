//! Tests of the lag monitor.

use super::*;

const MS: Micros = 1_000;

/// Records timers that are each due 40 ms after the one before has fired, and fire this much later.
fn record(monitor: &mut LagMonitor, start: Micros, lags: &[Micros]) -> (Micros, Vec<LagChange>) {
    let mut now = start;
    let mut changes = Vec::new();
    for lag in lags {
        let due = now + 40 * MS;
        now = due + lag;
        changes.extend(monitor.record_timer(due, now));
    }
    (now, changes)
}

#[test]
fn a_process_that_is_held_up_once_is_not_behind() {
    let mut monitor = LagMonitor::default();
    let (now, changes) = record(&mut monitor, 0, &[0, 150 * MS, 0, 20 * MS, 150 * MS, 0]);
    assert!(!monitor.is_behind(now) && changes.is_empty(), "{changes:?}");
}

#[test]
fn a_thread_whose_timers_are_all_late_is_behind_until_one_is_on_time() {
    let mut monitor = LagMonitor::default();
    let (now, changes) = record(&mut monitor, 0, &[70 * MS; 4]);
    assert_eq!((monitor.is_behind(now), changes), (true, vec![LagChange::FellBehind { lag: 70 * MS }]));
    let (now, changes) = record(&mut monitor, now, &[10 * MS]);
    assert!(!monitor.is_behind(now));
    assert!(matches!(changes[..], [LagChange::CaughtUp { .. }]), "{changes:?}");
}

/// While nothing is in progress there are no timers, and the next request must not be judged by old ones.
#[test]
fn a_late_timer_is_forgotten_while_there_are_no_timers() {
    let mut monitor = LagMonitor::default();
    let (now, _) = record(&mut monitor, 0, &[100 * MS; 4]);
    assert!(monitor.is_behind(now));
    assert!(!monitor.is_behind(now + LAPSE));
    let (now, _) = record(&mut monitor, now + LAPSE, &[100 * MS]);
    assert!(!monitor.is_behind(now));
}
