//! Parses the tab-separated fields of one line.

use super::error::LineError;
use crate::interface::{LoadReport, Outcome, WorkerId};
use crate::wire_format::parse_load_report;
use std::str::{FromStr, Split};
use std::sync::Arc;

/// A reader of the fields of a line, in order, starting with the name of the message.
///
/// The field names passed to its methods are those of the wire; they are used in error texts only.
pub(super) struct Fields<'a> {
    message: &'a str,
    remaining: Split<'a, char>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Fields { message: line.split('\t').next().unwrap_or(""), remaining: line.split('\t') }
    }

    /// The name of the line's message.
    pub fn message(&self) -> &'a str {
        self.message
    }

    /// The text of the next field.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let value = self.remaining.next();
        value.ok_or_else(|| LineError::MissingField { message: self.message.to_owned(), field })
    }

    /// The text of an optional field; an empty field or a dash counts as absent.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, LineError> {
        Ok(Some(self.text(field)?).filter(|value| *value != "-" && !value.is_empty()))
    }

    /// The parsed value of an optional field.
    pub fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, LineError> {
        let value = self.optional_text(field)?;
        value.map(|text| text.parse().map_err(|_| self.invalid(field, text))).transpose()
    }

    /// The parsed value of a required field.
    pub fn required<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        self.optional(field)?.ok_or_else(|| self.invalid(field, "-"))
    }

    /// A number of tokens; 0 if absent. The wire allows fractions, which are truncated.
    pub fn token_count(&mut self, field: &'static str) -> Result<u64, LineError> {
        let value: f64 = self.optional(field)?.unwrap_or(0.0);
        if value.is_finite() && value >= 0.0 {
            Ok(value as u64)
        } else {
            Err(self.invalid(field, &value.to_string()))
        }
    }

    /// A boolean; false if absent.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.optional_text(field)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(value) => Err(self.invalid(field, value)),
        }
    }

    /// The name of a worker.
    pub fn worker(&mut self) -> Result<WorkerId, LineError> {
        self.text("worker").map(|name| WorkerId(Arc::from(name)))
    }

    /// The outcome of an attempt or a health check.
    pub fn outcome(&mut self) -> Result<Outcome, LineError> {
        const FIELD: &str = "disposition";
        Ok(match self.text(FIELD)? {
            "served" => Outcome::Completed,
            "half_done" => Outcome::PrefillCompleted,
            "server_error" => Outcome::WorkerError,
            "turned_away" => Outcome::Rejected,
            "no_answer" => Outcome::TimedOut,
            "no_connection" => Outcome::ConnectFailed,
            "connection_lost" => Outcome::ConnectionLost,
            "called_off" => Outcome::Cancelled,
            "not_sent" => Outcome::NotSent,
            other => return Err(self.invalid(FIELD, other)),
        })
    }

    /// The optional load report of a worker.
    pub fn load_report(&mut self) -> Result<Option<LoadReport>, LineError> {
        const FIELD: &str = "health_info";
        let Some(text) = self.optional_text(FIELD)? else { return Ok(None) };
        parse_load_report(text).map(Some).map_err(|error| self.invalid(FIELD, error.item()))
    }

    /// Bytes in hexadecimal; none if absent.
    pub fn bytes(&mut self, field: &'static str) -> Result<Vec<u8>, LineError> {
        let digits = self.optional_text(field)?.unwrap_or("");
        let byte = |index| u8::from_str_radix(digits.get(index..index + 2)?, 16).ok();
        let bytes: Option<Vec<u8>> = (0..digits.len()).step_by(2).map(byte).collect();
        bytes.ok_or_else(|| self.invalid(field, digits))
    }

    /// The key and value pairs of the remaining fields. Fields without `=` are skipped.
    pub fn into_key_value_pairs(self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.remaining.filter_map(|field| field.split_once('='))
    }

    /// The error for an invalid value of a field.
    pub fn invalid(&self, field: &'static str, value: &str) -> LineError {
        LineError::InvalidField { message: self.message.to_owned(), field, value: value.to_owned() }
    }
}
