//! What this router has learned of how long work takes, in microseconds for each token of work.

use super::MAX_BACKOFF_DOUBLINGS;
use super::statistics::MovingAverage;
use super::worker::Distance;
use crate::interface::{Micros, Stage};

/// An attempt that hangs says little of its peers: a sample counts as this many times the average at most.
const MAX_SAMPLE_OVER_AVERAGE: f64 = 2.0;

/// Learned times and sizes, over all workers.
#[derive(Default)]
pub(super) struct LatencyModel {
    prefill_time_per_token: MovingAverage,
    /// By `Distance as usize`.
    decode_times_per_token: [MovingAverage; 3],
    first_token_time_per_token: MovingAverage,
    uncached_tokens: MovingAverage,
    prompt_tokens: MovingAverage,
}

/// What a measured time is of.
#[derive(Clone, Copy)]
pub(super) enum LatencyKind {
    /// A prefill.
    Prefill,
    /// A decode's first token, after the KV cache has travelled this far.
    FirstToken(Distance),
}

impl LatencyKind {
    /// The kind of an attempt at this stage.
    pub fn of(stage: Stage, distance: Distance) -> Self {
        match stage {
            Stage::Prefill => LatencyKind::Prefill,
            Stage::Decode => LatencyKind::FirstToken(distance),
        }
    }
}

impl LatencyModel {
    /// Time of a prefill, for each token of its work.
    pub fn prefill_time_per_token(&self) -> MovingAverage {
        self.prefill_time_per_token
    }

    /// Time to a decode's first token over all distances, for each token of its work.
    pub fn first_token_time_per_token(&self) -> MovingAverage {
        self.first_token_time_per_token
    }

    /// Prompt tokens of a prefill that its worker did not find cached.
    pub fn uncached_tokens(&self) -> MovingAverage {
        self.uncached_tokens
    }

    /// Prompt tokens of a request.
    pub fn prompt_tokens(&self) -> MovingAverage {
        self.prompt_tokens
    }

    /// Learns the size of a prompt that was received.
    pub fn record_prompt(&mut self, prompt_tokens: u64) {
        self.prompt_tokens.add(prompt_tokens as f64);
    }

    /// Learns how much of a prompt was not cached.
    pub fn record_uncached_tokens(&mut self, tokens: f64) {
        self.uncached_tokens.add(tokens);
    }

    /// Time to a decode's first token after the KV cache has travelled this far, for each token of its work.
    pub fn decode_time_per_token(&self, distance: Distance) -> MovingAverage {
        self.decode_times_per_token[distance as usize]
    }

    /// Learns from an attempt that took `elapsed` for `work` tokens. Returns the time that it took over the
    /// time expected.
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
