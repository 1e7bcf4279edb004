//! What the tests of the runtime's parts start from.

use super::exchange::ForwardedRequest;
use crate::interface::{Micros, RequestId, RequestSpec};

/// A request of no class, which expects an answer by this time.
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

/// A request without an id or a body, from a client that stays.
pub(super) fn forwarded_request() -> ForwardedRequest {
    ForwardedRequest {
        id: String::new(),
        target: String::new(),
        headers: Default::default(),
        body: Default::default(),
        client: Default::default(),
        resources: None,
    }
}
