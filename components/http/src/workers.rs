//! Threads that run handlers. Idle threads are kept for a while, since starting one costs more than
//! a short call.

use std::{
    io,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread::Builder,
    time::{Duration, Instant},
};

/// Stack of a worker in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Idle workers that are kept for `IDLE_TIMEOUT`.
const KEPT_IDLE: usize = 4;
/// Time after which a kept idle worker ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which any further idle worker ends: long enough for the next calls of a burst.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Most idle workers at a time; a crowd of callers must not leave a thread behind for each.
const MAX_IDLE: usize = 64;

type Job = Box<dyn FnOnce() + Send>;

/// Thread pool that grows on demand.
pub(crate) struct Workers {
    name: String,
    /// Waiting workers. The last one gets the next job, so that the first ones stay idle and end.
    idle: Mutex<Vec<Arc<IdleWorker>>>,
    /// Number of jobs that have not ended.
    busy: AtomicUsize,
}

/// A worker that waits for a job.
#[derive(Default)]
struct IdleWorker {
    job: Mutex<Option<Job>>,
    changed: Condvar,
}

impl IdleWorker {
    fn give(&self, job: Job) {
        *self.job.lock().unwrap_or_else(PoisonError::into_inner) = Some(job);
        self.changed.notify_one();
    }

    /// Waits for a job, at most until the given time.
    fn wait(&self, until: Option<Instant>) -> Option<Job> {
        let mut job = self.job.lock().unwrap_or_else(PoisonError::into_inner);
        while job.is_none() {
            job = match until {
                None => self
                    .changed
                    .wait(job)
                    .unwrap_or_else(PoisonError::into_inner),
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return None;
                    }
                    let waited = self.changed.wait_timeout(job, left);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
            };
        }
        job.take()
    }
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
        Workers {
            name: name.into(),
            idle: Mutex::default(),
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
        let idle = self.idle().pop();
        if let Some(worker) = idle {
            worker.give(Box::new(job));
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

    /// Runs jobs until none arrives in time, or until enough other workers are idle.
    fn run_jobs(&self) {
        let own = Arc::new(IdleWorker::default());
        while let Some(timeout) = self.add_idle(&own) {
            let job = own.wait(Some(Instant::now() + timeout)).or_else(|| {
                // If another thread has taken this worker meanwhile, a job follows.
                let is_taken = !self.remove_idle(&own);
                is_taken.then(|| own.wait(None)).flatten()
            });
            let Some(job) = job else {
                return;
            };
            job();
        }
    }

    /// Adds an idle worker and returns how long it waits; `None` if enough are idle.
    fn add_idle(&self, worker: &Arc<IdleWorker>) -> Option<Duration> {
        let mut idle = self.idle();
        if idle.len() >= MAX_IDLE {
            return None;
        }
        idle.push(Arc::clone(worker));
        Some(if idle.len() <= KEPT_IDLE {
            IDLE_TIMEOUT
        } else {
            SURPLUS_TIMEOUT
        })
    }

    /// Removes an idle worker; false if it was taken for a job.
    fn remove_idle(&self, worker: &Arc<IdleWorker>) -> bool {
        let mut idle = self.idle();
        let index = idle.iter().position(|other| Arc::ptr_eq(other, worker));
        index.map(|index| idle.remove(index)).is_some()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Arc<IdleWorker>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
