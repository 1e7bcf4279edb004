//! Moments on the system's monotonic clock, the same in every process of the machine.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A moment, in microseconds on the monotonic clock.
pub type Micros = u64;

/// Microseconds of a second.
pub const SECOND: Micros = 1_000_000;
/// Microseconds of a millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Now.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Micros * SECOND + time.tv_nsec as Micros / 1_000
}

/// Now on the wall clock, in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Waits until a moment.
pub async fn sleep_until(moment: Micros) {
    tokio::time::sleep(Duration::from_micros(moment.saturating_sub(now()))).await;
}
