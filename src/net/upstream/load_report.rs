//! Reads workers' load reports from response headers and from responses to health checks.

use crate::interface::LoadReport;
use crate::wire_format::parse_load_report;
use hyper::HeaderMap;

/// The load report in a response's headers. An invalid report is ignored, since the response itself is valid.
pub(super) fn from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    parse(headers.get("x-load")?.to_str().ok()?)
}

/// The load report in the body of a response to a health check. An invalid report is ignored.
pub(super) fn from_body(body: &[u8]) -> Option<LoadReport> {
    parse(std::str::from_utf8(body).ok()?.trim())
}

fn parse(text: &str) -> Option<LoadReport> {
    parse_load_report(text).ok()
}
