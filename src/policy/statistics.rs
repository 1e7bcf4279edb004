//! Averages and sums that forget old samples.

use crate::interface::Micros;

/// Measurements of load count half as much after this time: the queues that workers build up before they
/// reject are seconds long.
pub(super) const LOAD_HALF_LIFE: Micros = 2_000_000;

/// Weight of a new sample in every learned average: the last ten or so count, enough to outlast one outlier.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;

/// The fraction of a measurement taken at `since` that still counts at `now`.
pub(super) fn decay(now: Micros, since: Micros) -> f64 {
    0.5f64.powf(now.saturating_sub(since) as f64 / LOAD_HALF_LIFE as f64)
}

/// A sum that halves every [`LOAD_HALF_LIFE`]; it is never negative.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingSum {
    value: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// What is left of the sum at `now`.
    pub fn value_at(&self, now: Micros) -> f64 {
        if self.value == 0.0 { 0.0 } else { self.value * decay(now, self.updated_at) }
    }

    /// Adds `amount`, which may be negative.
    pub fn add(&mut self, now: Micros, amount: f64) {
        *self = DecayingSum { value: (self.value_at(now) + amount).max(0.0), updated_at: now };
    }
}

/// An exponential moving average. It starts as the plain mean, until [`SAMPLE_WEIGHT`] is the larger weight
/// for a new sample.
#[derive(Clone, Copy, Default)]
pub(super) struct MovingAverage {
    value: f64,
    samples: f64,
}

impl MovingAverage {
    /// An average that starts as if it had already seen `samples` samples of `value`.
    pub fn with_prior(value: f64, samples: f64) -> Self {
        MovingAverage { value, samples }
    }

    /// Takes one sample in.
    pub fn add(&mut self, sample: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * SAMPLE_WEIGHT.max(1.0 / self.samples);
    }

    /// The average, or `default` before the first sample.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.samples > 0.0 { self.value } else { default }
    }
}

/// The median of values that change one at a time.
#[derive(Default)]
pub(super) struct RunningMedian {
    /// In ascending order.
    values: Vec<f64>,
}

impl RunningMedian {
    /// Adds a value.
    pub fn insert(&mut self, value: f64) {
        let index = self.values.partition_point(|other| other.total_cmp(&value).is_lt());
        self.values.insert(index, value);
    }

    /// Removes a value that was added.
    pub fn remove(&mut self, value: f64) {
        if let Ok(index) = self.values.binary_search_by(|other| other.total_cmp(&value)) {
            self.values.remove(index);
        }
    }

    /// The median, the upper one of two; 1 if there are no values.
    pub fn median(&self) -> f64 {
        self.values.get(self.values.len() / 2).copied().unwrap_or(1.0)
    }
}
