//! One authenticated connection.

use crate::{
    Channel, Frame, FrameDecoder, FrameError, FrameKind, MessageAssembler, RequestError, SendError,
    builder::spawn,
    handshake::Session,
    inner::{Inner, OnReply, contain},
    send_queue::{Message, Outbox, Placed},
    stats::count,
};
use errors::ErrorKind;
use model::NodeId;
use socket2::SockRef;
use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Bytes asked for in one read.
const READ_BYTES: usize = 16 * 1024;
/// Pause before a full socket is tried again.
const WRITE_PAUSE: Duration = Duration::from_millis(2);
/// Buffer space that a connection keeps between messages.
const KEPT_BYTES: usize = 32 * 1024;

#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_DONTWAIT: i32 = 0x40;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_DONTWAIT: i32 = 0x80;

/// What a message is for, with what its sender needs back.
pub(crate) enum Purpose {
    OneWay,
    Request { deadline_us: u64, on_reply: OnReply },
    Reply(u64),
    NoReply(u64),
}

pub(crate) struct Outgoing {
    pub(crate) channel: Channel,
    pub(crate) payload: Vec<u8>,
    pub(crate) purpose: Purpose,
}

impl Outgoing {
    /// Tells the sender that nothing was sent.
    pub(crate) fn not_sent(self) {
        if let Purpose::Request { on_reply, .. } = self.purpose {
            on_reply(Err(RequestError::NotSent));
        }
    }
}

struct Pending {
    on_reply: OnReply,
    channel: Channel,
    deadline_us: u64,
    since_us: u64,
    sent: bool,
}

impl Pending {
    fn error(&self) -> RequestError {
        if self.sent {
            RequestError::ConnectionLost
        } else {
            RequestError::NotSent
        }
    }
}

/// A callback that is due and its error; run without any lock held.
pub(crate) type Due = Vec<(OnReply, RequestError)>;

struct State {
    outbox: Outbox,
    pending: HashMap<u64, Pending>,
    batch: Vec<u8>,
    requests: Vec<Placed>,
    next_id: u64,
    writing: bool,
    closed: bool,
    /// First one-way message since the last inbound envelope.
    one_way_since_us: Option<u64>,
    pinged_us: u64,
    last_sent_us: u64,
}

/// What the timer does with a connection.
pub(crate) enum Look {
    Again(u64),
    Silent,
    Idle,
}

pub(crate) struct Link {
    pub(crate) id: u64,
    pub(crate) peer: NodeId,
    /// Address that was dialled; `None` if the peer dialled.
    pub(crate) dialled: Option<SocketAddr>,
    stream: TcpStream,
    receive_key: [u8; 32],
    state: Mutex<State>,
    last_inbound_us: AtomicU64,
}

impl Link {
    pub(crate) fn new(
        inner: &Inner,
        id: u64,
        dialled: Option<SocketAddr>,
        stream: TcpStream,
        session: &Session,
    ) -> io::Result<Self> {
        let limits = &inner.limits;
        stream.set_nonblocking(true)?;
        #[cfg(target_os = "linux")]
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(Duration::from_millis(limits.write_timeout_ms)))?;
        Ok(Link {
            id,
            peer: session.peer,
            dialled,
            stream,
            receive_key: session.receive_key,
            state: Mutex::new(State {
                outbox: Outbox::new(session.send_key, limits.max_queued_bytes),
                pending: HashMap::new(),
                batch: Vec::new(),
                requests: Vec::new(),
                next_id: 0,
                writing: false,
                closed: false,
                one_way_since_us: None,
                pinged_us: 0,
                last_sent_us: inner.now_us(),
            }),
            last_inbound_us: AtomicU64::new(inner.now_us()),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a message and writes it unless another thread is writing. Never blocks on the peer.
    pub(crate) fn submit(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        out: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        let mut state = self.state();
        if state.closed {
            return Err((out, SendError::Closed));
        }
        let now_us = inner.now_us();
        let (kind, id) = match out.purpose {
            Purpose::OneWay => (FrameKind::OneWay, state.take_id()),
            Purpose::Request { .. } => (FrameKind::Request, state.take_id()),
            Purpose::Reply(id) => (FrameKind::Reply, id),
            Purpose::NoReply(id) => (FrameKind::NoReply, id),
        };
        let (channel, purpose) = (out.channel, out.purpose);
        let message = Message {
            kind,
            channel,
            id,
            payload: out.payload,
        };
        if let Err((message, error)) = state.outbox.push(message) {
            let out = Outgoing {
                channel,
                payload: message.payload,
                purpose,
            };
            return Err((out, error));
        }
        state.last_sent_us = now_us;
        let ping_us = now_us + inner.limits.ping_after_ms * 1_000;
        match purpose {
            Purpose::Request {
                deadline_us,
                on_reply,
            } => {
                let pending = Pending {
                    on_reply,
                    channel,
                    deadline_us,
                    since_us: now_us,
                    sent: false,
                };
                state.pending.insert(id, pending);
                inner.timer.want(ping_us.min(deadline_us));
            }
            Purpose::OneWay => {
                state.one_way_since_us.get_or_insert(now_us);
                inner.timer.want(ping_us);
            }
            Purpose::Reply(_) | Purpose::NoReply(_) => {}
        }
        self.write_if_free(inner, state);
        Ok(())
    }

    fn heartbeat(self: &Arc<Self>, inner: &Arc<Inner>, kind: FrameKind) {
        let mut state = self.state();
        if !state.closed {
            state.outbox.push_heartbeat(kind);
            self.write_if_free(inner, state);
        }
    }

    fn write_if_free<'a>(
        self: &'a Arc<Self>,
        inner: &Arc<Inner>,
        mut state: MutexGuard<'a, State>,
    ) {
        if state.writing {
            return;
        }
        state.writing = true;
        while let Some(batch) = state.next_batch(inner) {
            drop(state);
            let written = self.write_now(&batch.bytes);
            match written {
                Ok(count) if count == batch.bytes.len() => {
                    state = self.state();
                    state.keep(batch);
                }
                Ok(count) => return self.hand_over(inner, batch, count),
                Err(_) => return self.write_failed(&batch, 0),
            }
        }
    }

    /// One write without blocking; 0 if the socket has no space.
    fn write_now(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match SockRef::from(&self.stream).send_with_flags(bytes, MSG_DONTWAIT) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(0),
                other => return other,
            }
        }
    }

    /// A full socket must not block the sending thread, which may be the reader of this or of
    /// another connection: two readers that block on each other would never read again.
    fn hand_over(self: &Arc<Self>, inner: &Arc<Inner>, batch: Batch, written: usize) {
        let link = Arc::clone(self);
        let owner = Arc::clone(inner);
        let body = move || link.write_blocking(&owner, batch, written);
        if spawn("mesh-write", body).is_err() {
            // The batch is gone, so the stream can't go on; its requests count as sent.
            self.cut();
        }
    }

    fn write_blocking(&self, inner: &Inner, mut batch: Batch, mut written: usize) {
        let mut until = write_limit(inner);
        loop {
            while written < batch.bytes.len() {
                match (&self.stream).write(&batch.bytes[written..]) {
                    Ok(count) if count > 0 => {
                        written += count;
                        until = write_limit(inner);
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(error)
                        if error.kind() == io::ErrorKind::WouldBlock && Instant::now() < until =>
                    {
                        std::thread::sleep(WRITE_PAUSE);
                    }
                    Ok(_) | Err(_) => return self.write_failed(&batch, written),
                }
            }
            let mut state = self.state();
            state.keep(batch);
            match state.next_batch(inner) {
                None => return,
                Some(next) => batch = next,
            }
            written = 0;
        }
    }

    /// Requests behind the last written byte certainly did not leave this host.
    fn write_failed(&self, batch: &Batch, written: usize) {
        let mut state = self.state();
        for placed in batch.requests.iter().filter(|p| p.start >= written) {
            if let Some(pending) = state.pending.get_mut(&placed.id) {
                pending.sent = false;
            }
        }
        state.closed = true;
        drop(state);
        self.cut();
    }

    /// Ends the connection; its reader thread then runs `close`.
    pub(crate) fn cut(&self) {
        self.state().closed = true;
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Ends the sending direction once everything queued is written.
    pub(crate) fn finish_sending(&self) -> bool {
        let mut state = self.state();
        if !state.closed && (state.writing || !state.outbox.is_empty()) {
            return false;
        }
        state.closed = true;
        let _ = self.stream.shutdown(Shutdown::Write);
        true
    }

    /// Ends the connection and returns the callbacks of the requests that waited on it.
    pub(crate) fn close(&self) -> Due {
        self.cut();
        let pending = std::mem::take(&mut self.state().pending);
        pending
            .into_values()
            .map(|pending| {
                let error = pending.error();
                (pending.on_reply, error)
            })
            .collect()
    }

    /// Looks for silence and expired requests.
    pub(crate) fn look(self: &Arc<Self>, inner: &Arc<Inner>, due: &mut Due) -> Look {
        let now_us = inner.now_us();
        let limits = &inner.limits;
        let mut state = self.state();
        state.expire(now_us, due);
        let inbound_us = self.last_inbound_us.load(Ordering::Acquire);
        if state.one_way_since_us.is_some_and(|at| at <= inbound_us) {
            state.one_way_since_us = None;
        }
        let oldest = state.pending.values().map(|p| p.since_us).min();
        let waiting_us = match (oldest, state.one_way_since_us) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        let Some(waiting_us) = waiting_us else {
            let idle_at = inbound_us.max(state.last_sent_us) + limits.idle_timeout_ms * 1_000;
            // The dialler closes unused connections; the acceptor waits longer than any dialler.
            let idle_at = match self.dialled {
                Some(_) => idle_at,
                None => inbound_us + 2 * limits.idle_timeout_ms * 1_000,
            };
            if idle_at <= now_us && state.outbox.is_empty() {
                state.closed = true;
                return Look::Idle;
            }
            return Look::Again(idle_at.max(now_us + limits.ping_after_ms * 1_000));
        };
        let silent_since_us = inbound_us.max(waiting_us);
        let close_at = silent_since_us + limits.silent_after_ms * 1_000;
        if close_at <= now_us {
            return Look::Silent;
        }
        let ping_at = silent_since_us + limits.ping_after_ms * 1_000;
        let pinged = state.pinged_us >= silent_since_us;
        let mut next_us = close_at;
        if !pinged && ping_at > now_us {
            next_us = ping_at;
        } else if !pinged {
            state.pinged_us = now_us;
            drop(state);
            self.heartbeat(inner, FrameKind::Ping);
            state = self.state();
        }
        let deadline_us = state.pending.values().map(|p| p.deadline_us).min();
        Look::Again(next_us.min(deadline_us.unwrap_or(u64::MAX)))
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Takes the bytes that have arrived, without blocking.
    pub(crate) fn read_available(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        inflow: &mut Inflow,
    ) -> Progress {
        loop {
            let length = inflow.buffer.len();
            inflow.buffer.resize(length + READ_BYTES, 0);
            let read = read_now(&self.stream, &mut inflow.buffer[length..]);
            inflow
                .buffer
                .truncate(length + read.as_ref().map_or(0, |count| *count));
            match read {
                Ok(0) => {
                    if !inflow.buffer.is_empty() {
                        count(&inner.counters.bad_frames);
                        log::warn!("mesh: peer {} ended inside an envelope", self.peer);
                    }
                    return Progress::Ended;
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Progress::Waiting;
                }
                Err(_) => return Progress::Ended,
            }
            let Inflow {
                decoder,
                assembler,
                buffer,
            } = inflow;
            if let Err(error) = self.take_frames(inner, decoder, assembler, buffer) {
                count(&inner.counters.bad_frames);
                let code = ErrorKind::BadFrame.info().code;
                log::warn!("mesh: connection to {} closed, {code}: {error}", self.peer);
                return Progress::Ended;
            }
        }
    }

    fn take_frames(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        decoder: &mut FrameDecoder,
        assembler: &mut MessageAssembler,
        buffer: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        let mut start = 0;
        while let Some((frame, length)) = decoder.decode(&buffer[start..])? {
            start += length;
            self.last_inbound_us
                .store(inner.now_us(), Ordering::Release);
            match frame.kind {
                FrameKind::Ping => {
                    count(&inner.counters.heartbeats_in);
                    self.heartbeat(inner, FrameKind::Pong);
                }
                FrameKind::Pong => count(&inner.counters.heartbeats_in),
                _ => {
                    inner
                        .counters
                        .received(frame.channel, length, !frame.has_more);
                    if let Some(message) = assembler.push(frame)? {
                        self.deliver(inner, message);
                    }
                }
            }
        }
        buffer.drain(..start);
        if buffer.is_empty() {
            buffer.shrink_to(KEPT_BYTES);
        }
        Ok(())
    }

    fn deliver(self: &Arc<Self>, inner: &Arc<Inner>, message: Frame) {
        let result = match message.kind {
            FrameKind::Reply => Ok(message.payload),
            FrameKind::NoReply => Err(RequestError::ConnectionLost),
            FrameKind::Request | FrameKind::OneWay => return inner.handle(self, message),
            FrameKind::Ping | FrameKind::Pong => return,
        };
        let pending = self.state().pending.remove(&message.id);
        // A reply after the deadline of its request finds nothing.
        if let Some(pending) = pending {
            contain(|| (pending.on_reply)(result));
        }
    }
}

/// What has arrived on a connection and is not complete yet.
pub(crate) struct Inflow {
    decoder: FrameDecoder,
    assembler: MessageAssembler,
    buffer: Vec<u8>,
}

impl Inflow {
    pub(crate) fn new(inner: &Inner, link: &Link) -> Self {
        let limits = &inner.limits;
        Inflow {
            decoder: FrameDecoder::new(link.receive_key),
            assembler: MessageAssembler::new(limits.max_message_bytes, limits.max_queued_bytes),
            buffer: Vec::new(),
        }
    }
}

/// Whether more bytes may come on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Waiting,
    Ended,
}

/// One read without blocking; the socket is in non-blocking mode.
fn read_now(mut stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// When a write that makes no progress ends the connection.
fn write_limit(inner: &Inner) -> Instant {
    Instant::now() + Duration::from_millis(inner.limits.write_timeout_ms)
}

struct Batch {
    bytes: Vec<u8>,
    requests: Vec<Placed>,
}

impl State {
    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// The next bytes to write; `None` ends the writing of this thread.
    fn next_batch(&mut self, inner: &Inner) -> Option<Batch> {
        if self.closed || self.outbox.is_empty() {
            self.writing = false;
            return None;
        }
        let mut batch = Batch {
            bytes: std::mem::take(&mut self.batch),
            requests: std::mem::take(&mut self.requests),
        };
        self.outbox
            .fill(&mut batch.bytes, &mut batch.requests, &inner.counters);
        for placed in &batch.requests {
            // Marked before the write: a connection that ends during it leaves the fate open.
            if let Some(pending) = self.pending.get_mut(&placed.id) {
                pending.sent = true;
            }
        }
        Some(batch)
    }

    /// Keeps the buffers for the next batch.
    fn keep(&mut self, batch: Batch) {
        self.batch = batch.bytes;
        self.batch.clear();
        self.batch.shrink_to(KEPT_BYTES);
        self.requests = batch.requests;
    }

    fn expire(&mut self, now_us: u64, due: &mut Due) {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline_us <= now_us)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(pending) = self.pending.remove(&id) {
                let withdrawn = !pending.sent && self.outbox.withdraw(pending.channel, id);
                let error = if withdrawn {
                    RequestError::NotSent
                } else {
                    RequestError::TimedOut
                };
                due.push((pending.on_reply, error));
            }
        }
    }
}
