//! State that the plug-ins of one control replica share in addition to the kernel.

use crate::{confirm::Confirmations, pulls::HeldPulls, quotas::Quotas, reports::NodeReports};
use consensus::{Input, ReplicaId, ReplicaNumber, Reply, Role};
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use errors::ErrorKind;
use kernel::Kernel;
use members::{Introduction, IntroductionReply, Introductions};
use model::Revision;
use registry::{Change, ChangeId, ChangeResult, Delta, HolderUpdate, Op, QuotaHolders};
use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Timeout of a change or a read.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Reason for a refused request and its detail.
pub type Refusal = (ErrorKind, String);

/// Consensus state of this replica, as published by its event loop.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaState {
    pub(crate) role: Option<Role>,
    pub(crate) term: u64,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) disk_id: u64,
    pub(crate) is_voter: bool,
    /// Whether this replica has applied all that was committed, as far as it can know.
    pub(crate) is_current: bool,
    pub(crate) voters: Vec<ReplicaNumber>,
    pub(crate) is_founder: bool,
    pub(crate) applied_index: u64,
    /// Error of the last write, while the disk is full.
    pub(crate) storage_error: Option<String>,
    /// Time on the clock that counts suspension until which no other replica leads.
    pub(crate) sole_leader_until_boot_us: u64,
    /// The last term in which this replica was the only leader.
    pub(crate) sole_leadership: Option<SoleLeadership>,
    /// Nodes that may hold shares of quotas, as of the applied index.
    pub(crate) quota_holders: Arc<QuotaHolders>,
}

/// A term in which this replica is the only leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SoleLeadership {
    pub(crate) term: u64,
    /// Time on the clock that counts suspension at which this replica knew first that no other leads.
    pub(crate) since_boot_us: u64,
    /// Term of the last log entry before those of this term.
    pub(crate) term_before: u64,
}

impl ReplicaState {
    /// Whether this replica follows a leader or is one.
    pub(crate) fn has_leader(&self) -> bool {
        self.leader.is_some() && matches!(self.role, Some(Role::Leader | Role::Follower))
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.role == Some(Role::Leader)
    }
}

/// A request that waits for its result from the event loop.
enum PendingRequest {
    Change(Sender<Result<Revision, Refusal>>),
    Read(Sender<Result<u64, Refusal>>),
    /// An update of the quota holders by the leader of this term.
    HolderUpdate(u64),
}

/// Shared state of the plug-ins of one control replica, owned by the kernel.
pub(crate) struct ControlContext {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) pulls: HeldPulls,
    pub(crate) reports: NodeReports,
    pub(crate) quotas: Quotas,
    pub(crate) confirmations: Confirmations,
    introductions: Mutex<Introductions>,
    inputs: Sender<Input>,
    input_receiver: Receiver<Input>,
    replica_state: Mutex<ReplicaState>,
    pending: Mutex<HashMap<u64, PendingRequest>>,
    next_token: AtomicU64,
}

impl ControlContext {
    /// The control state of this kernel, created on first use.
    pub(crate) fn for_kernel(kernel: &Arc<Kernel>) -> Arc<ControlContext> {
        kernel.shared(|| {
            let (inputs, input_receiver) = unbounded();
            ControlContext {
                kernel: Arc::clone(kernel),
                pulls: HeldPulls::default(),
                reports: NodeReports::default(),
                quotas: Quotas::default(),
                confirmations: Confirmations::default(),
                introductions: Mutex::default(),
                inputs,
                input_receiver,
                replica_state: Mutex::default(),
                pending: Mutex::default(),
                next_token: AtomicU64::new(1),
            }
        })
    }

    pub(crate) fn send_input(&self, input: Input) {
        // Can't fail: this value also holds the receiver.
        let _ = self.inputs.send(input);
    }

    pub(crate) fn inputs(&self) -> &Receiver<Input> {
        &self.input_receiver
    }

    pub(crate) fn replica_state(&self) -> ReplicaState {
        self.lock_replica_state().clone()
    }

    pub(crate) fn update_replica_state(&self, change: impl FnOnce(&mut ReplicaState)) {
        change(&mut self.lock_replica_state());
    }

    /// The term of this replica and its beginning, if it is the only leader at a time on the clock
    /// that counts suspension.
    pub(crate) fn sole_leadership(&self, boot_us: u64) -> Option<SoleLeadership> {
        let state = self.lock_replica_state();
        let leadership = state.sole_leadership.filter(|of| of.term == state.term);
        leadership.filter(|_| state.is_leader() && boot_us < state.sole_leader_until_boot_us)
    }

    /// Stores the introduction of a starting node and returns the records that it lacks.
    pub(crate) fn introduce(&self, introduction: Introduction) -> IntroductionReply {
        let now_us = self.kernel.clock.now_us();
        self.introductions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .exchange(now_us, introduction, &mut rand::rng())
    }

    /// Mesh address of a replica.
    pub(crate) fn address_of(&self, number: ReplicaNumber) -> Option<SocketAddr> {
        let settings = self.kernel.control_settings()?;
        match settings.open {
            Some(_) => address_of_number(number),
            None => {
                let index = usize::try_from(number).ok()?.checked_sub(1)?;
                settings.group.get(index).copied()
            }
        }
    }

    /// Position of a replica in `replicas`, counted from 1, as operators see it.
    pub(crate) fn position_of(&self, number: ReplicaNumber) -> Option<u32> {
        let address = self.address_of(number)?;
        let index = self.replicas().iter().position(|other| *other == address)?;
        u32::try_from(index + 1).ok()
    }

    /// Mesh addresses of the replicas: the fixed group, or the voters of an open one.
    pub(crate) fn replicas(&self) -> Vec<SocketAddr> {
        let settings = self.kernel.control_settings();
        match settings {
            Some(settings) if settings.open.is_none() => settings.group,
            _ => self
                .replica_state()
                .voters
                .iter()
                .filter_map(|number| address_of_number(*number))
                .collect(),
        }
    }

    /// Proposes a change at this replica; refused with `NotLeader` if it is not the leader.
    pub(crate) fn propose(&self, change: Change) -> Receiver<Result<Revision, Refusal>> {
        let (sender, receiver) = bounded(1);
        let token = self.add_pending(PendingRequest::Change(sender));
        self.send_input(Input::Propose { token, change });
        receiver
    }

    /// Proposes an update of the record of the quota holders; its end is passed to [`Quotas`].
    pub(crate) fn propose_holders(&self, update: HolderUpdate) {
        let token = self.add_pending(PendingRequest::HolderUpdate(update.term));
        let change = Change {
            change_id: ChangeId::from_u128(rand::random()),
            expect: None,
            op: Op::RecordQuotaHolders(update),
            in_use: Vec::new(),
        };
        self.send_input(Input::Propose { token, change });
    }

    /// Starts a linearizable read. The result arrives once this replica has applied everything that
    /// was accepted before.
    pub(crate) fn start_read(&self) -> Receiver<Result<u64, Refusal>> {
        let (sender, receiver) = bounded(1);
        let token = self.add_pending(PendingRequest::Read(sender));
        self.send_input(Input::ReadIndex { token });
        receiver
    }

    /// The newest configuration, confirmed by a quorum; only the leader can confirm it.
    pub(crate) fn read(&self) -> Result<Box<Delta>, Refusal> {
        match self.start_read().recv_timeout(REQUEST_TIMEOUT) {
            Ok(Ok(_)) => Ok(Box::new(self.kernel.profiles.current().full_delta())),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err((ErrorKind::NoQuorum, String::new())),
        }
    }

    pub(crate) fn complete_change(&self, token: u64, reply: Reply) {
        let pending = self.take_pending(token);
        if let Some(PendingRequest::HolderUpdate(term)) = pending {
            let is_committed = matches!(reply, Reply::Committed(ChangeResult::Accepted { .. }));
            self.quotas.end_update(term, is_committed);
            return;
        }
        if let Some(PendingRequest::Change(sender)) = pending {
            let result = match reply {
                Reply::Committed(ChangeResult::Accepted { revision }) => Ok(revision),
                Reply::Committed(ChangeResult::Rejected(kind, detail)) => {
                    Err((kind, detail.to_string()))
                }
                Reply::Refused { .. } => Err(self.refusal(&reply)),
            };
            // The receiver was dropped if the operator's request has timed out.
            let _ = sender.try_send(result);
        }
    }

    pub(crate) fn complete_read(&self, token: u64, result: Result<u64, Reply>) {
        if let Some(PendingRequest::Read(sender)) = self.take_pending(token) {
            let _ = sender.try_send(result.map_err(|reply| self.refusal(&reply)));
        }
    }

    fn refusal(&self, reply: &Reply) -> Refusal {
        match reply {
            Reply::Refused { kind, leader } => {
                let leader = leader.and_then(|number| self.address_of(number));
                let detail = leader.map_or_else(String::new, |at| format!("the leader is {at}"));
                (*kind, detail)
            }
            Reply::Committed(_) => (ErrorKind::Internal, String::new()),
        }
    }

    fn add_pending(&self, request: PendingRequest) -> u64 {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        self.lock_pending().insert(token, request);
        token
    }

    fn take_pending(&self, token: u64) -> Option<PendingRequest> {
        self.lock_pending().remove(&token)
    }

    fn lock_replica_state(&self) -> MutexGuard<'_, ReplicaState> {
        self.replica_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_pending(&self) -> MutexGuard<'_, HashMap<u64, PendingRequest>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of a replica in an open group. It encodes the IPv4 address and port, so that no list of
/// addresses is needed.
pub(crate) fn number_of_address(address: SocketAddr) -> Option<ReplicaNumber> {
    match address {
        SocketAddr::V4(v4) => {
            Some(u64::from(u32::from(*v4.ip())) << u16::BITS | u64::from(v4.port()))
        }
        SocketAddr::V6(_) => None,
    }
}

/// Address of the replica with this number in an open group.
pub(crate) fn address_of_number(number: ReplicaNumber) -> Option<SocketAddr> {
    let ip = u32::try_from(number >> u16::BITS).ok()?;
    let port = u16::try_from(number & u64::from(u16::MAX)).ok()?;
    Some(SocketAddr::from((Ipv4Addr::from(ip), port)))
}
