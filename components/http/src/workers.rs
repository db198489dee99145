//! Threads that run handlers; kept for a while, since starting one costs more than a short call.

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
/// Time after which an unused worker ends.
const KEPT_IDLE: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

pub(crate) struct Workers {
    name: String,
    jobs: Sender<Job>,
    receiver: Receiver<Job>,
    /// Workers that wait and that no job is meant for yet.
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

    /// Runs the job on a waiting worker or a new one.
    pub(crate) fn run(self: &Arc<Self>, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        if self.claim_idle() {
            // The receiver lives as long as this value.
            let _ = self.jobs.send(Box::new(job));
            return Ok(());
        }
        let workers = Arc::clone(self);
        let builder = Builder::new().name(self.name.clone());
        let body = move || {
            job();
            workers.work();
        };
        builder.stack_size(STACK_BYTES).spawn(body).map(drop)
    }

    fn work(&self) {
        loop {
            self.idle.fetch_add(1, Ordering::AcqRel);
            let job = match self.receiver.recv_timeout(KEPT_IDLE) {
                Ok(job) => job,
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) if self.claim_idle() => return,
                // A job was meant for this worker just now.
                Err(RecvTimeoutError::Timeout) => match self.receiver.recv() {
                    Ok(job) => job,
                    Err(_) => return,
                },
            };
            job();
        }
    }

    fn claim_idle(&self) -> bool {
        let claimed = self
            .idle
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |idle| {
                idle.checked_sub(1)
            });
        claimed.is_ok()
    }
}
