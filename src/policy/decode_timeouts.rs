//! Recent timeouts of decode attempts, by the distance from the KV cache.

use super::statistics::DecayingSum;
use super::worker::Distance;
use crate::interface::Micros;

/// Recent decode attempts that timed out, as sums that decay with time.
#[derive(Default)]
pub(super) struct DecodeTimeouts {
    /// At workers in the cell of the KV cache.
    pub same_cell: DecayingSum,
    /// At workers in other cells, or without a held KV cache.
    pub outside_cell: DecayingSum,
}

impl DecodeTimeouts {
    /// Records a decode attempt that timed out.
    pub fn record(&mut self, distance: Distance, now: Micros) {
        let timeouts = match distance {
            Distance::SameCell => &mut self.same_cell,
            Distance::SameZone | Distance::Remote => &mut self.outside_cell,
        };
        timeouts.add(now, 1.0);
    }
}
