//! Admission, token buckets and retry budgets.

mod admission;
mod bucket;
mod pace;
mod retry;
mod retry_after;
mod room_search;
mod service_times;
mod shared_retries;

pub use admission::{Admission, AdmissionConfig, CancelEffect, Offer, Step, Ticket};
pub use bucket::TokenBucket;
pub use pace::{Pace, PaceView, USUAL_PERCENT};
pub use retry::RetryBudget;
pub use retry_after::{RefusedFor, retry_after_ms};
pub use room_search::RoomSearch;
pub use service_times::ServiceTimes;
pub use shared_retries::{SharedRetries, SharedRetryLimits};
