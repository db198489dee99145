//! Admission, token buckets and retry budgets.

mod admission;
mod bucket;
mod retry;

pub use admission::{Admission, AdmissionConfig, CancelEffect, Offer, Step, Ticket};
pub use bucket::TokenBucket;
pub use retry::RetryBudget;
