//! The system's monotonic clock, which is the same for all processes of the machine.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A time span in microseconds.
pub type Micros = u64;
/// A point in time, in microseconds on the monotonic clock.
pub type Timestamp = Micros;

/// The microseconds of a second.
pub const SECOND: Micros = 1_000_000;
/// The microseconds of a millisecond.
pub const MILLISECOND: Micros = 1_000;

/// The current time.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Micros * SECOND + time.tv_nsec as Micros / 1_000
}

/// The current time of the wall clock, in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Sleeps until a point in time; returns at once if it has passed.
pub async fn sleep_until(time: Timestamp) {
    tokio::time::sleep(Duration::from_micros(time.saturating_sub(now()))).await;
}
