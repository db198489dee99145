//! Quotas of customers over all nodes: what a node may admit, and how the coordinator divides the
//! rate of each customer between the nodes.
//!
//! Workload: most customers have a few calls per second in total, each caller stays at one node, and
//! a customer may send many times its rate or move all its load to other nodes within a second.
//! Nodes hold shares with short leases, so that most calls are admitted without a message.

mod coordinator;
mod customer;
mod holders;
mod holding;
mod list;
mod local;
mod message;
mod node;
mod share;
mod tolerance;

pub use coordinator::QuotaCoordinator;
pub use customer::{CustomerLimit, CustomerUse};
pub use holders::{HolderChange, HolderRecord};
pub use list::{CustomerList, ListDigest};
pub use message::{QuotaAnswer, QuotaDemand, QuotaGrant, QuotaGrants, QuotaReport};
pub use node::{Admission, NodeQuota, QuotaPreview, Ticket, Verdict};
pub use tolerance::QuotaTolerance;

/// Time for which a node may use its shares after it sent the report that renewed them. It is the
/// time within which a lowered limit has to be in effect at nodes without contact.
pub const LEASE_US: u64 = 2_000_000;
/// Time by which the coordinator counts shares as used beyond the end of their lease, for clocks
/// that run at slightly different speeds.
pub const LEASE_MARGIN_US: u64 = 50_000;
/// Interval of the reports of a node that holds shares.
pub const REPORT_INTERVAL_US: u64 = 400_000;
/// Time for which a node that holds nothing reports, so that a new coordinator hears of it while it is
/// recorded as a holder. Longer than the two minutes after which its entry is removed.
pub const IDLE_REPORTS_US: u64 = 300_000_000;
/// Longest wait of a call for a token, and of a node for the answer to a report.
pub const ANSWER_TIMEOUT_US: u64 = 300_000;
