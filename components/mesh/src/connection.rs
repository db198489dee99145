//! One authenticated connection: queued writes, pending requests and received frames.

use crate::{
    Channel, Frame, FrameDecoder, FrameError, FrameKind, MessageAssembler, RequestError, SendError,
    builder::spawn,
    handshake::Session,
    inner::{Inner, OnReply, catch_panic},
    send_queue::{Message, RequestOffset, SendQueue},
    stats::increment,
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

const READ_BYTES: usize = 16 * 1024;
/// Pause before writing to a full socket again.
const WRITE_PAUSE: Duration = Duration::from_millis(2);
/// Most buffer space that a connection keeps allocated between messages.
const MAX_KEPT_BUFFER_BYTES: usize = 32 * 1024;

#[cfg(any(target_os = "linux", target_os = "android"))]
const MSG_DONTWAIT: i32 = 0x40;
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const MSG_DONTWAIT: i32 = 0x80;

/// What a message is for, and what its sender needs for the reply.
pub(crate) enum Purpose {
    OneWay,
    Request { deadline_us: u64, on_reply: OnReply },
    Reply(u64),
    NoReply(u64),
}

/// A message handed to the transport by its sender.
pub(crate) struct Outgoing {
    pub(crate) channel: Channel,
    pub(crate) payload: Vec<u8>,
    pub(crate) purpose: Purpose,
}

impl Outgoing {
    /// Fails a request whose message was not sent; does nothing for other messages.
    pub(crate) fn fail_not_sent(self) {
        if let Purpose::Request { on_reply, .. } = self.purpose {
            on_reply(Err(RequestError::NotSent));
        }
    }
}

/// A request that has no reply yet.
struct PendingRequest {
    on_reply: OnReply,
    channel: Channel,
    deadline_us: u64,
    submitted_us: u64,
    is_sent: bool,
}

impl PendingRequest {
    fn error(&self) -> RequestError {
        if self.is_sent {
            RequestError::ConnectionLost
        } else {
            RequestError::NotSent
        }
    }
}

/// Callbacks of requests that have failed, with their errors; run without any lock held.
pub(crate) type DueCallbacks = Vec<(OnReply, RequestError)>;

/// Mutable state of a connection.
struct State {
    send_queue: SendQueue,
    pending: HashMap<u64, PendingRequest>,
    /// Buffers that are reused for the next batch.
    batch: Vec<u8>,
    requests: Vec<RequestOffset>,
    next_id: u64,
    /// Whether a thread is writing the queue; other threads then only add to it.
    is_writing: bool,
    is_closed: bool,
    /// Time of the first one-way message since the last received frame.
    one_way_since_us: Option<u64>,
    pinged_us: u64,
    last_sent_us: u64,
}

/// Result of a connection's timer check.
pub(crate) enum TimerCheck {
    /// Check again at this time in microseconds.
    CheckAgain(u64),
    /// The peer was silent for too long while a message waited; close the connection.
    Silent,
    /// The connection was unused for too long; close it.
    Idle,
}

/// An open connection to a peer, shared by all threads of the transport.
pub(crate) struct Connection {
    pub(crate) id: u64,
    pub(crate) peer: NodeId,
    /// Address that was dialled; `None` if the peer dialled.
    pub(crate) dialled: Option<SocketAddr>,
    stream: TcpStream,
    receive_key: [u8; 32],
    state: Mutex<State>,
    last_inbound_us: AtomicU64,
}

impl Connection {
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
        Ok(Connection {
            id,
            peer: session.peer,
            dialled,
            stream,
            receive_key: session.receive_key,
            state: Mutex::new(State {
                send_queue: SendQueue::new(session.send_key, limits.max_queued_bytes),
                pending: HashMap::new(),
                batch: Vec::new(),
                requests: Vec::new(),
                next_id: 0,
                is_writing: false,
                is_closed: false,
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

    /// Bytes that wait to be written; none once the connection is closed.
    pub(crate) fn queued_bytes(&self) -> usize {
        let state = self.state();
        if state.is_closed {
            return 0;
        }
        state.send_queue.queued_bytes()
    }

    /// Queues a message and writes it, unless another thread is writing the queue. Never blocks.
    pub(crate) fn submit(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        outgoing: Outgoing,
    ) -> Result<(), (Outgoing, SendError)> {
        let mut state = self.state();
        if state.is_closed {
            return Err((outgoing, SendError::Closed));
        }
        let now_us = inner.now_us();
        let (kind, id) = match outgoing.purpose {
            Purpose::OneWay => (FrameKind::OneWay, state.next_message_id()),
            Purpose::Request { .. } => (FrameKind::Request, state.next_message_id()),
            Purpose::Reply(id) => (FrameKind::Reply, id),
            Purpose::NoReply(id) => (FrameKind::NoReply, id),
        };
        let (channel, purpose) = (outgoing.channel, outgoing.purpose);
        let message = Message {
            kind,
            channel,
            id,
            payload: outgoing.payload,
        };
        if let Err((message, error)) = state.send_queue.push(message) {
            let outgoing = Outgoing {
                channel,
                payload: message.payload,
                purpose,
            };
            return Err((outgoing, error));
        }
        state.last_sent_us = now_us;
        let ping_us = now_us + inner.limits.ping_after_ms * 1_000;
        match purpose {
            Purpose::Request {
                deadline_us,
                on_reply,
            } => {
                let pending = PendingRequest {
                    on_reply,
                    channel,
                    deadline_us,
                    submitted_us: now_us,
                    is_sent: false,
                };
                state.pending.insert(id, pending);
                inner.timer.wake_at(ping_us.min(deadline_us));
            }
            Purpose::OneWay => {
                state.one_way_since_us.get_or_insert(now_us);
                inner.timer.wake_at(ping_us);
            }
            Purpose::Reply(_) | Purpose::NoReply(_) => {}
        }
        self.write_queued(inner, state);
        Ok(())
    }

    fn send_heartbeat(self: &Arc<Self>, inner: &Arc<Inner>, kind: FrameKind) {
        let mut state = self.state();
        if !state.is_closed {
            state.send_queue.push_heartbeat(kind);
            self.write_queued(inner, state);
        }
    }

    /// Writes batches until the queue is empty, unless another thread already does so.
    fn write_queued<'a>(self: &'a Arc<Self>, inner: &Arc<Inner>, mut state: MutexGuard<'a, State>) {
        if state.is_writing {
            return;
        }
        state.is_writing = true;
        while let Some(batch) = state.next_batch(inner) {
            drop(state);
            let written = self.write_nonblocking(&batch.bytes);
            match written {
                Ok(count) if count == batch.bytes.len() => {
                    state = self.state();
                    state.keep_buffers(batch);
                }
                Ok(count) => return self.write_in_background(inner, batch, count),
                Err(_) => return self.write_failed(&batch, 0),
            }
        }
    }

    /// Writes once without blocking; 0 if the socket buffer is full.
    fn write_nonblocking(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match SockRef::from(&self.stream).send_with_flags(bytes, MSG_DONTWAIT) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(0),
                other => return other,
            }
        }
    }

    /// Writes the rest of a batch in a thread of its own, because a full socket must not block the
    /// sending thread. That may be the reader thread, and two processes whose readers block on
    /// writes to each other would never read again.
    fn write_in_background(self: &Arc<Self>, inner: &Arc<Inner>, batch: Batch, written: usize) {
        let connection = Arc::clone(self);
        let inner = Arc::clone(inner);
        let body = move || connection.write_blocking(&inner, batch, written);
        if spawn("mesh-write", body).is_err() {
            // The batch is lost, so the stream can't continue. Its requests count as sent, since
            // part of them may have arrived.
            self.shut_down();
        }
    }

    /// Writes the rest of a batch and then all further ones, waiting while the socket is full.
    fn write_blocking(&self, inner: &Inner, mut batch: Batch, mut written: usize) {
        let mut deadline = write_deadline(inner);
        loop {
            while written < batch.bytes.len() {
                match (&self.stream).write(&batch.bytes[written..]) {
                    Ok(count) if count > 0 => {
                        written += count;
                        deadline = write_deadline(inner);
                    }
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(error)
                        if error.kind() == io::ErrorKind::WouldBlock
                            && Instant::now() < deadline =>
                    {
                        std::thread::sleep(WRITE_PAUSE);
                    }
                    Ok(_) | Err(_) => return self.write_failed(&batch, written),
                }
            }
            let mut state = self.state();
            state.keep_buffers(batch);
            match state.next_batch(inner) {
                None => return,
                Some(next) => batch = next,
            }
            written = 0;
        }
    }

    /// Closes the connection. Requests that start behind the last written byte count as not sent,
    /// since they certainly did not leave this host.
    fn write_failed(&self, batch: &Batch, written: usize) {
        let mut state = self.state();
        for request in batch.requests.iter().filter(|r| r.start >= written) {
            if let Some(pending) = state.pending.get_mut(&request.id) {
                pending.is_sent = false;
            }
        }
        state.is_closed = true;
        drop(state);
        self.shut_down();
    }

    /// Shuts the socket down; the reader thread then notices the end and runs `close`.
    pub(crate) fn shut_down(&self) {
        self.state().is_closed = true;
        // Fails only if the socket is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes the sending direction once everything queued is written; false until then.
    pub(crate) fn finish_sending(&self) -> bool {
        let mut state = self.state();
        if !state.is_closed && (state.is_writing || !state.send_queue.is_empty()) {
            return false;
        }
        state.is_closed = true;
        let _ = self.stream.shutdown(Shutdown::Write);
        true
    }

    /// Closes the connection and returns the callbacks of its pending requests.
    pub(crate) fn close(&self) -> DueCallbacks {
        self.shut_down();
        let pending = std::mem::take(&mut self.state().pending);
        pending
            .into_values()
            .map(|pending| {
                let error = pending.error();
                (pending.on_reply, error)
            })
            .collect()
    }

    /// Expires requests, sends a ping if the peer is silent, and decides whether to close.
    pub(crate) fn check_timers(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        due: &mut DueCallbacks,
    ) -> TimerCheck {
        let now_us = inner.now_us();
        let limits = &inner.limits;
        let mut state = self.state();
        state.expire(now_us, due);
        let inbound_us = self.last_inbound_us.load(Ordering::Acquire);
        if state.one_way_since_us.is_some_and(|at| at <= inbound_us) {
            state.one_way_since_us = None;
        }
        let oldest = state.pending.values().map(|p| p.submitted_us).min();
        let waiting_us = match (oldest, state.one_way_since_us) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        let Some(waiting_us) = waiting_us else {
            let idle_at_us = inbound_us.max(state.last_sent_us) + limits.idle_timeout_ms * 1_000;
            // The dialler closes unused connections. The acceptor waits twice as long, so that the
            // dialler closes first.
            let idle_at_us = match self.dialled {
                Some(_) => idle_at_us,
                None => inbound_us + 2 * limits.idle_timeout_ms * 1_000,
            };
            if idle_at_us <= now_us && state.send_queue.is_empty() {
                state.is_closed = true;
                return TimerCheck::Idle;
            }
            return TimerCheck::CheckAgain(idle_at_us.max(now_us + limits.ping_after_ms * 1_000));
        };
        let last_sign_us = inbound_us.max(waiting_us);
        // The reader may not have run yet after a pause of this process.
        let silent_since_us = last_sign_us + inner.last_pause.after_us(last_sign_us);
        let close_at_us = silent_since_us + limits.silent_after_ms * 1_000;
        if close_at_us <= now_us {
            return TimerCheck::Silent;
        }
        let ping_at_us = silent_since_us + limits.ping_after_ms * 1_000;
        let is_pinged = state.pinged_us >= silent_since_us;
        let mut next_us = close_at_us;
        if !is_pinged && ping_at_us > now_us {
            next_us = ping_at_us;
        } else if !is_pinged {
            state.pinged_us = now_us;
            drop(state);
            self.send_heartbeat(inner, FrameKind::Ping);
            state = self.state();
        }
        let deadline_us = state.pending.values().map(|p| p.deadline_us).min();
        TimerCheck::CheckAgain(next_us.min(deadline_us.unwrap_or(u64::MAX)))
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads and processes all bytes that have arrived, without blocking.
    pub(crate) fn read_available(
        self: &Arc<Self>,
        inner: &Arc<Inner>,
        receive_state: &mut ReceiveState,
    ) -> ReadStatus {
        loop {
            let length = receive_state.buffer.len();
            receive_state.buffer.resize(length + READ_BYTES, 0);
            let read = read_nonblocking(&self.stream, &mut receive_state.buffer[length..]);
            receive_state
                .buffer
                .truncate(length + read.as_ref().map_or(0, |count| *count));
            match read {
                Ok(0) => {
                    if !receive_state.buffer.is_empty() {
                        increment(&inner.counters.bad_frames);
                        log::warn!(
                            "mesh: peer {} closed the connection inside a frame",
                            self.peer
                        );
                    }
                    return ReadStatus::Closed;
                }
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadStatus::WouldBlock;
                }
                Err(_) => return ReadStatus::Closed,
            }
            let ReceiveState {
                decoder,
                assembler,
                buffer,
            } = receive_state;
            if let Err(error) = self.process_frames(inner, decoder, assembler, buffer) {
                increment(&inner.counters.bad_frames);
                let code = ErrorKind::BadFrame.info().code;
                log::warn!("mesh: connection to {} closed, {code}: {error}", self.peer);
                return ReadStatus::Closed;
            }
        }
    }

    fn process_frames(
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
                    increment(&inner.counters.heartbeats_in);
                    self.send_heartbeat(inner, FrameKind::Pong);
                }
                FrameKind::Pong => increment(&inner.counters.heartbeats_in),
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
            buffer.shrink_to(MAX_KEPT_BUFFER_BYTES);
        }
        Ok(())
    }

    fn deliver(self: &Arc<Self>, inner: &Arc<Inner>, message: Frame) {
        let result = match message.kind {
            FrameKind::Reply => Ok(message.payload),
            FrameKind::NoReply => Err(RequestError::ConnectionLost),
            FrameKind::Request | FrameKind::OneWay => return inner.dispatch(self, message),
            FrameKind::Ping | FrameKind::Pong => return,
        };
        let pending = self.state().pending.remove(&message.id);
        // A reply that arrives after the deadline finds no pending request.
        if let Some(pending) = pending {
            catch_panic(|| (pending.on_reply)(result));
        }
    }
}

/// Receiving side of a connection: decoder, incomplete messages and unprocessed bytes.
pub(crate) struct ReceiveState {
    decoder: FrameDecoder,
    assembler: MessageAssembler,
    buffer: Vec<u8>,
}

impl ReceiveState {
    pub(crate) fn new(inner: &Inner, connection: &Connection) -> Self {
        let limits = &inner.limits;
        ReceiveState {
            decoder: FrameDecoder::new(connection.receive_key),
            assembler: MessageAssembler::new(limits.max_message_bytes, limits.max_queued_bytes),
            buffer: Vec::new(),
        }
    }
}

/// Whether more bytes can arrive on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadStatus {
    WouldBlock,
    Closed,
}

/// Reads once; doesn't block, since the socket is in non-blocking mode.
fn read_nonblocking(mut stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Time at which a write without progress closes the connection.
fn write_deadline(inner: &Inner) -> Instant {
    Instant::now() + Duration::from_millis(inner.limits.write_timeout_ms)
}

/// Encoded frames that are written together, and the requests that start in them.
struct Batch {
    bytes: Vec<u8>,
    requests: Vec<RequestOffset>,
}

impl State {
    fn next_message_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Takes the next batch from the queue; `None` if there is nothing to write, which ends the
    /// writing by this thread.
    fn next_batch(&mut self, inner: &Inner) -> Option<Batch> {
        if self.is_closed || self.send_queue.is_empty() {
            self.is_writing = false;
            return None;
        }
        let mut batch = Batch {
            bytes: std::mem::take(&mut self.batch),
            requests: std::mem::take(&mut self.requests),
        };
        self.send_queue
            .fill_batch(&mut batch.bytes, &mut batch.requests, &inner.counters);
        for request in &batch.requests {
            // Marked before the write, because part of a request may arrive even if the connection
            // ends during the write.
            if let Some(pending) = self.pending.get_mut(&request.id) {
                pending.is_sent = true;
            }
        }
        Some(batch)
    }

    /// Keeps the buffers of a written batch for the next one.
    fn keep_buffers(&mut self, batch: Batch) {
        self.batch = batch.bytes;
        self.batch.clear();
        self.batch.shrink_to(MAX_KEPT_BUFFER_BYTES);
        self.requests = batch.requests;
    }

    fn expire(&mut self, now_us: u64, due: &mut DueCallbacks) {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline_us <= now_us)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(pending) = self.pending.remove(&id) {
                let withdrawn = !pending.is_sent && self.send_queue.withdraw(pending.channel, id);
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
