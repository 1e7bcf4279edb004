//! What this router has learned of how long work takes.
//!
//! A pace is the time that a stage takes for each token of work, in microseconds.

use super::MAX_BACKOFF_DOUBLINGS;
use super::statistics::MovingAverage;
use super::worker::Distance;
use crate::interface::{Micros, Stage};

/// An attempt that hangs says little of its peers: a sample counts as this many times the average at most.
const MAX_SAMPLE_OVER_AVERAGE: f64 = 2.0;

/// Learned paces and sizes, over all workers.
#[derive(Default)]
pub(super) struct LatencyModel {
    /// Pace of a prefill.
    pub prefill_pace: MovingAverage,
    /// Pace of a first token, by the distance that the KV cache travels; see [`LatencyModel::decode_pace`].
    decode_paces: [MovingAverage; 3],
    /// Pace of a first token over all distances.
    pub first_token_pace: MovingAverage,
    /// Prompt tokens that prefill workers did not find cached.
    pub uncached_tokens: MovingAverage,
    /// Prompt tokens of a request.
    pub prompt_tokens: MovingAverage,
}

/// Which pace a sample is of.
#[derive(Clone, Copy)]
pub(super) enum PaceKind {
    /// A prefill's.
    Prefill,
    /// A first token's, after the KV cache has travelled this far.
    FirstToken(Distance),
}

impl PaceKind {
    /// The pace of an attempt at this stage.
    pub fn of(stage: Stage, distance: Distance) -> Self {
        match stage {
            Stage::Prefill => PaceKind::Prefill,
            Stage::Decode => PaceKind::FirstToken(distance),
        }
    }
}

impl LatencyModel {
    /// Pace of a first token after the KV cache has travelled this far.
    pub fn decode_pace(&self, distance: Distance) -> MovingAverage {
        self.decode_paces[distance as usize]
    }

    /// Learns from an attempt that took `elapsed` for `work` tokens. Returns the time that it took over the
    /// time expected.
    pub fn record(&mut self, kind: PaceKind, elapsed: Micros, work: f64) -> f64 {
        let pace = match kind {
            PaceKind::Prefill => &mut self.prefill_pace,
            PaceKind::FirstToken(distance) => &mut self.decode_paces[distance as usize],
        };
        let sample = elapsed as f64 / work.max(1.0);
        let bounded = sample.min(MAX_SAMPLE_OVER_AVERAGE * pace.value_or(sample));
        let ratio = sample / pace.value_or(sample).max(1e-9);
        pace.add(bounded);
        if let PaceKind::FirstToken(_) = kind {
            self.first_token_pace.add(bounded);
        }
        ratio
    }
}

/// Recent timeouts of each stage: while there are some, the next attempts get longer timeouts.
#[derive(Default)]
pub(super) struct TimeoutBackoff {
    prefill: u32,
    decode: u32,
}

impl TimeoutBackoff {
    fn doublings_mut(&mut self, stage: Stage) -> &mut u32 {
        match stage {
            Stage::Prefill => &mut self.prefill,
            Stage::Decode => &mut self.decode,
        }
    }

    /// How many times timeouts of this stage double.
    pub fn doublings(&self, stage: Stage) -> u32 {
        match stage {
            Stage::Prefill => self.prefill,
            Stage::Decode => self.decode,
        }
    }

    /// Records a timeout. One of a stream that had started does not lengthen the next ones.
    pub fn record_timeout(&mut self, stage: Stage, had_started: bool) {
        let doublings = self.doublings_mut(stage);
        *doublings = (*doublings + u32::from(!had_started)).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Records that an attempt at this stage succeeded.
    pub fn record_success(&mut self, stage: Stage) {
        let doublings = self.doublings_mut(stage);
        *doublings = doublings.saturating_sub(1);
    }
}
