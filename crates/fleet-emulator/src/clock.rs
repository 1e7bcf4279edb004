//! The system's monotonic clock, which is the same for all processes of the machine.

use rustix::time::{ClockId, clock_gettime};
use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
const NANOSECONDS_PER_MICROSECOND: u64 = 1_000;

/// A point in time on the monotonic clock, in whole microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest point in time, which stands for something that does not happen.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The point in time that is a number of microseconds after the origin of the clock.
    pub const fn from_micros(microseconds: u64) -> Self {
        Timestamp(microseconds)
    }

    /// The microseconds since the origin of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time that passed since an earlier point; zero if that point is not earlier.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, time: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_micros(time)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, time: Duration) {
        *self = *self + time;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, time: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(time)))
    }
}

/// The whole microseconds of a time span.
pub fn whole_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// The current time.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = time.tv_sec as u64 * MICROSECONDS_PER_SECOND;
    Timestamp(seconds + time.tv_nsec as u64 / NANOSECONDS_PER_MICROSECOND)
}

/// The current time of the wall clock, in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Sleeps until a point in time; returns at once if it has passed.
pub async fn sleep_until(time: Timestamp) {
    let remaining = time.since(now());
    // Even a sleep of no length would be pending once, and lose against other branches of a biased `select!`.
    if !remaining.is_zero() {
        tokio::time::sleep(remaining).await;
    }
}

/// Sleeps until a point in time, or forever without one.
pub async fn sleep_until_or_forever(time: Option<Timestamp>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
