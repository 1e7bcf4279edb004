//! Load reports of workers, in response headers and in the responses to health checks.

use crate::interface::LoadReport;
use crate::wire_format::parse_load_report;
use hyper::HeaderMap;

/// The load report in a response's headers. A report that can't be read counts as none: the response itself
/// is good.
pub(super) fn from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    parse(headers.get("x-load")?.to_str().ok()?)
}

/// The load report in the body of a response to a health check, if it has one that can be read.
pub(super) fn from_body(body: &[u8]) -> Option<LoadReport> {
    parse(std::str::from_utf8(body).ok()?.trim())
}

fn parse(text: &str) -> Option<LoadReport> {
    parse_load_report(text).ok()
}
