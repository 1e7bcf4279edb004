//! The simulator's adapter: reads batches of events, runs one [`Policy`](crate::Policy) per simulated router
//! and writes the actions.
//!
//! It makes no routing decisions, and the hosted policies share no state.

mod actions;
mod endpoints;
mod error;
mod events;
mod fields;
mod host;
mod lines;

pub use error::{LineError, WireError};

use crate::interface::Micros;
use fields::Fields;
use host::PolicyHost;
use lines::LineReader;
use std::io::{BufRead, BufWriter, Write};

/// Processes batches until the input ends.
///
/// # Errors
/// [`WireError::Malformed`] at the first malformed line, or at an end of input inside a batch;
/// [`WireError::Io`] when reading or writing fails. Actions written before the error still reach the output.
pub fn serve(input: impl BufRead, output: impl Write) -> Result<(), WireError> {
    let mut lines = LineReader::new(input);
    let mut host = PolicyHost::new(BufWriter::new(output));
    while lines.advance()? {
        let now = parse_batch_start(lines.current()).map_err(|error| lines.malformed(error))?;
        lines.advance_within_batch("EOB")?;
        while lines.current() != "EOB" {
            host.process_line(now, &mut lines)?;
            lines.advance_within_batch("EOB")?;
        }
        host.acknowledge_batch()?;
    }
    Ok(())
}

/// Parses the message that starts a batch; returns the time of the batch's events.
fn parse_batch_start(line: &str) -> Result<Micros, LineError> {
    let mut fields = Fields::new(line);
    match fields.text("message")? {
        "TICK" => fields.required("clock_us"),
        other => Err(LineError::ExpectedBatchStart { found: other.to_owned() }),
    }
}
