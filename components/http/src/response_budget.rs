//! Limit of the memory that responses use while they are received and passed on.

use crate::CallError;
use std::{
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Times that a response of known length is held while it is received and passed on: in pieces, as a
/// whole, and in the messages that are made of it.
const RESPONSE_COPIES: usize = 4;
/// Responses of a known length up to this size don't wait for memory, in bytes.
const SMALL_RESPONSE_BYTES: usize = 16 * 1024;
/// Longest wait of a response of known length for memory. Its call ends at its own deadline.
const RESPONSE_WAIT: Duration = Duration::from_secs(10);

/// Memory of all response bodies that are being received by the pools that share it.
#[derive(Debug)]
pub struct ResponseBudget {
    /// Bytes of bodies above which the largest responses fail.
    max_bytes: usize,
    /// Bytes above which further responses of known length wait, counted with their copies.
    max_reserved_bytes: usize,
    bytes: AtomicUsize,
    responses: AtomicUsize,
    reserved_bytes: Mutex<usize>,
    released: Condvar,
}

impl ResponseBudget {
    /// Creates a budget of this size.
    pub fn new(max_bytes: usize) -> Self {
        ResponseBudget {
            max_bytes,
            max_reserved_bytes: usize::MAX,
            bytes: AtomicUsize::new(0),
            responses: AtomicUsize::new(0),
            reserved_bytes: Mutex::new(0),
            released: Condvar::new(),
        }
    }

    /// Lets responses of known length wait while others take this much memory with their copies.
    #[must_use]
    pub fn with_reserved_bytes(mut self, max_reserved_bytes: usize) -> Self {
        self.max_reserved_bytes = max_reserved_bytes;
        self
    }

    /// Starts a response; one of known length waits until its memory is available.
    pub(crate) fn start_response(self: &Arc<Self>, length: Option<usize>) -> BufferedResponse {
        let length = length.filter(|length| *length > SMALL_RESPONSE_BYTES);
        let reserved_bytes = length.map_or(0, |length| self.reserve(RESPONSE_COPIES * length));
        self.responses.fetch_add(1, Ordering::Relaxed);
        BufferedResponse {
            budget: Arc::clone(self),
            bytes: 0,
            reserved_bytes,
            is_received: false,
        }
    }

    /// Waits for memory, but goes on without it at the end of the wait: the instance has run the
    /// call, and its response must not be lost. A response of any size is received if it is the only
    /// one.
    fn reserve(&self, bytes: usize) -> usize {
        let until = Instant::now() + RESPONSE_WAIT;
        let mut reserved = self
            .reserved_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while *reserved > 0 && reserved.saturating_add(bytes) > self.max_reserved_bytes {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.released.wait_timeout(reserved, left);
            reserved = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        *reserved += bytes;
        bytes
    }
}

/// Share of one response in the budget; returned when it is dropped.
pub(crate) struct BufferedResponse {
    budget: Arc<ResponseBudget>,
    bytes: usize,
    reserved_bytes: usize,
    is_received: bool,
}

impl BufferedResponse {
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

    /// Called when the body has arrived: it no longer counts as being received, but keeps its
    /// reservation.
    pub(crate) fn finish(&mut self) {
        if !std::mem::replace(&mut self.is_received, true) {
            self.budget.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
            self.budget.responses.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Sets the reservation, without waiting. A larger one makes later responses wait.
    fn set_reserved(&mut self, bytes: usize) {
        let budget = &self.budget;
        let mut reserved = budget
            .reserved_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *reserved = *reserved - self.reserved_bytes + bytes;
        drop(reserved);
        self.reserved_bytes = bytes;
        budget.released.notify_all();
    }
}

impl Drop for BufferedResponse {
    fn drop(&mut self) {
        self.finish();
        if self.reserved_bytes > 0 {
            self.set_reserved(0);
        }
    }
}

/// Memory reserved for a response that was received; returned when this is dropped.
#[derive(Default)]
pub struct ResponseMemory(Option<BufferedResponse>);

impl ResponseMemory {
    pub(crate) fn new(buffered: BufferedResponse) -> Self {
        ResponseMemory(Some(buffered))
    }

    /// Sets the reservation to what is held of the response from now on. Never waits, so that it may
    /// be more than the budget has left; later responses wait then.
    pub fn keep(&mut self, bytes: usize) {
        if let Some(buffered) = &mut self.0 {
            buffered.set_reserved(bytes);
        }
    }
}
