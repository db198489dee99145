//! Memory of the responses that callers have not read yet.
//!
//! The size of a response is known only once it is there, so it is always accepted. When all
//! responses together are over the budget, connections are closed whose callers don't read.

use crate::{reply_queue::ReplyQueue, request_body::MEMORY_CHECK};
use std::{
    collections::HashMap,
    fmt,
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Time after its head from which a body counts as stalled. Shorter than the wait of a request for
/// memory, so that memory becomes free in that time.
const MIN_BODY_STALL: Duration = Duration::from_millis(1_500);

/// Unread responses of one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unread {
    pub(crate) bytes: usize,
    pub(crate) replies: usize,
    /// When the caller last read some of them, or when the first one was ready.
    pub(crate) since: Instant,
}

#[derive(Default)]
struct Queues {
    next_id: u64,
    by_id: HashMap<u64, (IpAddr, Weak<ReplyQueue>)>,
    /// When a stalled body was last looked for.
    body_check_at: Option<Instant>,
}

/// Budget of the unread responses of all servers that share it, and their connections.
pub struct ReplyMemory {
    max_bytes: usize,
    held_bytes: AtomicUsize,
    closed: AtomicU64,
    closed_bodies: AtomicU64,
    queues: Mutex<Queues>,
}

impl fmt::Debug for ReplyMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ReplyMemory({} bytes)", self.held_bytes())
    }
}

impl ReplyMemory {
    /// A budget of this size.
    pub fn new(max_bytes: usize) -> Self {
        ReplyMemory {
            max_bytes,
            held_bytes: AtomicUsize::new(0),
            closed: AtomicU64::new(0),
            closed_bodies: AtomicU64::new(0),
            queues: Mutex::default(),
        }
    }

    /// Bytes held now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Acquire)
    }

    /// Connections that were closed because their callers did not read.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    /// Connections that were closed in the middle of a body, because a small request needed memory.
    pub fn closed_bodies(&self) -> u64 {
        self.closed_bodies.load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, bytes: usize) {
        self.held_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Registers the queue of a connection; it is removed when the result is dropped.
    pub(crate) fn register(
        self: &Arc<Self>,
        peer: IpAddr,
        queue: &Arc<ReplyQueue>,
    ) -> QueueRegistration {
        let mut queues = self.lock();
        queues.next_id += 1;
        let id = queues.next_id;
        queues.by_id.insert(id, (peer, Arc::downgrade(queue)));
        QueueRegistration {
            memory: Arc::clone(self),
            id,
        }
    }

    /// Closes connections with unread responses until the rest is within the budget.
    pub(crate) fn make_room(&self) {
        if self.held_bytes() <= self.max_bytes {
            return;
        }
        let queues = self.lock();
        while self.held_bytes() > self.max_bytes {
            let unread: Vec<_> = queues
                .by_id
                .values()
                .filter_map(|(peer, queue)| {
                    let queue = queue.upgrade()?;
                    Some((*peer, queue.unread()?, queue))
                })
                .collect();
            let candidates = unread.iter().map(|(peer, unread, _)| (*peer, *unread));
            let Some(victim) = choose_victim(candidates) else {
                return;
            };
            let (peer, lost, queue) = &unread[victim];
            queue.close_now();
            let closed = self.closed.fetch_add(1, Ordering::Relaxed) + 1;
            // Powers of two, since a crowd of callers that don't read can cause many such lines.
            if closed.is_power_of_two() {
                log::warn!(
                    "http: memory-full: a connection from {peer} was closed that had not read {} bytes for {} ms; {closed} so far",
                    lost.bytes,
                    lost.since.elapsed().as_millis()
                );
            }
        }
    }

    /// Closes the connection that has sent its body for the longest time, if that is long enough and
    /// memory is reserved for the body. Its memory is returned when the loop removes it. All requests
    /// that wait for memory together cause one search for each interval in which they try again,
    /// because it locks every connection.
    pub(crate) fn close_stalled_body(&self, requester: &ReplyQueue) {
        let now = Instant::now();
        let mut queues = self.lock();
        if queues
            .body_check_at
            .is_some_and(|last| now < last + MEMORY_CHECK)
        {
            return;
        }
        queues.body_check_at = Some(now);
        let oldest = queues
            .by_id
            .values()
            .filter_map(|(peer, queue)| {
                let queue = queue.upgrade()?;
                let age = now.saturating_duration_since(queue.unfinished_body_since()?);
                let may_close = age >= MIN_BODY_STALL && !std::ptr::eq(&*queue, requester);
                may_close.then_some((age, *peer, queue))
            })
            .max_by_key(|(age, ..)| *age);
        let Some((age, peer, queue)) = oldest else {
            return;
        };
        if queue.close_unfinished_body() {
            let closed = self.closed_bodies.fetch_add(1, Ordering::Relaxed) + 1;
            if closed.is_power_of_two() {
                log::warn!(
                    "http: memory-full: a connection from {peer} whose body had not ended after {} \
                     ms was closed for a small request; {closed} so far",
                    age.as_millis()
                );
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Chooses among the connections with unread responses: of the peer with the most unread bytes, the
/// one that has not read for the longest time. A single response may be of any size if there is no
/// other.
fn choose_victim(candidates: impl Iterator<Item = (IpAddr, Unread)> + Clone) -> Option<usize> {
    let mut replies = 0;
    let mut by_peer: HashMap<IpAddr, usize> = HashMap::new();
    for (peer, unread) in candidates.clone() {
        replies += unread.replies;
        *by_peer.entry(peer).or_default() += unread.bytes;
    }
    if replies <= 1 {
        return None;
    }
    let (largest, _) = by_peer.into_iter().max_by_key(|(_, bytes)| *bytes)?;
    candidates
        .enumerate()
        .filter(|(_, (peer, _))| *peer == largest)
        .min_by_key(|(_, (_, unread))| unread.since)
        .map(|(index, _)| index)
}

/// Removes the queue of a connection that has ended.
pub(crate) struct QueueRegistration {
    memory: Arc<ReplyMemory>,
    id: u64,
}

impl Drop for QueueRegistration {
    fn drop(&mut self) {
        self.memory.lock().by_id.remove(&self.id);
    }
}

#[cfg(test)]
#[path = "../tests/inside/stalled_bodies.rs"]
mod tests;
