//! The platform's HTTP protocol: the headers of requests are decoded, and the driver's responses encoded.

use crate::frontend::response_body::{ResponseBody, plain_text};
use crate::interface::{Micros, RequestId, RequestSpec};
use crate::net::is_valid_id;
use crate::runtime::exchange::{DisconnectGuard, FinalResponse};
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Response, StatusCode};
use std::fmt;
use std::sync::Arc;

/// The path that is served.
pub const PATH: &str = "/v1/chat/completions";
/// The longest deadline that is accepted: ten minutes.
const MAX_DEADLINE: Micros = 600_000_000;
/// The largest count of tokens that is accepted.
const MAX_TOKENS: u64 = 100_000_000;
/// The longest session, prefix or tenant name that is taken into account, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// How many bytes of a body are taken for one token where a client does not state its prompt's length, over either
/// protocol.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), or that are written anew for each attempt.
const NOT_FORWARDED: [HeaderName; 12] = [
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

/// A request header of the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformHeader {
    /// The id under which workers know the request.
    RequestId,
    /// The request's class.
    Class,
    /// How long the client waits, from when it sent the request.
    Deadline,
    /// The session that the request belongs to.
    Session,
    /// The tenant that the request belongs to.
    Tenant,
    /// Lengths in tokens, and the shared prefix of the prompt.
    Extras,
}

impl PlatformHeader {
    /// Its name on the wire.
    fn name(self) -> &'static str {
        match self {
            PlatformHeader::RequestId => "X-Request-Id",
            PlatformHeader::Class => "X-Class",
            PlatformHeader::Deadline => "X-Deadline",
            PlatformHeader::Session => "X-Key",
            PlatformHeader::Tenant => "X-Tenant",
            PlatformHeader::Extras => "X-Extras",
        }
    }

    /// Its value without surrounding white space, if the request has it.
    fn value(self, headers: &HeaderMap) -> Result<Option<&str>, InvalidHeader> {
        let Some(value) = headers.get(self.name()) else { return Ok(None) };
        value.to_str().map(|text| Some(text.trim())).map_err(|_| InvalidHeader::Malformed(self))
    }

    /// The same for a header that every request must have.
    fn required_value(self, headers: &HeaderMap) -> Result<&str, InvalidHeader> {
        self.value(headers)?.ok_or(InvalidHeader::Missing(self))
    }
}

impl fmt::Display for PlatformHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What is wrong with the headers of a request. The texts are part of the protocol: clients are sent them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidHeader {
    /// A required header is not there.
    #[error("{0} is missing")]
    Missing(PlatformHeader),
    /// A header's value cannot be read, or is out of its range.
    #[error("bad {0}")]
    Malformed(PlatformHeader),
}

/// A request whose headers have been decoded.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The id under which workers know the request.
    pub id: String,
    /// The request as the policy sees it; its prompt's length may be unknown until [`ParsedRequest::complete_spec`].
    pub spec: RequestSpec,
    is_prompt_length_stated: bool,
}

impl ParsedRequest {
    /// Fills in what the headers left out, from the length of the body in bytes.
    pub fn complete_spec(&mut self, body_bytes: usize) {
        if !self.is_prompt_length_stated {
            self.spec.prompt_tokens = body_bytes as u64 / BYTES_PER_TOKEN;
        }
    }
}

/// Decodes the headers of a request whose client began to wait at `sent_at`.
///
/// # Errors
/// A header is missing or malformed.
pub fn decode(headers: &HeaderMap, sent_at: Micros) -> Result<ParsedRequest, InvalidHeader> {
    let id = PlatformHeader::RequestId.required_value(headers)?;
    if !is_valid_id(id) || headers.get_all(PlatformHeader::RequestId.name()).iter().count() > 1 {
        return Err(InvalidHeader::Malformed(PlatformHeader::RequestId));
    }
    let class = PlatformHeader::Class.required_value(headers)?;
    let deadline = PlatformHeader::Deadline.required_value(headers)?;
    let deadline = parse_deadline(deadline).ok_or(InvalidHeader::Malformed(PlatformHeader::Deadline))?;
    let session = PlatformHeader::Session.value(headers)?.filter(|name| is_usable_name(name));
    let tenant = PlatformHeader::Tenant.value(headers)?.filter(|name| is_usable_name(name));
    let extras = Extras::decode(PlatformHeader::Extras.value(headers)?.unwrap_or_default())?;
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
    Ok(ParsedRequest { id: id.to_owned(), spec, is_prompt_length_stated: extras.prompt_tokens.is_some() })
}

/// The pairs of the `X-Extras` header.
#[derive(Debug, Default)]
struct Extras {
    prefix: Option<Arc<str>>,
    prefix_tokens: u64,
    prompt_tokens: Option<u64>,
    max_tokens: u64,
}

impl Extras {
    /// Decodes `name=value` pairs separated by commas. Unknown names are ignored; of equal names the last one counts.
    fn decode(text: &str) -> Result<Self, InvalidHeader> {
        const MALFORMED: InvalidHeader = InvalidHeader::Malformed(PlatformHeader::Extras);
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

/// Whether a name of a session, prefix or tenant is taken into account.
fn is_usable_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Decodes a deadline: digits, and `m` for milliseconds or `u` for microseconds.
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

/// The headers that are forwarded to a worker: all but those that concern the client's connection, by name or because
/// `Connection` lists them. Workers may need any other, an idempotency key for one.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = (headers.get_all(header::CONNECTION).iter())
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in NOT_FORWARDED.iter().chain(&listed) {
        headers.remove(name);
    }
    headers
}

/// Encodes the driver's response. The guard lives as long as the client is being answered.
pub fn encode(response: FinalResponse, disconnect_guard: DisconnectGuard) -> Response<ResponseBody> {
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

/// A rejection, which promises the client that a retry does no harm. Its text, "refused", is fixed by the protocol.
pub fn rejection(retry_after: Option<Micros>) -> Response<ResponseBody> {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(value) = retry_after.and_then(|wait| format!("{:.3}", wait as f64 / 1e6).parse().ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

#[cfg(test)]
mod tests;
