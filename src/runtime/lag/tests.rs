//! Unit tests of the lag monitor.

use super::*;

const MS: Micros = 1_000;

/// Records a sequence of timers with these lags. Each is due 40 ms after the previous one has fired.
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
fn a_single_delay_is_no_overload() {
    let mut monitor = LagMonitor::default();
    let (now, changes) = record(&mut monitor, 0, &[0, 150 * MS, 0, 20 * MS, 150 * MS, 0]);
    assert!(!monitor.is_overloaded(now) && changes.is_empty(), "{changes:?}");
}

#[test]
fn sustained_lag_is_an_overload_until_a_timer_is_on_time() {
    let mut monitor = LagMonitor::default();
    let (now, changes) = record(&mut monitor, 0, &[70 * MS; 4]);
    assert_eq!((monitor.is_overloaded(now), changes), (true, vec![LagChange::Overloaded { lag: 70 * MS }]));
    let (now, changes) = record(&mut monitor, now, &[10 * MS]);
    assert!(!monitor.is_overloaded(now));
    assert!(matches!(changes[..], [LagChange::Recovered { .. }]), "{changes:?}");
}

/// Without requests in progress there are no timers: a new request must not be shed because of old ones.
#[test]
fn an_overload_expires_without_further_timers() {
    let mut monitor = LagMonitor::default();
    let (now, _) = record(&mut monitor, 0, &[100 * MS; 4]);
    assert!(monitor.is_overloaded(now));
    assert!(!monitor.is_overloaded(now + LATE_TIMER_EXPIRY));
    let (now, _) = record(&mut monitor, now + LATE_TIMER_EXPIRY, &[100 * MS]);
    assert!(!monitor.is_overloaded(now));
}
