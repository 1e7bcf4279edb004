//! Recent timeouts of decode workers, near and far from the KV cache.

use super::statistics::DecayingSum;
use super::worker::Distance;
use crate::interface::Micros;

/// Recent attempts at decode workers that did not start in time.
#[derive(Default)]
pub(super) struct DecodeTimeouts {
    /// In the cell of the KV cache.
    pub same_cell: DecayingSum,
    /// Out of the cell, or without a KV cache.
    pub elsewhere: DecayingSum,
}

impl DecodeTimeouts {
    /// Records an attempt that did not start in time.
    pub fn record(&mut self, distance: Distance, now: Micros) {
        let timeouts = match distance {
            Distance::SameCell => &mut self.same_cell,
            Distance::SameZone | Distance::Remote => &mut self.elsewhere,
        };
        timeouts.add(now, 1.0);
    }
}
