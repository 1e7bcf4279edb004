//! The driver's clock.

use crate::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The router's clock: it starts at the wall-clock time, in microseconds since the Unix epoch, and is
/// monotonic from then on, independently of steps of the wall clock. The machines of a deployment have
/// synchronized clocks, so the start times of workers can be compared with it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_time: Micros,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_time: since_epoch.as_micros() as Micros }
    }

    /// The time now: the wall-clock time at the start of the clock plus the monotonic time since then.
    pub fn now(&self) -> Micros {
        self.origin_time + self.origin.elapsed().as_micros() as Micros
    }

    /// The current time minus a duration.
    pub fn ago(&self, duration: Duration) -> Micros {
        self.now().saturating_sub(duration.as_micros() as Micros)
    }

    /// Converts a time of this clock to a tokio instant. Times before the start of the clock become its
    /// start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.origin_time))
    }
}
