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

type Job = Box<dyn FnOnce() + Send>;

/// Thread pool that grows on demand.
pub(crate) struct Workers {
    name: String,
    jobs: Sender<Job>,
    receiver: Receiver<Job>,
    /// Number of waiting workers that no job is reserved for.
    idle: AtomicUsize,
}

impl Workers {
    pub(crate) fn new(name: impl Into<String>) -> Self {
        let (jobs, receiver) = unbounded();
        Workers {
            name: name.into(),
            jobs,
            receiver,
            idle: AtomicUsize::new(0),
        }
    }

    /// Runs the job on an idle worker or a new one.
    pub(crate) fn run(self: &Arc<Self>, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
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

    /// Runs jobs until none arrives for `IDLE_TIMEOUT`.
    fn run_jobs(&self) {
        loop {
            self.idle.fetch_add(1, Ordering::AcqRel);
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
