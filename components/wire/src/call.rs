//! Messages between the entry and the owner of a call.

use calls::{AttemptStatus, StatusQuery};
use errors::ErrorKind;
use model::{AttemptId, LoadSignal, NodeId, Priority, ProfileName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An HTTP message without its hop-by-hop headers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpMessage {
    /// Method and target of a request, or status and reason of a response.
    pub start_line: (String, String),
    /// Headers in their order.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Asks the owner to run one attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCall {
    /// The attempt; an owner runs each at most once.
    pub attempt: AttemptId,
    /// The owner that is meant; another run of the process must refuse.
    pub owner: NodeId,
    /// The upstream beside the owner.
    pub upstream: UpstreamName,
    /// Counter of the entry's connections to the owner; grows each time one is lost.
    pub generation: u64,
    /// Whether the call has an idempotency key and may not be repeated.
    pub keyed: bool,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// Profile of the call, by which the owner learns service times.
    pub profile: ProfileName,
    /// Priority in the owner's queue.
    pub priority: Priority,
    /// Most calls waiting at the owner.
    pub queue_limit: u32,
    /// Time left for the call in microseconds.
    pub remaining_us: u64,
    /// Wait at the owner after which it refuses the call, so that the entry can move it.
    pub max_queue_wait_us: Option<u64>,
    /// Refuse the call unless it can start at once.
    pub start_now: bool,
    /// Time left in which an answer is fully useful, in microseconds.
    pub target_us: u64,
    /// Hash of the request, to recognise one that crashes upstreams.
    pub fingerprint: [u8; 16],
    /// The request.
    pub request: HttpMessage,
}

/// What an entry asks of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRequest {
    /// Run an attempt.
    Run(RunCall),
    /// Cancel an attempt; the reply tells whether it had started.
    Cancel(AttemptStatusRequest),
    /// Tell what became of an attempt, and never start it from now on.
    QueryStatus(AttemptStatusRequest),
}

/// Names an attempt whose fate an entry asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatusRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Owner that the attempt was sent to.
    pub owner: NodeId,
    /// Counter of the entry's connections to the owner; absent if another entry asks for a key.
    pub generation: Option<u64>,
    /// Time left for the attempt in microseconds.
    pub remaining_us: u64,
    /// Whether the call has an idempotency key and may not be repeated.
    pub keyed: bool,
}

impl AttemptStatusRequest {
    /// The request in the owner's terms.
    pub fn ask(&self, now_us: u64) -> StatusQuery {
        StatusQuery {
            attempt: self.attempt,
            target: self.owner.incarnation,
            generation: self.generation,
            deadline_us: now_us + self.remaining_us,
            keyed: self.keyed,
        }
    }
}

/// How an attempt ended. An answer is an encoded [`HttpMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// The upstream's whole response.
    Answer {
        /// Status of the response.
        status: u16,
        /// The encoded message.
        message: Arc<[u8]>,
    },
    /// The attempt was not run and never will be.
    Refused(ErrorKind),
    /// The attempt may have run and there is no whole response.
    Failed(ErrorKind),
    /// The owner knew the attempt already.
    Duplicate(AttemptStatus),
}

/// Reply to a [`CallRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// Reply to `Run`.
    Ran {
        /// Load of the upstream when the reply was made.
        signal: LoadSignal,
        /// How the attempt ended.
        result: RunResult,
    },
    /// Reply to `Cancel` and `QueryStatus`.
    Status(AttemptStatus),
}
