//! Latencies learned from the attempts of this router, in microseconds per token of work.

use super::MAX_BACKOFF_DOUBLINGS;
use super::statistics::MovingAverage;
use super::worker::Distance;
use crate::interface::{Micros, Stage};

/// Samples are limited to this multiple of the average, since the time of an attempt that hangs is not
/// representative.
const MAX_SAMPLE_OVER_AVERAGE: f64 = 2.0;

/// Moving averages of latencies and prompt sizes over all workers.
#[derive(Default)]
pub(super) struct LatencyModel {
    /// Time of a prefill per token of work.
    prefill_time_per_token: MovingAverage,
    /// Time to the first token of a decode per token of work, indexed by `Distance as usize`.
    decode_times_per_token: [MovingAverage; 3],
    /// Time to the first token of a decode per token of work, over all distances.
    first_token_time_per_token: MovingAverage,
    /// Uncached prompt tokens of a prefill.
    uncached_tokens: MovingAverage,
    /// Prompt tokens of a request.
    prompt_tokens: MovingAverage,
}

/// The kind of a latency measurement.
#[derive(Clone, Copy)]
pub(super) enum LatencyKind {
    /// Time of a prefill.
    Prefill,
    /// Time to the first token of a decode, after a transfer of the KV cache over this distance.
    FirstToken(Distance),
}

impl LatencyKind {
    pub fn of(stage: Stage, distance: Distance) -> Self {
        match stage {
            Stage::Prefill => LatencyKind::Prefill,
            Stage::Decode => LatencyKind::FirstToken(distance),
        }
    }
}

impl LatencyModel {
    pub fn prefill_time_per_token(&self) -> MovingAverage {
        self.prefill_time_per_token
    }

    /// Over all distances; see [`Self::decode_time_per_token`].
    pub fn first_token_time_per_token(&self) -> MovingAverage {
        self.first_token_time_per_token
    }

    pub fn uncached_tokens(&self) -> MovingAverage {
        self.uncached_tokens
    }

    pub fn prompt_tokens(&self) -> MovingAverage {
        self.prompt_tokens
    }

    /// Records the size of a received prompt.
    pub fn record_prompt(&mut self, prompt_tokens: u64) {
        self.prompt_tokens.add(prompt_tokens as f64);
    }

    /// Records the uncached tokens of a completed prefill.
    pub fn record_uncached_tokens(&mut self, tokens: f64) {
        self.uncached_tokens.add(tokens);
    }

    /// The average time to the first token of a decode per token of work, after a transfer of the KV cache
    /// over this distance.
    pub fn decode_time_per_token(&self, distance: Distance) -> MovingAverage {
        self.decode_times_per_token[distance as usize]
    }

    /// Records an attempt that took `elapsed` for `work` tokens. Returns the ratio of the elapsed time to the
    /// average before this sample.
    pub fn record(&mut self, kind: LatencyKind, elapsed: Micros, work: f64) -> f64 {
        let average = match kind {
            LatencyKind::Prefill => &mut self.prefill_time_per_token,
            LatencyKind::FirstToken(distance) => &mut self.decode_times_per_token[distance as usize],
        };
        let sample = elapsed as f64 / work.max(1.0);
        let bounded = sample.min(MAX_SAMPLE_OVER_AVERAGE * average.value_or(sample));
        let ratio = sample / average.value_or(sample).max(1e-9);
        average.add(bounded);
        if let LatencyKind::FirstToken(_) = kind {
            self.first_token_time_per_token.add(bounded);
        }
        ratio
    }
}

/// Backoff of attempt timeouts for each stage: recent timeouts lengthen the timeouts of later attempts.
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

    /// How many times the timeouts of this stage are doubled.
    pub fn doublings(&self, stage: Stage) -> u32 {
        match stage {
            Stage::Prefill => self.prefill,
            Stage::Decode => self.decode,
        }
    }

    /// Records a timeout. A timeout of a stream that had started does not lengthen later timeouts.
    pub fn record_timeout(&mut self, stage: Stage, had_started: bool) {
        let doublings = self.doublings_mut(stage);
        *doublings = (*doublings + u32::from(!had_started)).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Records a successful attempt at this stage.
    pub fn record_success(&mut self, stage: Stage) {
        let doublings = self.doublings_mut(stage);
        *doublings = doublings.saturating_sub(1);
    }
}
