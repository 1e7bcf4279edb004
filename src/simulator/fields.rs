//! The fields of one line, set apart by tabs.

use super::error::LineError;
use crate::interface::{LoadReport, Outcome, WorkerId};
use crate::wire_format::parse_load_report;
use std::str::{FromStr, Split};
use std::sync::Arc;

/// Reads the fields of a line in order, the message's name first.
///
/// The names handed in are those of the wire and serve error texts only.
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

    /// The next field as it stands.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let value = self.remaining.next();
        value.ok_or_else(|| LineError::MissingField { message: self.message.to_owned(), field })
    }

    /// A field that may be unstated: empty or a dash.
    pub fn optional_text(&mut self, field: &'static str) -> Result<Option<&'a str>, LineError> {
        Ok(Some(self.text(field)?).filter(|value| *value != "-" && !value.is_empty()))
    }

    /// A value that may be unstated.
    pub fn optional<T: FromStr>(&mut self, field: &'static str) -> Result<Option<T>, LineError> {
        let value = self.optional_text(field)?;
        value.map(|text| text.parse().map_err(|_| self.invalid(field, text))).transpose()
    }

    /// A value that has to be stated.
    pub fn required<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        self.optional(field)?.ok_or_else(|| self.invalid(field, "-"))
    }

    /// A number of tokens; 0 when unstated. The wire allows fractions, which are cut off.
    pub fn token_count(&mut self, field: &'static str) -> Result<u64, LineError> {
        let value: f64 = self.optional(field)?.unwrap_or(0.0);
        if value.is_finite() && value >= 0.0 {
            Ok(value as u64)
        } else {
            Err(self.invalid(field, &value.to_string()))
        }
    }

    /// Whether something holds; it does not when unstated.
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

    /// How an attempt or a health check ended.
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

    /// A worker's load report, if there is one.
    pub fn load_report(&mut self) -> Result<Option<LoadReport>, LineError> {
        const FIELD: &str = "health_info";
        let Some(text) = self.optional_text(FIELD)? else { return Ok(None) };
        parse_load_report(text).map(Some).map_err(|error| self.invalid(FIELD, error.item()))
    }

    /// Bytes in hexadecimal digits; none when unstated.
    pub fn bytes(&mut self, field: &'static str) -> Result<Vec<u8>, LineError> {
        let digits = self.optional_text(field)?.unwrap_or("");
        let byte = |index| u8::from_str_radix(digits.get(index..index + 2)?, 16).ok();
        let bytes: Option<Vec<u8>> = (0..digits.len()).step_by(2).map(byte).collect();
        bytes.ok_or_else(|| self.invalid(field, digits))
    }

    /// The remaining fields of the form `key=value`; others are skipped.
    pub fn into_assignments(self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.remaining.filter_map(|field| field.split_once('='))
    }

    /// The error for a field's value.
    pub fn invalid(&self, field: &'static str, value: &str) -> LineError {
        LineError::InvalidField { message: self.message.to_owned(), field, value: value.to_owned() }
    }
}
