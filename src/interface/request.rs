//! Client requests.

use super::Micros;
use std::sync::Arc;

/// The number of a request. A retry by the client is a new request with a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The properties of a request that the policy decides on.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The number of the request.
    pub request: RequestId,
    /// The time at which the client stops waiting for the response.
    pub deadline: Micros,
    /// The session that the request belongs to.
    pub session: Option<Arc<str>>,
    /// The identifier of the shared prefix that the prompt starts with.
    pub prefix: Option<Arc<str>>,
    /// The length of the shared prefix, in tokens.
    pub prefix_tokens: u64,
    /// The length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the response, in tokens; 0 if unspecified.
    pub max_tokens: u64,
    /// The client's estimate of the response length, as decode time at the class's inter-token objective.
    pub expected_decode_time: Option<Micros>,
    /// The name of the request class.
    pub class: String,
    /// The name of the tenant.
    pub tenant: Option<String>,
}
