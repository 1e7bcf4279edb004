//! Parses events from the simulator's wire format, one per line.

use super::error::LineError;
use super::fields::Fields;
use crate::interface::{AttemptEnd, AttemptIndex, Event, Outcome, RequestId, RequestSpec, TimerId};
use std::sync::Arc;

/// The bit of a request's attributes that is set if the request carries an estimate of its decode time.
const DECODE_TIME_BIT: u64 = 1;
/// The value of an absent tenant or prefix, besides a dash.
const ABSENT: &str = "0";

/// Parses an event from the fields after the router's number.
///
/// Endpoint lists span several lines; see [`EndpointListHeader`](super::endpoints::EndpointListHeader).
pub(super) fn parse_event(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    match fields.message() {
        "ASK" => parse_request(fields).map(Event::RequestReceived),
        "UNDER_WAY" => parse_stream_started(fields),
        "SEAT_NEWS" => parse_slot_reservation(fields),
        "CLOSED_ATTEMPT" => parse_attempt_ended(fields).map(Event::AttemptEnded),
        "CLIENT_LEFT" => Ok(Event::ClientDisconnected { request: parse_request_id(fields)? }),
        "ALARM" => Ok(Event::Timer(TimerId(fields.required("name")?))),
        "PROBED" => parse_health_checked(fields),
        "PEER_DATA" => Ok(Event::GossipReceived {
            from: fields.required("src_peer")?,
            payload: fields.bytes("payload")?,
        }),
        other => Err(LineError::UnknownMessage { message: other.to_owned() }),
    }
}

fn parse_request_id(fields: &mut Fields<'_>) -> Result<RequestId, LineError> {
    fields.required("txn").map(RequestId)
}

fn parse_attempt_index(fields: &mut Fields<'_>) -> Result<AttemptIndex, LineError> {
    fields.required("hop").map(AttemptIndex)
}

fn parse_request(fields: &mut Fields<'_>) -> Result<RequestSpec, LineError> {
    let request = parse_request_id(fields)?;
    let deadline = fields.required("client_deadline_us")?;
    let session = fields.optional_text("session_id")?.map(Arc::from);
    let tenant = fields.optional_text("project")?.filter(|tenant| *tenant != ABSENT).map(String::from);
    let decode_time = fields.optional::<f64>("work_hint_us")?.map(|micros| micros as u64);
    let max_tokens = fields.token_count("max_tokens")?;
    let prompt_tokens = fields.token_count("prompt_tokens")?;
    let prefix_tokens = fields.token_count("n_prefix")?;
    let prefix = fields.optional_text("system_prompt")?.filter(|prefix| *prefix != ABSENT).map(Arc::from);
    let class = fields.text("priority")?.to_owned();
    let attributes: u64 = fields.optional("attrs")?.unwrap_or(0);
    let has_decode_time = attributes & DECODE_TIME_BIT != 0;
    Ok(RequestSpec {
        request,
        deadline,
        session,
        prefix,
        prefix_tokens,
        prompt_tokens,
        max_tokens,
        expected_decode_time: decode_time.filter(|micros| has_decode_time && *micros > 0),
        class,
        tenant,
    })
}

fn parse_stream_started(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let request = parse_request_id(fields)?;
    fields.text("worker")?;
    let elapsed = fields.required("spent_us")?;
    let attempt = parse_attempt_index(fields)?;
    Ok(Event::StreamStarted { request, attempt, elapsed })
}

/// Parses the result of a reservation: the kind is 1 if the slot was reserved, else any other number. The
/// attempt index is skipped.
fn parse_slot_reservation(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let request = parse_request_id(fields)?;
    fields.text("hop")?;
    let worker = fields.worker()?;
    let reserved = fields.required::<u8>("kind")? == 1;
    Ok(Event::SlotReservationAnswered { request, worker, reserved })
}

fn parse_attempt_ended(fields: &mut Fields<'_>) -> Result<AttemptEnd, LineError> {
    let request = parse_request_id(fields)?;
    let attempt = parse_attempt_index(fields)?;
    fields.text("worker")?;
    let outcome = fields.outcome()?;
    let elapsed = fields.optional("spent_us")?.unwrap_or(0);
    let request_finished = fields.flag("settled")?;
    let cached_tokens = fields.token_count("detail")?;
    // In a rejection, the same field is 1 if the worker found no KV cache to fetch.
    let outcome = match outcome {
        Outcome::Rejected if cached_tokens == 1 => Outcome::CacheMissing,
        other => other,
    };
    let report = fields.load_report()?;
    Ok(AttemptEnd { request, attempt, outcome, elapsed, request_finished, cached_tokens, report })
}

fn parse_health_checked(fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let worker = fields.worker()?;
    let outcome = fields.outcome()?;
    fields.text("spent_us")?;
    let report = fields.load_report()?;
    Ok(Event::HealthChecked { worker, outcome, report })
}
