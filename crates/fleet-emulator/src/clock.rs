//! Timestamps of the system's monotonic clock, which all processes of a host share.

use rustix::time::{ClockId, clock_gettime};
use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
const NANOSECONDS_PER_MICROSECOND: u64 = 1_000;

/// A point in time on the monotonic clock, in whole microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest point in time, which stands for an event that never happens.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates a timestamp from the microseconds since the origin of the clock.
    pub const fn from_micros(microseconds: u64) -> Self {
        Timestamp(microseconds)
    }

    /// The microseconds since the origin of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed since an earlier timestamp; zero if that timestamp is not earlier.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_micros(duration)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(duration)))
    }
}

/// A duration in whole microseconds, saturating at `u64::MAX`.
pub fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// The current time of the monotonic clock.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = time.tv_sec as u64 * MICROSECONDS_PER_SECOND;
    Timestamp(seconds + time.tv_nsec as u64 / NANOSECONDS_PER_MICROSECOND)
}

/// The current time of the wall clock, in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Sleeps until a deadline. Returns immediately if it has passed.
pub async fn sleep_until(deadline: Timestamp) {
    let remaining = deadline.since(now());
    // Even a sleep of zero length is pending at its first poll, so it would lose to later branches of a
    // biased `select!`.
    if !remaining.is_zero() {
        tokio::time::sleep(remaining).await;
    }
}

/// Sleeps until a deadline, or forever if there is none.
pub async fn sleep_until_or_forever(deadline: Option<Timestamp>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
