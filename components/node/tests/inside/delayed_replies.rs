//! Guards against calls whose long response waits for a slow connection to their entry and that end as
//! if their owner were lost, out of order, or not at all.

use super::super::{
    instance::Job,
    state::{Owner, incoming_attempt},
};
use crate::{
    context::{NodeContext, OwnerPreview},
    test_node::start_node,
};
use calls::AttemptStatus;
use crossbeam::channel::{Receiver, Sender, unbounded};
use errors::ErrorKind;
use http::{AsyncPool, CancelToken, PoolConfig, ResponseMemory};
use kernel::KernelHandle;
use mesh::{Channel, Limits, Mesh, ReplyTo, RequestError};
use model::{
    AttemptId, AvailabilityZone, CallId, Fingerprint, HostName, NodeId, Priority, ProfileName,
    ServiceName, Upstream, UpstreamName, UpstreamState,
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use wire::{AttemptStatusRequest, CallReply, HttpMessage, RunCall, RunResult, decode};

/// So long that a test fails because of a wrong reply and never because of a slow machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ORIGIN: u64 = 7;
/// Response that may wait.
const LONG: usize = 100 << 10;
/// More than the buffers of the operating system take, and at most one message of the mesh.
const FILLER: usize = 15 << 20;
const BUDGET: usize = 1 << 20;

type Replies = Receiver<(u64, Result<Vec<u8>, RequestError>)>;

/// An owner, and an entry that can stop reading.
struct Rig {
    owner: Arc<Owner>,
    entry: Mesh,
    inbound: Receiver<ReplyTo>,
    replies: Replies,
    replied: Sender<(u64, Result<Vec<u8>, RequestError>)>,
    /// Fields are dropped in order: the node stops last.
    node: KernelHandle,
}

impl Rig {
    fn start() -> Self {
        let node = start_node(BUDGET);
        let kernel = node.kernel();
        let (wake, _) = unbounded();
        let owner = Arc::new(Owner::new(&NodeContext::for_kernel(kernel), wake));
        let (arrived, inbound) = unbounded();
        kernel.mesh.set_handler(Channel::Call, move |message| {
            arrived.send(message.reply).unwrap();
        });
        let timeout_ms = TEST_TIMEOUT.as_millis() as u64;
        let limits = Limits {
            silent_after_ms: timeout_ms,
            ..Limits::default()
        };
        let key = kernel.node_settings().mesh_key.0;
        let entry = Mesh::builder().key(key).limits(limits).start().unwrap();
        let (replied, replies) = unbounded();
        Rig {
            owner,
            entry,
            inbound,
            replies,
            replied,
            node,
        }
    }

    fn owner_id(&self) -> NodeId {
        self.node.kernel().mesh.local_id()
    }

    /// Sends a request of the entry, whose reply is passed to `on_reply`.
    fn request_with(
        &self,
        on_reply: impl FnOnce(Result<Vec<u8>, RequestError>) + Send + 'static,
    ) -> ReplyTo {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let to = self.owner_id().mesh;
        self.entry
            .request(to, Channel::Call, Vec::new(), deadline, on_reply);
        self.inbound.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    fn request(&self, number: u64) -> ReplyTo {
        let replied = self.replied.clone();
        self.request_with(move |reply| {
            // Fails if the test is over.
            let _ = replied.send((number, reply));
        })
    }

    /// Stops the reader of the entry until the sender is dropped, and fills the connection to it.
    fn stall(&self) -> Sender<()> {
        let (release, released) = unbounded::<()>();
        let first = self.request_with(move |_| {
            // Fails when the test drops the sender.
            let _ = released.recv_timeout(TEST_TIMEOUT);
        });
        let filler = self.request_with(|_| ());
        let probe = self.request_with(|_| ());
        first.send(Vec::new()).unwrap();
        filler.send(vec![0; FILLER]).unwrap();
        assert!(probe.queued_bytes() > super::MAX_QUEUED_BYTES);
        release
    }

    /// Ends a call that has run, with a response of this length.
    fn end_call(&self, number: u64, idempotent: bool, bytes: usize) -> RunCall {
        let call = self.call(number, idempotent);
        let now_us = self.owner.now_us();
        let deadline_us = now_us + call.remaining_us;
        self.owner
            .lock_records()
            .begin(now_us, &incoming_attempt(&call, deadline_us));
        assert!(self.owner.try_start(call.attempt));
        let pool = PoolConfig::new(self.owner_id().mesh);
        let pool = AsyncPool::with_budget(pool, &self.owner.shared.response_budget).unwrap();
        let job = Job {
            call: call.clone(),
            deadline_us,
            arrived_us: now_us,
            cancel: CancelToken::new(),
            pool: Arc::new(pool),
            reply: self.request(number),
            may_run_until_us: None,
            customer: None,
        };
        let result = RunResult::Answer {
            status: 200,
            message: vec![number as u8; bytes].into(),
        };
        let memory = ResponseMemory::default();
        self.owner.finish_with_memory(job, result, None, memory);
        call
    }

    fn call(&self, sequence: u64, idempotent: bool) -> RunCall {
        RunCall {
            attempt: AttemptId {
                call: CallId {
                    origin: ORIGIN,
                    sequence,
                },
                attempt: 0,
            },
            owner: self.owner_id(),
            upstream: UpstreamName::parse("i-1").unwrap(),
            generation: 0,
            keyed: false,
            idempotent,
            profile: ProfileName::parse("default").unwrap(),
            priority: Priority::Normal,
            queue_limit: 10,
            remaining_us: 600_000_000,
            max_queue_wait_us: None,
            start_now: false,
            target_us: 600_000_000,
            fingerprint: Fingerprint([0; 16]),
            request: HttpMessage {
                start_line: (String::new(), String::new()),
                headers: Vec::new(),
                body: Vec::new(),
            },
        }
    }

    fn upstream(&self) -> Upstream {
        Upstream {
            name: UpstreamName::parse("i-1").unwrap(),
            service: ServiceName::parse("catalogue").unwrap(),
            availability_zone: AvailabilityZone::parse("zone-1").unwrap(),
            host: HostName::parse("host-1").unwrap(),
            node: self.owner_id(),
            address: self.owner_id().mesh,
            slots: 4,
            connections: 10,
            state: UpstreamState::Serving,
            announced_ms: 0,
            default_profile: ProfileName::parse("default").unwrap(),
            rules: Arc::new([]),
            version: 0,
        }
    }

    fn status_request(&self, call: &RunCall) -> AttemptStatusRequest {
        AttemptStatusRequest {
            attempt: call.attempt,
            owner: call.owner,
            generation: Some(0),
            remaining_us: call.remaining_us,
            keyed: call.keyed,
        }
    }

    fn next_reply(&self) -> (u64, Result<CallReply, RequestError>) {
        let (number, reply) = self.replies.recv_timeout(TEST_TIMEOUT).expect("no reply");
        (number, reply.map(|bytes| decode(bytes).unwrap()))
    }
}

fn wait_until(holds: impl Fn() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "never happened");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn failed(kind: ErrorKind) -> CallReply {
    CallReply::Ran {
        signal: model::LoadSignal::default(),
        result: RunResult::Failed(kind),
    }
}

/// A cancelled call whose response waits must not look like one whose owner is lost, and its response
/// must not be sent over the full connection as its status. Later queries still get it.
#[test]
fn cancelled() {
    for idempotent in [true, false] {
        let rig = Rig::start();
        let release = rig.stall();
        let call = rig.end_call(1, idempotent, LONG);
        assert_eq!(rig.owner.delayed_replies.count(), 1);
        let request = rig.status_request(&call);
        rig.owner.cancel(&request, rig.request(2));
        rig.owner.query_status(&request, rig.request(3));
        drop(release);
        let kind = ErrorKind::DeadlinePassed;
        assert_eq!(rig.next_reply(), (1, Ok(failed(kind))));
        let status = CallReply::Status(AttemptStatus::Failed(kind));
        assert_eq!(rig.next_reply(), (2, Ok(status)));
        let kept = match idempotent {
            true => AttemptStatus::Forgotten,
            false => AttemptStatus::Answered(vec![1; LONG].into()),
        };
        assert_eq!(rig.next_reply(), (3, Ok(CallReply::Status(kept))));
    }
}

/// A response must not overtake one of the same entry that waits, which then might not be sent before
/// its deadline.
#[test]
fn in_order() {
    let rig = Rig::start();
    let release = rig.stall();
    rig.end_call(1, true, LONG);
    drop(release);
    let probe = rig.request(0);
    wait_until(|| probe.queued_bytes() == 0);
    rig.end_call(2, true, LONG);
    rig.owner.send_delayed_replies();
    let numbers = [rig.next_reply().0, rig.next_reply().0];
    assert_eq!(numbers, [1, 2]);
}

/// A node whose stop timeout passes must not drop the responses of calls that have run.
#[test]
fn sent_at_close() {
    let rig = Rig::start();
    let release = rig.stall();
    rig.end_call(1, false, LONG);
    rig.owner.close();
    rig.end_call(2, false, LONG);
    drop(release);
    for number in [1, 2] {
        let (replied, reply) = rig.next_reply();
        assert_eq!(replied, number);
        let result = RunResult::Answer {
            status: 200,
            message: vec![number as u8; LONG].into(),
        };
        let signal = model::LoadSignal::default();
        assert_eq!(reply, Ok(CallReply::Ran { signal, result }));
    }
}

/// A route query must tell that the owner refuses the calls of an entry, and must not count as one.
#[test]
fn refusals_previewed() {
    let rig = Rig::start();
    let release = rig.stall();
    rig.owner.update_instance(Some(&rig.upstream()));
    rig.owner
        .context
        .knows_suspects
        .store(true, Ordering::Release);
    let mut call = rig.call(2, true);
    let preview = |call: &RunCall| rig.owner.admission(call, None).error;
    assert_eq!(preview(&call), None);
    rig.end_call(1, true, LONG);
    assert_eq!(preview(&call).as_deref(), Some("overloaded"));
    call.attempt.call.origin += 1;
    assert_eq!(preview(&call), None);
    drop(release);
}

/// The memory that waiting responses take, and the calls refused for it, must be seen by operators.
#[test]
fn measured() {
    let rig = Rig::start();
    let release = rig.stall();
    let metrics = &rig.node.kernel().metrics;
    rig.end_call(1, true, LONG);
    assert_eq!(metrics.delayed_reply_bytes.get(), LONG as i64);
    let refusal = rig
        .owner
        .congestion_refusal(rig.owner.now_us(), &rig.call(2, true));
    assert_eq!(refusal, Some(ErrorKind::Overloaded));
    assert_eq!(metrics.congestion_refused.get(), 1);
    rig.owner.close();
    assert_eq!(metrics.delayed_reply_bytes.get(), 0);
    drop(release);
}
