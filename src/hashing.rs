//! Conversion of hashes to pseudo-random numbers.

/// Maps a hash to a number in the open interval (0, 1).
pub(crate) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
