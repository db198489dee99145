//! Error kinds, and the table of the responses that they are reported with.

use serde::{Deserialize, Serialize};

/// Whether an upstream may have run a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// No upstream has run or will run the call.
    NotRun,
    /// An upstream may have run the call.
    Unknown,
}

impl Outcome {
    /// The value of the `x-gyard-outcome` header.
    pub fn header_value(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// How an error kind is reported; one row of the error table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorInfo {
    /// Stable identifier, used in JSON bodies, logs and metric labels.
    pub code: &'static str,
    /// HTTP status of the response.
    pub status: u16,
    /// Whether the call may have run.
    pub outcome: Outcome,
    /// What happened, as one sentence.
    pub message: &'static str,
    /// What the reader can do about it, as one sentence.
    pub advice: &'static str,
}

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

    /// How this kind is reported.
    pub fn info(self) -> ErrorInfo {
        let (code, status, outcome, message, advice) = match self {
            ErrorKind::MalformedRequest => (
                "malformed-request",
                400,
                Outcome::NotRun,
                "The request could not be parsed as HTTP/1.1.",
                "Send a well-formed HTTP/1.1 request.",
            ),
            ErrorKind::UnknownService => (
                "unknown-service",
                404,
                Outcome::NotRun,
                "No upstream has announced the named service.",
                "Check the Host header or x-gyard-service against the announced services.",
            ),
            ErrorKind::UnknownProfile => (
                "unknown-profile",
                404,
                Outcome::NotRun,
                "The profile does not exist or is retired.",
                "Add the profile with `gyard profile add`, or name an existing one.",
            ),
            ErrorKind::BadDeadline => (
                "bad-deadline",
                400,
                Outcome::NotRun,
                "The deadline header is not a positive number of milliseconds.",
                "Send x-gyard-deadline-ms as a whole number from 1 to 3600000.",
            ),
            ErrorKind::BadKey => (
                "bad-key",
                400,
                Outcome::NotRun,
                "The idempotency key is empty or too long.",
                "Send an idempotency-key of 1 to 255 visible characters.",
            ),
            ErrorKind::BodyTooLarge => (
                "body-too-large",
                413,
                Outcome::NotRun,
                "The request body is over the size limit.",
                "Send a smaller body or raise --max-body-bytes on the nodes.",
            ),
            ErrorKind::HeadTooLarge => (
                "head-too-large",
                431,
                Outcome::NotRun,
                "The request head is over the size limit.",
                "Send fewer or shorter headers.",
            ),
            ErrorKind::NoUpstream => (
                "no-upstream",
                503,
                Outcome::NotRun,
                "The service has no upstream that accepts new work.",
                "Retry later; check `gyard status` for upstreams that drain or are ejected.",
            ),
            ErrorKind::Overloaded => (
                "overloaded",
                503,
                Outcome::NotRun,
                "The call could not finish before its deadline at the current load.",
                "Retry with backoff; add upstreams if this lasts.",
            ),
            ErrorKind::QueueFull => (
                "queue-full",
                503,
                Outcome::NotRun,
                "The queue of every upstream tried is full.",
                "Retry with backoff; add upstreams or raise the profile's queue limit.",
            ),
            ErrorKind::DeadlineExpired => (
                "deadline-expired",
                504,
                Outcome::NotRun,
                "The deadline passed before the call was started.",
                "Retry with a longer deadline; check the load of the service.",
            ),
            ErrorKind::DeadlinePassed => (
                "deadline-passed",
                504,
                Outcome::Unknown,
                "The deadline passed while the call was running.",
                "Resend only if the call is idempotent or carries an idempotency-key.",
            ),
            ErrorKind::Cancelled => (
                "cancelled",
                499,
                Outcome::NotRun,
                "The caller went away before the call was started.",
                "Nothing to do; the call was not run.",
            ),
            ErrorKind::CrashSuspect => (
                "crash-suspect",
                422,
                Outcome::NotRun,
                "The same request was in flight when several upstreams crashed, also in a trial.",
                "Fix the request or the service; the refusal lapses by itself.",
            ),
            ErrorKind::CrashHold => (
                "crash-hold",
                503,
                Outcome::NotRun,
                "The same request was in flight when several upstreams crashed; it is held for now.",
                "Send it again after Retry-After; one upstream tries it then.",
            ),
            ErrorKind::KeyInProgress => (
                "key-in-progress",
                409,
                Outcome::Unknown,
                "An earlier call with this idempotency key is still running.",
                "Resend later with the same key to receive its answer.",
            ),
            ErrorKind::KeyReused => (
                "key-reused",
                422,
                Outcome::NotRun,
                "The idempotency key was used for a different request.",
                "Use a new key for each new request.",
            ),
            ErrorKind::KeyUnconfirmed => (
                "key-unconfirmed",
                503,
                Outcome::NotRun,
                "No majority of key keepers confirmed the idempotency key.",
                "Retry with the same key; check that the control replicas are reachable.",
            ),
            ErrorKind::KeyOutcomeUnknown => (
                "key-outcome-unknown",
                502,
                Outcome::Unknown,
                "An earlier call with this idempotency key may have run and its answer is lost.",
                "Check the effect at the service before using a new key.",
            ),
            ErrorKind::UpstreamLost => (
                "upstream-lost",
                502,
                Outcome::Unknown,
                "The upstream closed the connection before its whole answer arrived.",
                "Resend only if the call is idempotent or carries an idempotency-key.",
            ),
            ErrorKind::UpstreamRefused => (
                "upstream-refused",
                502,
                Outcome::NotRun,
                "The upstream could not be reached, so nothing was sent to it.",
                "Retry; check that the upstream listens on its announced address.",
            ),
            ErrorKind::AnswerTruncated => (
                "answer-truncated",
                502,
                Outcome::Unknown,
                "The upstream's answer ended before its declared length.",
                "Resend only if the call is idempotent or carries an idempotency-key.",
            ),
            ErrorKind::AnswerTooLarge => (
                "answer-too-large",
                502,
                Outcome::Unknown,
                "The upstream's answer is over the size limit.",
                "Raise --max-response-bytes on the nodes or page the answer.",
            ),
            ErrorKind::OwnerLost => (
                "owner-lost",
                502,
                Outcome::Unknown,
                "The node beside the upstream was lost while it held the call.",
                "Resend only if the call is idempotent or carries an idempotency-key.",
            ),
            ErrorKind::Stopping => (
                "stopping",
                503,
                Outcome::NotRun,
                "The node is stopping and accepts no new calls.",
                "Send the call to another node.",
            ),
            ErrorKind::RetryBudgetSpent => (
                "retry-budget-spent",
                503,
                Outcome::NotRun,
                "The call was refused and the retry budget of the service is spent.",
                "Retry with backoff; the service is overloaded.",
            ),
            ErrorKind::TooManyConnections => (
                "too-many-connections",
                503,
                Outcome::NotRun,
                "The node has reached its limit of caller connections.",
                "Close idle connections or raise --max-connections.",
            ),
            ErrorKind::Conflict => (
                "conflict",
                409,
                Outcome::NotRun,
                "Another change was accepted with the same expected revision.",
                "Read the current profile and send the change again with its revision.",
            ),
            ErrorKind::ProfileInUse => (
                "profile-in-use",
                409,
                Outcome::NotRun,
                "A live upstream still uses the profile.",
                "Name a successor, or move the upstreams to another profile first.",
            ),
            ErrorKind::ProfileExists => (
                "profile-exists",
                409,
                Outcome::NotRun,
                "A profile of that name exists already.",
                "Use `gyard profile change`, or choose another name.",
            ),
            ErrorKind::InvalidProfile => (
                "invalid-profile",
                422,
                Outcome::NotRun,
                "A field of the profile is out of range or contradicts another.",
                "Correct the fields listed in the detail.",
            ),
            ErrorKind::NotLeader => (
                "not-leader",
                503,
                Outcome::NotRun,
                "This replica is not the leader of the control group.",
                "Send the request to the leader named in the detail.",
            ),
            ErrorKind::NoQuorum => (
                "no-quorum",
                503,
                Outcome::Unknown,
                "The control group did not confirm the change in time.",
                "Resend with the same change id to learn its result.",
            ),
            ErrorKind::Unauthorized => (
                "unauthorized",
                401,
                Outcome::NotRun,
                "The operator token is missing or wrong.",
                "Set GYARD_OPERATOR_TOKEN to the token of the control group.",
            ),
            ErrorKind::StorageFull => (
                "storage-full",
                507,
                Outcome::Unknown,
                "The data folder has no space left.",
                "Free space on the disk of the replica, then resend with the same change id.",
            ),
            ErrorKind::StorageDamaged => (
                "storage-damaged",
                500,
                Outcome::NotRun,
                "The files in the data folder are damaged beyond a torn tail.",
                "Move the data folder away and restart; the replica rejoins with a new identity.",
            ),
            ErrorKind::Busy => (
                "busy",
                503,
                Outcome::NotRun,
                "Too many requests are waiting.",
                "Retry with backoff.",
            ),
            ErrorKind::PeerVersion => (
                "peer-version",
                426,
                Outcome::NotRun,
                "The peer speaks another version of the mesh protocol.",
                "Run the same release on all processes of the deployment.",
            ),
            ErrorKind::BadFrame => (
                "bad-frame",
                400,
                Outcome::NotRun,
                "A mesh frame was truncated, oversized or failed its check.",
                "Check that all processes share one mesh key and release.",
            ),
            ErrorKind::InvalidSetting => (
                "invalid-setting",
                400,
                Outcome::NotRun,
                "A setting has a value that is not allowed.",
                "Correct the flag or variable that the message names.",
            ),
            ErrorKind::NotConfigured => (
                "not-configured",
                503,
                Outcome::NotRun,
                "No configuration is known here yet.",
                "Retry, or send the call to another node.",
            ),
            ErrorKind::NoRoute => (
                "no-route",
                404,
                Outcome::NotRun,
                "No route of the configuration matches the host and path.",
                "Check host and path, or add a route.",
            ),
            ErrorKind::NotFound => (
                "not-found",
                404,
                Outcome::NotRun,
                "The requested resource does not exist.",
                "Check the path and the name.",
            ),
            ErrorKind::Internal => (
                "internal",
                500,
                Outcome::Unknown,
                "An unexpected condition inside geraniumyard.",
                "Report it with the log lines around it.",
            ),
            ErrorKind::MemoryFull => (
                "memory-full",
                503,
                Outcome::NotRun,
                "The memory of the process for requests is in use.",
                "Retry after the time in retry-after; raise --memory-budget-bytes if this lasts.",
            ),
            ErrorKind::StopTimeout => (
                "stop-timeout",
                502,
                Outcome::Unknown,
                "The node stopped while it waited for the answer.",
                "Resend only if the call is idempotent or carries an idempotency-key.",
            ),
            ErrorKind::UnknownKey => (
                "unknown-key",
                401,
                Outcome::NotRun,
                "The request has no key of a customer, or an unknown one.",
                "Send a key of the configuration's customers as Authorization: Bearer KEY.",
            ),
            ErrorKind::AmbiguousKey => (
                "ambiguous-key",
                400,
                Outcome::NotRun,
                "The request has several header fields for the key.",
                "Send one Authorization field.",
            ),
            ErrorKind::QuotaExceeded => (
                "quota-exceeded",
                429,
                Outcome::NotRun,
                "The customer is over its rate and has used its burst.",
                "Retry after the time in retry-after, or raise the customer's rate.",
            ),
            ErrorKind::QuotaUnconfirmed => (
                "quota-unconfirmed",
                503,
                Outcome::NotRun,
                "The node has no share of the customer's rate left and can't get one at present.",
                "Retry after the time in retry-after; check the control group if it persists.",
            ),
            ErrorKind::RevocationUnconfirmed => (
                "revocation-unconfirmed",
                503,
                Outcome::NotRun,
                "The node can't confirm that no key was revoked.",
                "Send the request to another node, or again after Retry-After.",
            ),
            ErrorKind::UpstreamSilent => (
                "upstream-silent",
                504,
                Outcome::Unknown,
                "The upstream left the call unanswered although it worked as usual otherwise.",
                "Resend only if the call is idempotent or carries an idempotency-key.",
            ),
        };
        ErrorInfo {
            code,
            status,
            outcome,
            message,
            advice,
        }
    }

    /// Whether a call that ends with this kind has not run and won't run.
    pub fn is_not_run(self) -> bool {
        self.info().outcome == Outcome::NotRun
    }
}

impl std::fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.info().code)
    }
}
