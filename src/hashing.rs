//! Numbers drawn from hashes.

/// Maps a hash to a number between 0 and 1, excluding both.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
