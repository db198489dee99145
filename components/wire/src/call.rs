//! Messages between the entry and the owner of a call.

use calls::{AttemptStatus, StatusQuery};
use errors::ErrorKind;
use model::{AttemptId, Fingerprint, LoadSignal, NodeId, Priority, ProfileName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An HTTP request or response without hop-by-hop headers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpMessage {
    /// Method and target of a request, or status and reason phrase of a response.
    pub start_line: (String, String),
    /// Headers in their original order.
    pub headers: Vec<(String, String)>,
    /// The whole body, without transfer coding.
    pub body: Vec<u8>,
}

/// Asks the owner to run one attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCall {
    /// The attempt; an owner runs it at most once.
    pub attempt: AttemptId,
    /// The owner that the attempt is for; a later process at its address must refuse it.
    pub owner: NodeId,
    /// The upstream beside the owner.
    pub upstream: UpstreamName,
    /// Counter of the entry's connections to the owner; it grows each time one is lost.
    pub generation: u64,
    /// Whether the call has an idempotency key, so that it must not run twice.
    pub keyed: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Profile of the call; the owner learns service times per profile.
    pub profile: ProfileName,
    /// Priority in the owner's queue.
    pub priority: Priority,
    /// Most calls waiting at the owner.
    pub queue_limit: u32,
    /// Time left for the call in microseconds.
    pub remaining_us: u64,
    /// Longest wait in the owner's queue. The owner refuses the call after that, so that the entry
    /// can send it to another owner.
    pub max_queue_wait_us: Option<u64>,
    /// Whether the owner should refuse the call unless it can start at once.
    pub start_now: bool,
    /// Time left until the latency target of the call, in microseconds.
    pub target_us: u64,
    /// Hash of the request, to identify requests that crash upstreams.
    pub fingerprint: Fingerprint,
    /// HTTP request to pass to the upstream.
    pub request: HttpMessage,
}

/// Request of an entry to an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRequest {
    /// Run an attempt.
    Run(RunCall),
    /// Cancel an attempt; the reply has its status.
    Cancel(AttemptStatusRequest),
    /// Return the status of an attempt, and never start it if it has not started yet.
    QueryStatus(AttemptStatusRequest),
    /// Run an attempt of a call that belongs to a customer; sent only where the configuration has
    /// customers.
    RunFor {
        /// The attempt.
        call: RunCall,
        /// Name of the customer, for fairness in the owner's queue.
        customer: Arc<str>,
    },
    /// Run an attempt of a call that an instance makes for another call; sent only if the settings
    /// enable the recognition of such calls.
    RunNested {
        /// The attempt.
        call: RunCall,
        /// Name of the customer, if the call has one.
        customer: Option<Arc<str>>,
        /// Time for which the other call has run, in microseconds.
        done_us: u64,
    },
}

/// Identifies the attempt that an entry cancels or queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatusRequest {
    /// Attempt to cancel or to query.
    pub attempt: AttemptId,
    /// Owner that the attempt was sent to.
    pub owner: NodeId,
    /// Counter of the entry's connections to the owner; absent if another entry queries the holder
    /// of an idempotency key.
    pub generation: Option<u64>,
    /// Time left for the attempt in microseconds.
    pub remaining_us: u64,
    /// Whether the call has an idempotency key, so that it must not run twice.
    pub keyed: bool,
}

impl AttemptStatusRequest {
    /// Converts the request to the owner's clock.
    pub fn to_status_query(&self, now_us: u64) -> StatusQuery {
        StatusQuery {
            attempt: self.attempt,
            target: self.owner.incarnation,
            generation: self.generation,
            deadline_us: now_us + self.remaining_us,
            keyed: self.keyed,
        }
    }
}

/// How an attempt ended. Answers hold an encoded [`HttpMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// The upstream's complete response.
    Answer {
        /// HTTP status of the response.
        status: u16,
        /// Encoded [`HttpMessage`] of the response.
        message: Arc<[u8]>,
    },
    /// The attempt was not run and never will be.
    Refused(ErrorKind),
    /// The attempt may have run, but there is no complete response.
    Failed(ErrorKind),
    /// The owner had received the attempt before; this is its status.
    Duplicate(AttemptStatus),
    /// As `Refused`, with the time until the owner expects to admit such calls; sent only if the
    /// settings of the owner enable admission by the capacity downstream.
    RefusedFor {
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Time until calls like this one are expected to be admitted, in microseconds.
        wait_us: u64,
    },
}

/// Reply to a [`CallRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// Reply to `Run`.
    Ran {
        /// Load of the upstream when the reply was sent.
        signal: LoadSignal,
        /// How the attempt ended.
        result: RunResult,
    },
    /// Reply to `Cancel` and `QueryStatus`.
    Status(AttemptStatus),
}
