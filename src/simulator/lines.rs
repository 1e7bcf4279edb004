//! Reads the input line by line.

use super::error::{LineError, WireError};
use std::io::BufRead;

/// A reader that tracks the line number for error messages.
pub(super) struct LineReader<R> {
    input: R,
    number: u64,
    text: String,
}

impl<R: BufRead> LineReader<R> {
    pub fn new(input: R) -> Self {
        LineReader { input, number: 0, text: String::new() }
    }

    /// The last line read, without its line terminator.
    pub fn current(&self) -> &str {
        &self.text
    }

    /// Reads the next line; false at the end of the input.
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

    /// Reads the next line inside a batch. An end of input is an error that names the `expected` message.
    pub fn advance_within_batch(&mut self, expected: &'static str) -> Result<(), WireError> {
        if self.advance()? {
            return Ok(());
        }
        // The error refers to the missing line, which is the one after the last.
        self.number += 1;
        Err(self.malformed(LineError::IncompleteBatch { missing: expected }))
    }

    /// The error for the current line.
    pub fn malformed(&self, error: LineError) -> WireError {
        WireError::Malformed { line: self.number, error }
    }
}
