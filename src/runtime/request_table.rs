//! The requests that the driver works on.

use super::active_request::ActiveRequest;
use crate::interface::RequestId;
use std::collections::HashMap;

/// The active requests by their number. A request stays in the table until it has its final answer and none
/// of its attempts is in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, ActiveRequest>,
}

impl RequestTable {
    /// Adds a request that was received.
    pub fn insert(&mut self, number: RequestId, request: ActiveRequest) {
        self.requests.insert(number, request);
    }

    /// A request, if it is active.
    pub fn get(&self, number: RequestId) -> Option<&ActiveRequest> {
        self.requests.get(&number)
    }

    /// A request to change, if it is active.
    pub fn get_mut(&mut self, number: RequestId) -> Option<&mut ActiveRequest> {
        self.requests.get_mut(&number)
    }

    /// Whether a request is active.
    pub fn contains(&self, number: RequestId) -> bool {
        self.requests.contains_key(&number)
    }

    /// Removes a request and returns it, if it has its final answer and no attempt in flight.
    pub fn remove_if_finished(&mut self, number: RequestId) -> Option<ActiveRequest> {
        if !self.requests.get(&number)?.is_finished() {
            return None;
        }
        self.requests.remove(&number)
    }

    /// How many requests are active.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
