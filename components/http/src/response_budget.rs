//! Limit of the memory that responses use while they are received.

use crate::CallError;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory of all response bodies that are being received by the pools that share it.
#[derive(Debug)]
pub struct ResponseBudget {
    max_bytes: usize,
    bytes: AtomicUsize,
    responses: AtomicUsize,
}

impl ResponseBudget {
    /// Creates a budget of this size.
    pub fn new(max_bytes: usize) -> Self {
        ResponseBudget {
            max_bytes,
            bytes: AtomicUsize::new(0),
            responses: AtomicUsize::new(0),
        }
    }

    pub(crate) fn start_response(&self) -> BufferedResponse<'_> {
        self.responses.fetch_add(1, Ordering::Relaxed);
        BufferedResponse {
            budget: self,
            bytes: 0,
        }
    }
}

/// Share of one response in the budget; returned when it is dropped.
pub(crate) struct BufferedResponse<'a> {
    budget: &'a ResponseBudget,
    bytes: usize,
}

impl BufferedResponse<'_> {
    /// Records the memory that the body takes now. Fails if the budget is exceeded and this response
    /// takes more than an equal share of it, so that small responses are received beside large
    /// ones.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), CallError> {
        let added = bytes - self.bytes;
        self.bytes = bytes;
        let total = self.budget.bytes.fetch_add(added, Ordering::Relaxed) + added;
        let responses = self.budget.responses.load(Ordering::Relaxed).max(1);
        let is_over_share = bytes > self.budget.max_bytes / responses;
        if total > self.budget.max_bytes && is_over_share {
            return Err(CallError::TooLarge);
        }
        Ok(())
    }
}

impl Drop for BufferedResponse<'_> {
    fn drop(&mut self) {
        self.budget.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.responses.fetch_sub(1, Ordering::Relaxed);
    }
}
