//! Threads that run handlers. Idle threads are kept for a while, since starting one costs more than
//! a short call.

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::Builder,
    time::Duration,
};

/// Stack of a worker in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle worker ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Most idle workers that are kept; a crowd of callers must not leave a thread behind for each.
const MAX_IDLE: usize = 64;

type Job = Box<dyn FnOnce() + Send>;

/// Thread pool that grows on demand.
pub(crate) struct Workers {
    name: String,
    jobs: Sender<Job>,
    receiver: Receiver<Job>,
    /// Number of waiting workers that no job is reserved for.
    idle: AtomicUsize,
    /// Number of jobs that have not ended.
    busy: AtomicUsize,
}

/// Counts a job until it is dropped.
struct Busy(Arc<Workers>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Workers {
    pub(crate) fn new(name: impl Into<String>) -> Self {
        let (jobs, receiver) = unbounded();
        Workers {
            name: name.into(),
            jobs,
            receiver,
            idle: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        }
    }

    /// Number of jobs that have not ended.
    pub(crate) fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    /// Runs the job on an idle worker or a new one.
    pub(crate) fn run(self: &Arc<Self>, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        self.busy.fetch_add(1, Ordering::AcqRel);
        let busy = Busy(Arc::clone(self));
        let job = move || {
            let _busy = busy;
            job();
        };
        if self.reserve_idle() {
            // Can't fail: `self` holds a receiver.
            let _ = self.jobs.send(Box::new(job));
            return Ok(());
        }
        let workers = Arc::clone(self);
        let builder = Builder::new().name(self.name.clone());
        let body = move || {
            job();
            workers.run_jobs();
        };
        builder.stack_size(STACK_BYTES).spawn(body).map(drop)
    }

    /// Runs jobs until none arrives for `IDLE_TIMEOUT`, or until enough other workers are idle.
    fn run_jobs(&self) {
        loop {
            if !self.add_idle() {
                return;
            }
            let job = match self.receiver.recv_timeout(IDLE_TIMEOUT) {
                Ok(job) => job,
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) if self.reserve_idle() => return,
                // Another thread has reserved this worker meanwhile and is sending its job.
                Err(RecvTimeoutError::Timeout) => match self.receiver.recv() {
                    Ok(job) => job,
                    Err(_) => return,
                },
            };
            job();
        }
    }

    /// Adds one worker to the idle count; false if enough are idle.
    fn add_idle(&self) -> bool {
        let added = self
            .idle
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |idle| {
                (idle < MAX_IDLE).then_some(idle + 1)
            });
        added.is_ok()
    }

    /// Takes one worker from the idle count; false if none is idle.
    fn reserve_idle(&self) -> bool {
        let reserved = self
            .idle
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |idle| {
                idle.checked_sub(1)
            });
        reserved.is_ok()
    }
}
