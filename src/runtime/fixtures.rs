//! Fixtures for the unit tests of the runtime.

use super::exchange::ForwardedRequest;
use crate::interface::{Micros, RequestId, RequestSpec};

/// A request without a class that has this deadline.
pub(super) fn request_spec(deadline: Micros) -> RequestSpec {
    RequestSpec {
        request: RequestId(0),
        deadline,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 1,
        max_tokens: 1,
        expected_decode_time: None,
        class: String::new(),
        tenant: None,
    }
}

/// A request without an id or a body, whose client stays connected.
pub(super) fn forwarded_request() -> ForwardedRequest {
    ForwardedRequest {
        id: String::new(),
        target: String::new(),
        headers: Default::default(),
        body: Default::default(),
        max_output_tokens: None,
        client: Default::default(),
        abandonment: Default::default(),
        resources: None,
    }
}
