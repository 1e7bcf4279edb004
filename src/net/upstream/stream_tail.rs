//! The last bytes of a stream, with its usage report.

use serde::Deserialize;

/// The number of bytes kept from the end of a stream, to find the usage report in.
const TAIL_BYTES: usize = 512;

/// The fields that are read from an event with a usage report.
#[derive(Deserialize)]
struct UsageEvent {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Deserialize)]
struct PromptTokensDetails {
    cached_tokens: f64,
}

/// The last [`TAIL_BYTES`] of a stream.
pub(super) struct StreamTail(Vec<u8>);

impl StreamTail {
    pub fn new() -> Self {
        StreamTail(Vec::with_capacity(2 * TAIL_BYTES))
    }

    /// Appends bytes, and discards all but the last [`TAIL_BYTES`].
    pub fn push(&mut self, data: &[u8]) {
        if data.len() >= TAIL_BYTES {
            self.0.clear();
        }
        self.0.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
        if self.0.len() > TAIL_BYTES {
            self.0.drain(..self.0.len() - TAIL_BYTES);
        }
    }

    /// The number of cached prompt tokens in the last usage report; 0 without a report.
    pub fn cached_tokens(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.0);
        let events = text.lines().rev().filter_map(|line| line.strip_prefix("data: "));
        let mut reports = events.filter_map(|event| serde_json::from_str::<UsageEvent>(event).ok());
        reports.next().map_or(0, |report| report.usage.prompt_tokens_details.cached_tokens as u64)
    }
}

#[cfg(test)]
mod tests;
