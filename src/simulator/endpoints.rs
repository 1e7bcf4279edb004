//! Parses endpoint lists: a header message, followed by one line per endpoint.

use super::error::{LineError, WireError};
use super::fields::Fields;
use super::lines::LineReader;
use crate::interface::{Endpoint, UpdateKind, WorkerStatus};
use std::io::BufRead;

/// The message that precedes the lines of the endpoints.
pub(super) struct EndpointListHeader {
    pub kind: UpdateKind,
    pub count: u64,
}

impl EndpointListHeader {
    /// Parses the fields after the router's number.
    pub fn parse(fields: &mut Fields<'_>) -> Result<Self, LineError> {
        let kind = match fields.text("kind")? {
            "INCREMENTAL" => UpdateKind::Delta,
            "FULL" => UpdateKind::Snapshot,
            "SAVED" => UpdateKind::Restored,
            "FAILED" => UpdateKind::Unavailable,
            other => return Err(fields.invalid("kind", other)),
        };
        // The version is validated but not used: the simulator delivers updates in order.
        fields.optional::<i64>("version")?;
        let count = fields.optional("members")?.unwrap_or(0);
        Ok(EndpointListHeader { kind, count })
    }

    /// Reads the announced number of endpoints from the lines that follow.
    pub fn read_endpoints(&self, lines: &mut LineReader<impl BufRead>) -> Result<Vec<Endpoint>, WireError> {
        let mut endpoints = Vec::new();
        for _ in 0..self.count {
            lines.advance_within_batch("ENTRY")?;
            let endpoint = parse_endpoint(lines.current());
            endpoints.push(endpoint.map_err(|error| lines.malformed(error))?);
        }
        Ok(endpoints)
    }
}

fn parse_endpoint(line: &str) -> Result<Endpoint, LineError> {
    let mut fields = Fields::new(line);
    if fields.text("message")? != "ENTRY" {
        return Err(LineError::ExpectedEndpoint { found: fields.message().to_owned() });
    }
    // The initializers parse the fields in the order of the wire.
    Ok(Endpoint {
        worker: fields.worker()?,
        zone: fields.text("campus")?.to_owned(),
        kind: fields.text("shape")?.to_owned(),
        cell: fields.optional("cluster")?.unwrap_or(0),
        status: parse_status(&mut fields)?,
        weight: fields.optional("scale")?.unwrap_or(1.0),
        started_at: fields.optional("since_us")?.filter(|started_at| *started_at > 0),
    })
}

fn parse_status(fields: &mut Fields<'_>) -> Result<WorkerStatus, LineError> {
    match fields.text("status")? {
        "in_service" => Ok(WorkerStatus::Ready),
        "terminating" => Ok(WorkerStatus::Draining),
        "terminated" => Ok(WorkerStatus::Gone),
        other => Err(fields.invalid("status", other)),
    }
}
