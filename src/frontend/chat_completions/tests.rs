//! Unit tests of the chat completion protocol.

use super::*;
use hyper::header::HeaderValue;
use rstest::rstest;

/// A complete set of headers with one header replaced, or removed if `value` is `None`.
fn headers_with(name: &'static str, value: Option<&'static str>) -> HeaderMap {
    let complete = [("x-request-id", "id-1"), ("x-class", "send"), ("x-deadline", "8000m")];
    let mut headers: HeaderMap = (complete.into_iter())
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)))
        .collect();
    headers.remove(name);
    if let Some(value) = value {
        headers.insert(name, HeaderValue::from_bytes(value.as_bytes()).unwrap());
    }
    headers
}

/// Clients receive these texts, so they must not change.
#[rstest]
#[case::missing_id("x-request-id", None, "X-Request-Id is missing")]
#[case::id_unsafe_in_a_path("x-request-id", Some("a/b"), "bad X-Request-Id")]
#[case::missing_class("x-class", None, "X-Class is missing")]
#[case::non_text_class("x-class", Some("é"), "bad X-Class")]
#[case::missing_deadline("x-deadline", None, "X-Deadline is missing")]
#[case::deadline_without_unit("x-deadline", Some("100"), "bad X-Deadline")]
#[case::zero_deadline("x-deadline", Some("0m"), "bad X-Deadline")]
#[case::deadline_too_long("x-deadline", Some("600001m"), "bad X-Deadline")]
#[case::non_text_session("x-key", Some("é"), "bad X-Key")]
#[case::non_text_tenant("x-tenant", Some("é"), "bad X-Tenant")]
#[case::extras_without_value("x-extras", Some("prompt_len"), "bad X-Extras")]
#[case::extras_out_of_range("x-extras", Some("max_out=100000001"), "bad X-Extras")]
fn an_error_names_the_invalid_header(
    #[case] name: &'static str,
    #[case] value: Option<&'static str>,
    #[case] expected: &str,
) {
    assert_eq!(decode_headers(&headers_with(name, value), 0).unwrap_err().to_string(), expected);
}

#[test]
fn a_missing_prompt_length_is_estimated_from_the_body() {
    let mut parsed = decode_headers(&headers_with("x-extras", Some("prefix_len=70")), 0).unwrap();
    parsed.estimate_missing_prompt_length(100);
    assert_eq!((parsed.spec.prompt_tokens, parsed.spec.prefix_tokens), (25, 70));
}

#[test]
fn a_stated_prompt_length_is_kept_and_limits_the_prefix_length() {
    let mut parsed =
        decode_headers(&headers_with("x-extras", Some("prefix_len=70, prompt_len=60")), 0).unwrap();
    parsed.estimate_missing_prompt_length(100);
    assert_eq!((parsed.spec.prompt_tokens, parsed.spec.prefix_tokens), (60, 60));
}
