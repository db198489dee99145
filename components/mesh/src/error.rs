//! Errors of the transport.

use snafu::Snafu;
use std::{io, net::SocketAddr};

/// The transport could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeshError {
    /// The deployment key is empty.
    #[snafu(display("the deployment key is empty; set GYARD_MESH_KEY or --mesh-key-file"))]
    EmptyKey,
    /// The listen address is not usable.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address that the transport should listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("a transport thread can't be started: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Why a message was not accepted for sending; nothing of it left this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// The message is over the size limit.
    #[snafu(display("the message is over the size limit"))]
    TooLarge,
    /// Too many bytes are waiting for that peer.
    #[snafu(display("the queue of the connection is full"))]
    QueueFull,
    /// The connection is closed, or no thread could be started to open one.
    #[snafu(display("the connection is closed"))]
    Closed,
    /// The datagram could not be sent.
    #[snafu(display("the datagram could not be sent"))]
    Datagram,
    /// The transport is stopping or has stopped.
    #[snafu(display("the transport is stopped"))]
    Stopped,
}

/// Why a request has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// The request was not sent; no byte of it left this host.
    #[snafu(display("the request was not sent"))]
    NotSent,
    /// The connection ended before the reply. The request may have arrived.
    #[snafu(display("the request may have arrived and its connection is lost"))]
    ConnectionLost,
    /// No reply came before the deadline, though the connection still works. The request may have
    /// arrived.
    #[snafu(display("the request may have arrived and has no reply"))]
    TimedOut,
}
