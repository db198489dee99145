//! Stopping of the transport.

use super::Inner;
use crate::{connection::Outgoing, peer::Peer};
use std::{
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream},
    sync::{Arc, PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

impl Inner {
    pub(crate) fn stop(&self) {
        if self.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        self.stop_listening();
        *self.udp.write().unwrap_or_else(PoisonError::into_inner) = None;
        self.timer.wake_at(0);
        self.fail_waiting();
        let deadline = Instant::now() + Duration::from_millis(self.limits.stop_grace_ms);
        let (dialled, accepted): (Vec<_>, Vec<_>) = self
            .open_connections()
            .into_iter()
            .partition(|connection| connection.dialled.is_some());
        for connection in &dialled {
            self.close(connection);
        }
        // Closing a socket with unread bytes resets the connection, which can discard the last
        // replies. So only the sending direction is closed, and the peers close first.
        for connection in &accepted {
            while !connection.finish_sending() && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        self.wait_for_connections(deadline);
        let left = self.open_connections();
        left.iter().for_each(|connection| self.close(connection));
        self.reader.wake();
    }

    /// Fails the messages that wait for a connection.
    fn fail_waiting(&self) {
        let peers: Vec<Arc<Peer>> = self.peers().values().cloned().collect();
        for peer in peers {
            let waiting = peer.take_waiting();
            waiting.into_iter().for_each(Outgoing::fail_not_sent);
        }
    }

    fn wait_for_connections(&self, deadline: Instant) {
        let mut connections = self.connections();
        while !connections.is_empty() {
            let wait = deadline.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return;
            }
            connections = self
                .connection_closed
                .wait_timeout(connections, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Ends the threads that block on the listen address by sending it a datagram and a connection.
    fn stop_listening(&self) {
        let ip = match self.bound_address.ip() {
            IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
            IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
            ip => ip,
        };
        let address = SocketAddr::new(ip, self.bound_address.port());
        // Failures are ignored: the threads are then busy and see the stop flag anyway.
        if let Some(udp) = self.udp() {
            let _ = udp.send_to(&[], address);
        }
        let _ = TcpStream::connect_timeout(&address, Duration::from_secs(1));
        self.join_threads();
    }

    /// Waits for the threads that listen, unless one of them runs this.
    fn join_threads(&self) {
        let threads =
            std::mem::take(&mut *self.threads.lock().unwrap_or_else(PoisonError::into_inner));
        let own = std::thread::current().id();
        for thread in threads.into_iter().filter(|t| t.thread().id() != own) {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}
