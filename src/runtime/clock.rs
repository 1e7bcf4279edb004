//! The driver's clock.

use crate::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The router's clock: microseconds since 1970 when it is started, and monotonic from there, whatever happens
/// to the wall clock. The machines of a deployment have synchronized clocks, so the start times of workers
/// can be compared with it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    at_origin: Micros,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), at_origin: since_epoch.as_micros() as Micros }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.at_origin + self.origin.elapsed().as_micros() as Micros
    }

    /// The time a given duration before the present one.
    pub fn ago(&self, duration: Duration) -> Micros {
        self.now().saturating_sub(duration.as_micros() as Micros)
    }

    /// The tokio instant of a time on this clock; the clock's start for a time before it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.at_origin))
    }
}
