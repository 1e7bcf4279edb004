//! The input, line by line.

use super::error::{LineError, WireError};
use std::io::BufRead;

/// Reads lines and numbers them.
pub(super) struct LineReader<R> {
    input: R,
    number: u64,
    text: String,
}

impl<R: BufRead> LineReader<R> {
    pub fn new(input: R) -> Self {
        LineReader { input, number: 0, text: String::new() }
    }

    /// The line read last, without its end.
    pub fn current(&self) -> &str {
        &self.text
    }

    /// Reads the next line, and says whether there was one.
    pub fn advance(&mut self) -> Result<bool, WireError> {
        self.text.clear();
        let mut bytes = Vec::new();
        if self.input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(false);
        }
        self.number += 1;
        if bytes.last() == Some(&b'\n') {
            bytes.pop();
        }
        self.text = String::from_utf8(bytes).map_err(|error| self.malformed(LineError::NotUtf8(error)))?;
        Ok(true)
    }

    /// Reads the next line inside a batch, where the input may not end before `expected` has come.
    pub fn advance_within_batch(&mut self, expected: &'static str) -> Result<(), WireError> {
        if self.advance()? {
            return Ok(());
        }
        // The error names the line that is missing: the one after the last.
        self.number += 1;
        Err(self.malformed(LineError::IncompleteBatch { missing: expected }))
    }

    /// The error for the current line.
    pub fn malformed(&self, error: LineError) -> WireError {
        WireError::Malformed { line: self.number, error }
    }
}
