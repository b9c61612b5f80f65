//! What the core asks the edge to do, and the types by which both refer to connections.
use crate::request_log::RequestLine;
use std::net::SocketAddr;
use walnutline::ids::SessionId;

/// Identifies one TCP connection. Numbers are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An action that the core asks of the edge.
#[derive(Debug, Clone, PartialEq)]
pub enum IoAction {
    /// Open a connection to a server.
    Connect { conn: ConnectionId, address: SocketAddr },
    /// Write bytes to a connection, after those written before.
    Write { conn: ConnectionId, bytes: Vec<u8> },
    /// Send a SETUP if its viewer is still connected. [`crate::core::Node::offered_setup_connections`]
    /// returns the connections of its viewer and its server, [`crate::core::Node::send_setup`] its bytes. If
    /// the server's connection can't take it now, [`crate::core::Node::setup_blocked`] is to be called
    /// instead.
    OfferSetup { id: SessionId, attempt: u32 },
    /// Close a connection, after the writes requested before. The core has forgotten it and ignores any
    /// further input from it.
    Close { conn: ConnectionId },
    /// Close a viewer's connection without open set-ups, unless data is on its way in either direction. The
    /// edge answers with [`crate::core::Node::connection_closed`] or
    /// [`crate::core::Node::connection_in_use`].
    CloseIfIdle { conn: ConnectionId },
    /// Send a datagram to the name service.
    SendListQuery { to: SocketAddr, bytes: Vec<u8> },
    /// Send a datagram to all other front nodes.
    SendPeerReports { to: SocketAddr, bytes: Vec<u8> },
    /// Write a line to the log.
    Log(String),
    /// Write a line about a request to the log; `stopping`: the node has been asked to stop.
    LogRequest { line: RequestLine, stopping: bool },
    /// End the process once all input has been handled and all output is sent, or without waiting for either
    /// with `at_once`.
    Exit { at_once: bool },
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// No process listens at the address.
    Refused,
    /// It was closed by either side, broke, or could not be opened for another reason.
    Closed,
    /// This node lacked a descriptor or memory for it, which says nothing about the peer.
    Unopened,
}
