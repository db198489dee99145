//! Events of a simulated run and their order.

use model::{AttemptId, LoadSignal, UpstreamState};
use routing::{AttemptResult, UpstreamKey};

/// What happens next in a run.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A call arrives at its entry.
    CallArrived(usize),
    /// An attempt arrives at the owner, with the longest wait in its queue.
    AttemptArrived(AttemptId, Option<u64>),
    /// The next call finishes at an instance, unless its generation has changed.
    CallFinished { instance: usize, generation: u64 },
    /// A waiting attempt of the instance may have reached its latest start.
    QueueTimer(usize),
    /// The response to an attempt arrives at its entry.
    ResponseArrived {
        attempt: AttemptId,
        result: AttemptResult,
        /// Whether the owner refused it because the instance is stopping.
        stopping: bool,
        signal: LoadSignal,
    },
    /// A call reaches its deadline.
    Deadline(usize),
    /// A call has run for so long that it is hedged.
    HedgeTimer(usize),
    /// A cancellation arrives at the owner of the instance.
    CancelArrived(AttemptId, usize),
    /// A probe arrives at the owner of the instance.
    ProbeArrived {
        entry: usize,
        instance: usize,
        sent_us: u64,
    },
    ProbeReplyArrived {
        entry: usize,
        key: UpstreamKey,
        signal: LoadSignal,
        sent_us: u64,
    },
    /// An instance sends its load report.
    SendReport(usize),
    /// A load report arrives at an entry.
    ReportArrived {
        entry: usize,
        instance: usize,
        load: u32,
    },
    /// A disturbance of the workload takes effect.
    Disturbance(usize),
    /// Gossip about an instance's state arrives at an entry.
    GossipArrived {
        entry: usize,
        instance: usize,
        restarts: u64,
        state: UpstreamState,
    },
}

/// An event in the queue, ordered by time and then by the order of scheduling.
pub(super) struct ScheduledEvent {
    pub(super) at_us: u64,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}
