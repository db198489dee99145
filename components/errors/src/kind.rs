//! Error kinds.

use crate::Outcome;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Every error with which the system itself refuses or fails a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ErrorKind {
    /// The request could not be parsed as HTTP/1.1.
    MalformedRequest,
    /// No upstream has announced the named service.
    UnknownService,
    /// The profile does not exist or is retired.
    UnknownProfile,
    /// The deadline header is not a positive number of milliseconds.
    BadDeadline,
    /// The idempotency key is empty or too long.
    BadKey,
    /// The request body is over the size limit.
    BodyTooLarge,
    /// The request head is over the size limit.
    HeadTooLarge,
    /// The service has no upstream that accepts new work.
    NoUpstream,
    /// The call could not finish before its deadline at the current load.
    Overloaded,
    /// The queue of every upstream tried is full.
    QueueFull,
    /// The deadline passed before the call was started.
    DeadlineExpired,
    /// The deadline passed while the call was running.
    DeadlinePassed,
    /// The caller disconnected before the call was started.
    Cancelled,
    /// The same request was in flight when several upstreams crashed, and again when it was tried.
    CrashSuspect,
    /// An earlier call with this idempotency key is still running.
    KeyInProgress,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// No majority of key keepers confirmed the idempotency key.
    KeyUnconfirmed,
    /// An earlier call with this idempotency key may have run, and its answer is no longer known.
    KeyOutcomeUnknown,
    /// The upstream closed the connection before its complete answer arrived.
    UpstreamLost,
    /// The upstream could not be reached, so nothing was sent to it.
    UpstreamRefused,
    /// The upstream's answer ended before its declared length.
    AnswerTruncated,
    /// The upstream's answer is over the size limit.
    AnswerTooLarge,
    /// The owner of the call failed, or its connection was lost, while it queued or ran the call.
    OwnerLost,
    /// The node is stopping and accepts no new calls.
    Stopping,
    /// The call was refused and the retry budget of the service is spent.
    RetryBudgetSpent,
    /// The node has reached its limit of caller connections.
    TooManyConnections,
    /// Another change was accepted with the same expected revision.
    Conflict,
    /// A live upstream still uses the profile.
    ProfileInUse,
    /// A profile of that name exists already.
    ProfileExists,
    /// A field of the profile is out of range or contradicts another.
    InvalidProfile,
    /// This replica is not the leader of the control group.
    NotLeader,
    /// The control group did not confirm the change in time.
    NoQuorum,
    /// The operator token is missing or wrong.
    Unauthorized,
    /// The data folder has no space left.
    StorageFull,
    /// The files in the data folder are damaged at more than an incomplete last write.
    StorageDamaged,
    /// Too many requests are waiting.
    Busy,
    /// The peer speaks another version of the mesh protocol.
    PeerVersion,
    /// A mesh frame was truncated, oversized or failed its check.
    BadFrame,
    /// A setting has a value that is not allowed.
    InvalidSetting,
    /// No configuration is known yet.
    NotConfigured,
    /// No route of the configuration matches the request.
    NoRoute,
    /// The requested resource does not exist.
    NotFound,
    /// An unexpected condition inside geraniumyard.
    Internal,
    /// The node stopped while it waited for the answer to a call.
    StopTimeout,
    /// The same request was in flight when several upstreams crashed; it is held until a trial.
    CrashHold,
    /// The route needs a customer's key, and the request has none or one that no customer has.
    UnknownKey,
    /// The request has several header fields for a customer's key.
    AmbiguousKey,
    /// The customer is over its limit.
    QuotaExceeded,
    /// The node has no share of the customer's rate and can't get one.
    QuotaUnconfirmed,
    /// The node can't show that its configuration is recent enough to accept keys.
    RevocationUnconfirmed,
    /// The upstream left the call unanswered although it worked as usual otherwise.
    UpstreamSilent,
    /// The memory for requests is in use.
    MemoryFull,
}

impl ErrorKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: &'static [ErrorKind] = &[
        ErrorKind::MalformedRequest,
        ErrorKind::UnknownService,
        ErrorKind::UnknownProfile,
        ErrorKind::BadDeadline,
        ErrorKind::BadKey,
        ErrorKind::BodyTooLarge,
        ErrorKind::HeadTooLarge,
        ErrorKind::NoUpstream,
        ErrorKind::Overloaded,
        ErrorKind::QueueFull,
        ErrorKind::DeadlineExpired,
        ErrorKind::DeadlinePassed,
        ErrorKind::Cancelled,
        ErrorKind::CrashSuspect,
        ErrorKind::KeyInProgress,
        ErrorKind::KeyReused,
        ErrorKind::KeyUnconfirmed,
        ErrorKind::KeyOutcomeUnknown,
        ErrorKind::UpstreamLost,
        ErrorKind::UpstreamRefused,
        ErrorKind::AnswerTruncated,
        ErrorKind::AnswerTooLarge,
        ErrorKind::OwnerLost,
        ErrorKind::Stopping,
        ErrorKind::RetryBudgetSpent,
        ErrorKind::TooManyConnections,
        ErrorKind::Conflict,
        ErrorKind::ProfileInUse,
        ErrorKind::ProfileExists,
        ErrorKind::InvalidProfile,
        ErrorKind::NotLeader,
        ErrorKind::NoQuorum,
        ErrorKind::Unauthorized,
        ErrorKind::StorageFull,
        ErrorKind::StorageDamaged,
        ErrorKind::Busy,
        ErrorKind::PeerVersion,
        ErrorKind::BadFrame,
        ErrorKind::InvalidSetting,
        ErrorKind::NotConfigured,
        ErrorKind::NoRoute,
        ErrorKind::NotFound,
        ErrorKind::Internal,
        ErrorKind::StopTimeout,
        ErrorKind::CrashHold,
        ErrorKind::UnknownKey,
        ErrorKind::AmbiguousKey,
        ErrorKind::QuotaExceeded,
        ErrorKind::QuotaUnconfirmed,
        ErrorKind::RevocationUnconfirmed,
        ErrorKind::UpstreamSilent,
        ErrorKind::MemoryFull,
    ];

    /// Whether a call that ends with this kind has not run and won't run.
    pub fn is_not_run(self) -> bool {
        self.info().outcome == Outcome::NotRun
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.info().code)
    }
}
