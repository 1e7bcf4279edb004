//! The HTTP protocol for chat completions: decodes request headers and encodes the driver's responses.

use crate::frontend::response_body::{ResponseBody, plain_text};
use crate::interface::{Micros, RequestId, RequestSpec};
use crate::net::is_valid_id;
use crate::runtime::exchange::{DisconnectGuard, FinalResponse};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use std::fmt;
use std::sync::Arc;

/// The path of chat completion requests.
pub const PATH: &str = "/v1/chat/completions";
/// The longest accepted deadline: ten minutes.
const MAX_DEADLINE: Micros = 600_000_000;
/// The largest accepted token count.
const MAX_TOKENS: u64 = 100_000_000;
/// The longest session, prefix or tenant name in bytes; longer names are ignored.
const MAX_NAME_BYTES: usize = 256;
/// The bytes of a body that are estimated as one token where a client does not state its prompt's length.
/// Both client protocols use it.
pub const BYTES_PER_TOKEN: u64 = 4;

/// The memory that a header occupies beside its name and value, in bytes.
const HEADER_OVERHEAD_BYTES: usize = 160;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are set for each attempt.
const NON_FORWARDED_HEADERS: [HeaderName; 12] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// A request header of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestHeader {
    /// The request's id, which workers receive too.
    RequestId,
    /// The name of the request's class.
    Class,
    /// The time until the client's deadline, from when it sent the request.
    Deadline,
    /// The session of the request.
    Session,
    /// The tenant of the request.
    Tenant,
    /// Token counts, and the key of the prompt's shared prefix.
    Extras,
}

impl RequestHeader {
    /// The header's name on the wire.
    fn name(self) -> &'static str {
        match self {
            RequestHeader::RequestId => "X-Request-Id",
            RequestHeader::Class => "X-Class",
            RequestHeader::Deadline => "X-Deadline",
            RequestHeader::Session => "X-Key",
            RequestHeader::Tenant => "X-Tenant",
            RequestHeader::Extras => "X-Extras",
        }
    }

    /// The header's value without surrounding white space, if it is present.
    fn value(self, headers: &HeaderMap) -> Result<Option<&str>, InvalidHeader> {
        let Some(value) = headers.get(self.name()) else { return Ok(None) };
        value.to_str().map(|text| Some(text.trim())).map_err(|_| InvalidHeader::Malformed(self))
    }

    /// The value of a mandatory header.
    fn required_value(self, headers: &HeaderMap) -> Result<&str, InvalidHeader> {
        self.value(headers)?.ok_or(InvalidHeader::Missing(self))
    }
}

impl fmt::Display for RequestHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why the headers of a request are rejected. The `Display` texts are part of the protocol: clients receive
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidHeader {
    /// A mandatory header is missing.
    #[error("{0} is missing")]
    Missing(RequestHeader),
    /// A header's value is not text, malformed or out of range.
    #[error("bad {0}")]
    Malformed(RequestHeader),
}

/// The decoded headers of a request.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request's id, which workers receive too.
    pub id: String,
    /// The request's description for the policy. The prompt's length may be unknown until
    /// [`ParsedRequest::estimate_missing_prompt_length`].
    pub spec: RequestSpec,
    has_prompt_length: bool,
}

impl ParsedRequest {
    /// Estimates the prompt's length from the length of the body if the headers do not state it.
    pub fn estimate_missing_prompt_length(&mut self, body_bytes: usize) {
        if !self.has_prompt_length {
            self.spec.prompt_tokens = body_bytes as u64 / BYTES_PER_TOKEN;
        }
    }
}

/// Decodes the headers of a request. `sent_at` is the time from which its deadline counts.
///
/// # Errors
/// A header is missing or malformed.
pub fn decode_headers(headers: &HeaderMap, sent_at: Micros) -> Result<ParsedRequest, InvalidHeader> {
    let id = RequestHeader::RequestId.required_value(headers)?;
    if !is_valid_id(id) || headers.get_all(RequestHeader::RequestId.name()).iter().count() > 1 {
        return Err(InvalidHeader::Malformed(RequestHeader::RequestId));
    }
    let class = RequestHeader::Class.required_value(headers)?;
    let deadline = RequestHeader::Deadline.required_value(headers)?;
    let deadline = parse_deadline(deadline).ok_or(InvalidHeader::Malformed(RequestHeader::Deadline))?;
    let session = RequestHeader::Session.value(headers)?.filter(|name| is_usable_name(name));
    let tenant = RequestHeader::Tenant.value(headers)?.filter(|name| is_usable_name(name));
    let extras = Extras::decode(RequestHeader::Extras.value(headers)?.unwrap_or_default())?;
    let spec = RequestSpec {
        request: RequestId(0),
        deadline: sent_at + deadline,
        session: session.map(Into::into),
        prefix: extras.prefix,
        prefix_tokens: extras.prompt_tokens.map_or(extras.prefix_tokens, |all| extras.prefix_tokens.min(all)),
        prompt_tokens: extras.prompt_tokens.unwrap_or(0),
        max_tokens: extras.max_tokens,
        expected_decode_time: None,
        class: class.to_owned(),
        tenant: tenant.map(Into::into),
    };
    Ok(ParsedRequest { id: id.to_owned(), spec, has_prompt_length: extras.prompt_tokens.is_some() })
}

/// The fields of the `X-Extras` header.
#[derive(Debug, Default)]
struct Extras {
    prefix: Option<Arc<str>>,
    prefix_tokens: u64,
    prompt_tokens: Option<u64>,
    max_tokens: u64,
}

impl Extras {
    /// Decodes `name=value` pairs separated by commas. Unknown names are ignored; the last of equal names
    /// wins.
    fn decode(text: &str) -> Result<Self, InvalidHeader> {
        const MALFORMED: InvalidHeader = InvalidHeader::Malformed(RequestHeader::Extras);
        let mut extras = Extras::default();
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').ok_or(MALFORMED)?;
            let tokens = || value.parse().ok().filter(|tokens| *tokens <= MAX_TOKENS).ok_or(MALFORMED);
            match name {
                "prefix" if is_usable_name(value) => extras.prefix = Some(value.into()),
                "prompt_len" => extras.prompt_tokens = Some(tokens()?),
                "prefix_len" => extras.prefix_tokens = tokens()?,
                "max_out" => extras.max_tokens = tokens()?,
                _ => {}
            }
        }
        Ok(extras)
    }
}

/// Whether a session, prefix or tenant name is used; others are ignored.
fn is_usable_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Parses a deadline: digits followed by `m` for milliseconds or `u` for microseconds.
fn parse_deadline(text: &str) -> Option<Micros> {
    let (number, unit) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], 1_000),
        b'u' => (&text[..text.len() - 1], 1),
        _ => return None,
    };
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    number.parse::<Micros>().ok()?.checked_mul(unit).filter(|d| (1..=MAX_DEADLINE).contains(d))
}

/// Removes the headers that are not forwarded to workers, including those that `Connection` lists. All others
/// are kept, as workers may need any of them, such as an idempotency key.
///
/// Their values are copied, since those that hyper has parsed keep the connection's read buffer alive.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = (headers.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in NON_FORWARDED_HEADERS.iter().chain(&connection_options) {
        headers.remove(name);
    }
    for value in headers.values_mut() {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
    headers
}

/// The memory that headers occupy, in bytes.
pub fn header_memory(headers: &HeaderMap) -> usize {
    let field_memory = |(name, value): (&HeaderName, &HeaderValue)| {
        HEADER_OVERHEAD_BYTES + name.as_str().len() + value.len()
    };
    headers.iter().map(field_memory).sum()
}

/// Encodes the driver's response. The body of a streamed response holds the guard until the stream ends.
pub fn encode_response(response: FinalResponse, disconnect_guard: DisconnectGuard) -> Response<ResponseBody> {
    match response {
        FinalResponse::Rejected { retry_after } => rejection(retry_after),
        FinalResponse::Failed => plain_text(StatusCode::BAD_GATEWAY, "failed\n"),
        FinalResponse::Stream(stream) => {
            let content_type = stream.content_type.clone();
            let mut response = Response::new(ResponseBody::Stream(stream, disconnect_guard));
            if let Some(value) = content_type.and_then(|text| text.parse().ok()) {
                response.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            response
        }
    }
}

/// Builds a rejection, after which the client may safely retry. Its body, "refused", is part of the protocol.
pub fn rejection(retry_after: Option<Micros>) -> Response<ResponseBody> {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(value) = retry_after.and_then(|wait| format!("{:.3}", wait as f64 / 1e6).parse().ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

#[cfg(test)]
mod tests;
