//! Choice of a connection for a call, and sending it.

use super::{
    Inner, State,
    connection::{Connection, PendingCall, spawn_remaining_write},
    lock, spawn,
};
use crate::{
    pool::connect,
    socket::{Peeked, peek, send_now},
};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

impl State {
    /// Marks the most recently used idle connection that is suitable as busy and returns it.
    fn take_idle(&mut self, is_suitable: impl Fn(&Connection) -> bool) -> Option<Arc<Connection>> {
        let index = self
            .idle
            .iter()
            .rposition(|(connection, _)| is_suitable(connection))?;
        let (connection, _) = self.idle.remove(index);
        self.busy.insert(connection.id, Arc::clone(&connection));
        Some(connection)
    }
}

impl Inner {
    /// Sends the call on an idle connection, or opens one, or queues the call.
    pub(super) fn dispatch(self: &Arc<Self>, call: PendingCall) {
        if let Err((call, state)) = self.send_on_idle(call, |_| true) {
            self.open_or_queue(call, state);
        }
    }

    /// Sends the call on an idle connection that was opened before `opened_before`, if there is one.
    pub(super) fn dispatch_over_older(self: &Arc<Self>, call: PendingCall, opened_before: Instant) {
        let is_older = |connection: &Connection| connection.opened < opened_before;
        if let Err((call, state)) = self.send_on_idle(call, is_older) {
            drop(state);
            call.fail_unsent();
        }
    }

    /// Sends the call on a suitable idle connection; returns it if there is none, with the state
    /// still locked.
    fn send_on_idle<'a>(
        self: &'a Arc<Self>,
        mut call: PendingCall,
        is_suitable: impl Fn(&Connection) -> bool,
    ) -> Result<(), (PendingCall, MutexGuard<'a, State>)> {
        loop {
            let mut state = lock(&self.state);
            let Some(connection) = state.take_idle(&is_suitable) else {
                return Err((call, state));
            };
            drop(state);
            match self.try_send_on(&connection, call) {
                Ok(()) => return Ok(()),
                Err(unsent) => call = unsent,
            }
        }
    }

    /// Opens a connection for the call, or queues it if too many are open.
    fn open_or_queue(self: &Arc<Self>, call: PendingCall, mut state: MutexGuard<'_, State>) {
        if state.open_count >= self.config.max_connections {
            self.timer.wake_at(call.deadline);
            state.waiting.push_back(call);
            return;
        }
        state.open_count += 1;
        drop(state);
        // Shared with the thread, because a closure is dropped if its thread can't be started.
        let handover = Arc::new(Mutex::new(Some(call)));
        let (inner, thread_handover) = (Arc::clone(self), Arc::clone(&handover));
        let spawned = spawn(move || {
            if let Some(call) = lock(&thread_handover).take() {
                inner.connect_and_serve(call);
            }
        });
        if spawned.is_err() {
            lock(&self.state).open_count -= 1;
            if let Some(call) = lock(&handover).take() {
                call.fail_unsent();
            }
        }
    }

    /// Sends the call on the connection; returns it if certainly none of its bytes were sent.
    ///
    /// A call whose repeated value was used on this connection before is not sent: a late copy of
    /// the earlier response would pass for its own.
    fn try_send_on(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        mut call: PendingCall,
    ) -> Result<(), PendingCall> {
        // Held during the write, so that the connection's thread doesn't see a half-written call.
        let mut state = connection.state();
        let is_usable = !state.is_closed
            && !state.history.contains(call.echo)
            && peek(&connection.stream) == Peeked::Quiet;
        if !is_usable {
            drop(state);
            connection.shut_down();
            return Err(call);
        }
        if !call.cancel.bind(&connection.stream) {
            drop(state);
            self.discard(connection);
            call.fail_unsent();
            return Ok(());
        }
        let Ok(written) = send_now(&connection.stream, &call.request_bytes) else {
            call.cancel.release();
            drop(state);
            connection.shut_down();
            return Err(call);
        };
        let (request_bytes, deadline) = (std::mem::take(&mut call.request_bytes), call.deadline);
        state.call = Some(call);
        state.is_writing = written < request_bytes.len();
        drop(state);
        // Requested only now: an earlier wake-up would find no call on the connection.
        self.timer.wake_at(deadline);
        if written < request_bytes.len() {
            spawn_remaining_write(connection, request_bytes, written, deadline);
        }
        Ok(())
    }

    /// Closes a connection that was taken for a call which then was not sent.
    fn discard(&self, connection: &Connection) {
        lock(&self.state).busy.remove(&connection.id);
        connection.shut_down();
    }

    /// Body of a connection's thread: connects, sends the first call and reads responses.
    fn connect_and_serve(self: &Arc<Self>, call: PendingCall) {
        let stream = match connect(&self.config, call.deadline) {
            Ok(stream) if !call.is_abandoned() => Arc::new(stream),
            _ => {
                self.release_slot();
                return call.fail_unsent();
            }
        };
        let connection = {
            let mut state = lock(&self.state);
            state.opened_count += 1;
            state.next_id += 1;
            let connection = Arc::new(Connection::new(state.next_id, stream));
            state.busy.insert(connection.id, Arc::clone(&connection));
            connection
        };
        if let Err(call) = self.try_send_on(&connection, call) {
            self.end_connection(&connection);
            return call.fail_unsent();
        }
        self.read_responses(&connection);
        self.end_connection(&connection);
    }

    /// Forgets a connection whose thread ends.
    fn end_connection(self: &Arc<Self>, connection: &Connection) {
        lock(&self.state).busy.remove(&connection.id);
        self.release_slot();
    }

    /// Frees the slot of a closed connection for a queued call.
    fn release_slot(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        state.open_count -= 1;
        let next = state.waiting.pop_front();
        drop(state);
        if let Some(call) = next {
            self.dispatch(call);
        }
    }

    /// Returns the connection to the pool, or sends a queued call on it. Happens before the
    /// callback runs, since that may start the next call.
    pub(super) fn release(self: &Arc<Self>, connection: &Arc<Connection>) {
        let mut state = lock(&self.state);
        while let Some(call) = state.waiting.pop_front() {
            drop(state);
            if call.is_abandoned() {
                call.fail_unsent();
            } else {
                match self.try_send_on(connection, call) {
                    Ok(()) => return,
                    Err(call) => return lock(&self.state).waiting.push_front(call),
                }
            }
            state = lock(&self.state);
        }
        state.busy.remove(&connection.id);
        if state.is_closed {
            connection.shut_down();
            return;
        }
        let now = Instant::now();
        state.idle.push((Arc::clone(connection), now));
        drop(state);
        self.timer.wake_at(now + self.idle_timeout());
    }
}
