//! Limits on load: admission and queueing at the owner, token buckets, retry budgets, and the
//! `retry-after` time of refused calls.

mod admission;
mod answer_times;
mod byte_budget;
mod capacity_search;
mod cold;
mod downstream;
mod lost_work;
mod memory_shares;
mod pace;
mod retry_after;
mod retry_budget;
mod service_times;
mod shared_retry_budget;
mod token_bucket;

pub use admission::{
    Admission, AdmissionConfig, AdmissionOrder, AdmissionRequest, AdmissionResult, CancelResult,
    CustomerKey, QueueDecision,
};
pub use answer_times::{AnswerTimes, SilenceLimit, SilenceVerdict, UnansweredCall, UpstreamSigns};
pub use byte_budget::ByteBudget;
pub use capacity_search::CapacitySearch;
pub use cold::{ColdLimiter, ColdRate};
pub use downstream::{DownstreamCapacity, DownstreamOutcome, DownstreamRefusal};
pub use lost_work::LostWork;
pub use memory_shares::{MemoryShares, SMALL_BYTES};
pub use pace::{HostPace, PaceStatus, USUAL_PACE_PERCENT};
pub use retry_after::{RefusalCause, retry_after_ms};
pub use retry_budget::RetryBudget;
pub use service_times::ServiceTimes;
pub use shared_retry_budget::{SharedRetryBudget, SharedRetryLimits};
pub use token_bucket::TokenBucket;
