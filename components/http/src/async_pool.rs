//! Client connections whose responses arrive by callback.
//!
//! `Pool::call` costs its caller a thread that waits. Here the calling thread writes the request
//! itself and the thread of the connection runs the callback, so that a proxy needs no worker
//! thread and one wake-up less per call.

use crate::{
    CallError, CancelToken, PoolConfig, Request, Response,
    message::encode_request,
    pool::{LONG_WAIT, connect, receive, send},
    read_buffer::{ReadBuffer, is_timeout},
    socket::{Peeked, peek, send_now},
    wake_timer::WakeTimer,
};
use std::{
    collections::{HashMap, VecDeque},
    io,
    net::{Shutdown, TcpStream},
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    thread::Builder,
    time::{Duration, Instant},
};

/// Stack of a connection's thread in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// How often a closed pool looks whether its last call has ended.
const CLOSING_LOOK: Duration = Duration::from_millis(500);

type OnDone = Box<dyn FnOnce(Result<Response, CallError>) + Send>;

/// One call on its way.
struct Job {
    out: Vec<u8>,
    to_head: bool,
    deadline: Instant,
    cancel: CancelToken,
    on_done: OnDone,
}

impl Job {
    fn is_over(&self) -> bool {
        self.cancel.is_cancelled() || self.deadline <= Instant::now()
    }

    fn not_sent(self) {
        self.done(Err(CallError::NotSent));
    }

    /// A panic in the callback must not take the connection's place in the pool with it.
    fn done(self, result: Result<Response, CallError>) {
        let on_done = self.on_done;
        if catch_unwind(AssertUnwindSafe(|| on_done(result))).is_err() {
            log::error!("http: a callback panicked");
        }
    }
}

#[derive(Default)]
struct LineState {
    job: Option<Job>,
    timed_out: bool,
    /// Set by the connection's thread before it ends, so that no call is put on it.
    dead: bool,
}

/// One connection.
struct Line {
    id: u64,
    stream: Arc<TcpStream>,
    state: Mutex<LineState>,
}

impl Line {
    fn state(&self) -> MutexGuard<'_, LineState> {
        lock(&self.state)
    }

    fn cut(&self) {
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

#[derive(Default)]
struct State {
    idle: Vec<(Arc<Line>, Instant)>,
    busy: HashMap<u64, Arc<Line>>,
    waiting: VecDeque<Job>,
    open: usize,
    opened: u64,
    next_id: u64,
    closed: bool,
}

struct Inner {
    config: PoolConfig,
    state: Mutex<State>,
    alarm: Arc<WakeTimer>,
}

/// Keep-alive connections to one address, used without waiting threads. Dropped, it closes its
/// idle connections; calls in progress end as usual.
pub struct AsyncPool(Arc<Inner>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncPool {
    /// An empty pool; connections are opened on demand.
    pub fn new(config: PoolConfig) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            config,
            state: Mutex::default(),
            alarm: Arc::default(),
        });
        let (alarm, weak) = (Arc::clone(&inner.alarm), Arc::downgrade(&inner));
        spawn(move || watch_times(&alarm, &weak))?;
        Ok(AsyncPool(inner))
    }

    /// Connections opened since the start.
    pub fn connections_opened(&self) -> u64 {
        lock(&self.0.state).opened
    }

    /// Connections open now, in use or idle.
    pub fn open_connections(&self) -> usize {
        lock(&self.0.state).open
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        for (line, _) in std::mem::take(&mut lock(&self.0.state).idle) {
            line.cut();
        }
    }

    /// Sends the request once. `on_done` runs exactly once, with the same results as those of
    /// `Pool::call`, on the thread of the connection, or on the calling thread before this returns
    /// if nothing can be sent. It must not block for long. Never blocks.
    /// A call that waits for a connection notices a cancellation when it is its turn, at the latest
    /// at its deadline.
    pub fn call(
        &self,
        request: &Request,
        deadline: Instant,
        cancel: &CancelToken,
        on_done: impl FnOnce(Result<Response, CallError>) + Send + 'static,
    ) {
        let mut out = Vec::new();
        let encoded = encode_request(&mut out, request, self.0.config.address);
        let job = Job {
            out,
            to_head: request.method == "HEAD",
            deadline,
            cancel: cancel.clone(),
            on_done: Box::new(on_done),
        };
        if !encoded || job.is_over() {
            return job.not_sent();
        }
        self.0.place(job);
    }
}

impl Drop for AsyncPool {
    fn drop(&mut self) {
        lock(&self.0.state).closed = true;
        self.close_idle();
        self.0.alarm.want(Instant::now());
    }
}

fn spawn(body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = Builder::new().name("http-pool".to_owned());
    builder.stack_size(STACK_BYTES).spawn(body).map(drop)
}

/// Ends calls at their deadline and closes connections that were idle too long.
fn watch_times(alarm: &WakeTimer, pool: &Weak<Inner>) {
    loop {
        alarm.sleep();
        let Some(inner) = pool.upgrade() else { return };
        let (next, expired, closed) = inner.check_times(Instant::now());
        expired.into_iter().for_each(Job::not_sent);
        if closed {
            return;
        }
        if let Some(next) = next {
            alarm.want(next);
        }
    }
}

impl Inner {
    /// Writes the job on an idle connection, or opens one, or queues the job.
    fn place(self: &Arc<Self>, mut job: Job) {
        loop {
            let mut state = lock(&self.state);
            if let Some((line, _)) = state.idle.pop() {
                state.busy.insert(line.id, Arc::clone(&line));
                drop(state);
                match self.write_on(&line, job) {
                    Ok(()) => return,
                    Err(returned) => job = returned,
                }
                continue;
            }
            if state.open >= self.config.max_connections {
                self.alarm.want(job.deadline);
                state.waiting.push_back(job);
                return;
            }
            state.open += 1;
            drop(state);
            // The thread takes the job from here, because a closure that was not started is lost.
            let handed = Arc::new(Mutex::new(Some(job)));
            let (inner, taken) = (Arc::clone(self), Arc::clone(&handed));
            let spawned = spawn(move || {
                if let Some(job) = lock(&taken).take() {
                    inner.open_and_run(job);
                }
            });
            if spawned.is_err() {
                lock(&self.state).open -= 1;
                if let Some(job) = lock(&handed).take() {
                    job.not_sent();
                }
            }
            return;
        }
    }

    /// Puts the job on a connection; gives it back if certainly nothing of it was sent.
    fn write_on(self: &Arc<Self>, line: &Arc<Line>, mut job: Job) -> Result<(), Job> {
        // Held during the write, so that the connection's thread can't judge a half-written job.
        let mut state = line.state();
        if state.dead || peek(&line.stream) != Peeked::Quiet {
            drop(state);
            line.cut();
            return Err(job);
        }
        if !job.cancel.bind(&line.stream) {
            drop(state);
            self.retire(line);
            job.not_sent();
            return Ok(());
        }
        let Ok(written) = send_now(&line.stream, &job.out) else {
            job.cancel.release();
            drop(state);
            line.cut();
            return Err(job);
        };
        let (out, deadline) = (std::mem::take(&mut job.out), job.deadline);
        state.job = Some(job);
        drop(state);
        // Asked for only now: an alarm before would have found no job.
        self.alarm.want(deadline);
        if written < out.len() {
            finish_write(line, out, written, deadline);
        }
        Ok(())
    }

    /// Cuts a connection that was taken for a job which then was not sent.
    fn retire(&self, line: &Line) {
        lock(&self.state).busy.remove(&line.id);
        line.cut();
    }

    /// Runs on the thread of a new connection.
    fn open_and_run(self: &Arc<Self>, job: Job) {
        let stream = match connect(&self.config, job.deadline) {
            Ok(stream) if !job.is_over() => Arc::new(stream),
            _ => {
                self.release_place();
                return job.not_sent();
            }
        };
        let line = {
            let mut state = lock(&self.state);
            state.opened += 1;
            state.next_id += 1;
            let line = Arc::new(Line {
                id: state.next_id,
                stream,
                state: Mutex::default(),
            });
            state.busy.insert(line.id, Arc::clone(&line));
            line
        };
        if let Err(job) = self.write_on(&line, job) {
            lock(&self.state).busy.remove(&line.id);
            self.release_place();
            return job.not_sent();
        }
        self.run(&line);
        lock(&self.state).busy.remove(&line.id);
        self.release_place();
    }

    /// Frees the place of a closed connection for a job that waits.
    fn release_place(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        state.open -= 1;
        let next = state.waiting.pop_front();
        drop(state);
        if let Some(job) = next {
            self.place(job);
        }
    }

    /// Reads responses until the connection ends.
    fn run(self: &Arc<Self>, line: &Arc<Line>) {
        let mut inbox = ReadBuffer::default();
        loop {
            if inbox.unread().is_empty() {
                match inbox.fill(&line.stream, LONG_WAIT) {
                    Err(error) if is_timeout(&error) => continue,
                    // The end is reported below, as the end of the job if there is one.
                    Ok(_) | Err(_) => {}
                }
            }
            let to_head = {
                let mut state = line.state();
                let to_head = state.job.as_ref().map(|job| job.to_head);
                state.dead = to_head.is_none();
                to_head
            };
            let Some(to_head) = to_head else {
                lock(&self.state)
                    .idle
                    .retain(|(other, _)| other.id != line.id);
                return;
            };
            let result = receive(&self.config, &line.stream, &mut inbox, to_head, None);
            if !self.finish(line, result) {
                return;
            }
        }
    }

    /// Ends the job of a connection; false if the connection ends with it.
    fn finish(
        self: &Arc<Self>,
        line: &Arc<Line>,
        result: Result<(Response, bool), CallError>,
    ) -> bool {
        let (job, timed_out) = {
            let mut state = line.state();
            state.dead = !matches!(result, Ok((_, true)));
            (state.job.take(), state.timed_out)
        };
        let Some(job) = job else { return false };
        let intact = job.cancel.release() && !timed_out;
        let (result, reusable) = match result {
            Ok((response, reusable)) => (Ok(response), reusable && intact),
            Err(_) if timed_out => (Err(CallError::TimedOut), false),
            Err(_) if !intact => (Err(CallError::Cancelled), false),
            Err(error) => (Err(error), false),
        };
        if reusable {
            self.give_back(line);
        } else {
            line.state().dead = true;
            line.cut();
        }
        job.done(result);
        reusable
    }

    /// Makes the connection usable before the callback runs, which may start the next call.
    fn give_back(self: &Arc<Self>, line: &Arc<Line>) {
        let mut state = lock(&self.state);
        while let Some(job) = state.waiting.pop_front() {
            drop(state);
            if job.is_over() {
                job.not_sent();
            } else {
                match self.write_on(line, job) {
                    Ok(()) => return,
                    Err(job) => return lock(&self.state).waiting.push_front(job),
                }
            }
            state = lock(&self.state);
        }
        state.busy.remove(&line.id);
        if state.closed {
            line.cut();
            return;
        }
        let now = Instant::now();
        state.idle.push((Arc::clone(line), now));
        drop(state);
        self.alarm.want(now + self.idle_timeout());
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.config.idle_timeout_ms)
    }

    /// Next time to look, jobs that waited too long, and whether the pool is closed and empty.
    fn check_times(&self, now: Instant) -> (Option<Instant>, Vec<Job>, bool) {
        let mut state = lock(&self.state);
        let mut next = None;
        let mut sooner = |at: Instant| next = Some(next.map_or(at, |other: Instant| other.min(at)));
        for line in state.busy.values() {
            let mut on_line = line.state();
            if let Some(deadline) = on_line.job.as_ref().map(|job| job.deadline) {
                if deadline <= now {
                    on_line.timed_out = true;
                    line.cut();
                } else {
                    sooner(deadline);
                }
            }
        }
        let (over, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut state.waiting)
            .into_iter()
            .partition(Job::is_over);
        state.waiting = waiting.into();
        state.waiting.iter().for_each(|job| sooner(job.deadline));
        let limit = self.idle_timeout();
        state.idle.retain(|(line, since)| {
            let expired = now.saturating_duration_since(*since) >= limit;
            if expired {
                line.cut();
            } else {
                sooner(*since + limit);
            }
            !expired
        });
        let closed = state.closed && state.open == 0;
        if state.closed && !closed {
            sooner(now + CLOSING_LOOK);
        }
        (next, over, closed)
    }
}

/// Writes the rest of a large request on a thread of its own; the calling thread must not block.
fn finish_write(line: &Arc<Line>, out: Vec<u8>, written: usize, deadline: Instant) {
    let writing = Arc::clone(line);
    let body = move || {
        if send(&writing.stream, &out, written, deadline).is_err() {
            writing.cut();
        }
    };
    if spawn(body).is_err() {
        line.cut();
    }
}
