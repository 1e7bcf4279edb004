//! The driver's table of active requests.

use super::active_request::ActiveRequest;
use crate::interface::RequestId;
use std::collections::HashMap;

/// The active requests by number. A request stays in the table until it has its final response and no attempt
/// in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, ActiveRequest>,
}

impl RequestTable {
    pub fn insert(&mut self, number: RequestId, request: ActiveRequest) {
        self.requests.insert(number, request);
    }

    pub fn get(&self, number: RequestId) -> Option<&ActiveRequest> {
        self.requests.get(&number)
    }

    pub fn get_mut(&mut self, number: RequestId) -> Option<&mut ActiveRequest> {
        self.requests.get_mut(&number)
    }

    pub fn contains(&self, number: RequestId) -> bool {
        self.requests.contains_key(&number)
    }

    /// Removes a request and returns it, if it has its final response and no attempt in flight.
    pub fn remove_if_finished(&mut self, number: RequestId) -> Option<ActiveRequest> {
        if !self.requests.get(&number)?.is_finished() {
            return None;
        }
        self.requests.remove(&number)
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
