//! What the core tells its edge to do, and what connections are called between them.
use std::net::SocketAddr;
use walnutline::ids::SessionId;

/// One TCP connection; numbers are never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

#[derive(Debug, Clone, PartialEq)]
pub enum IoAction {
    Connect {
        conn: ConnectionId,
        address: SocketAddr,
    },
    Write {
        conn: ConnectionId,
        bytes: Vec<u8>,
    },
    /// A SETUP may go out, if its viewer is still there. [`crate::core::Node::offered_setup_connections`] tells whose it is and
    /// where it goes by then, [`crate::core::Node::send_setup`] makes it, and
    /// [`crate::core::Node::setup_blocked`] is told that the connection takes nothing now.
    OfferSetup {
        id: SessionId,
        attempt: u32,
    },
    /// After what was written; nothing more of it is told or taken.
    Close {
        conn: ConnectionId,
    },
    /// A viewer's connection on which nothing is open may be closed, if nothing more of it is on its way in
    /// or out: answered by [`crate::core::Node::connection_closed`] or by [`crate::core::Node::connection_in_use`].
    CloseIfIdle {
        conn: ConnectionId,
    },
    /// A datagram to the name service.
    SendListQuery {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A datagram to all other front nodes.
    SendPeerReports {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Log(String),
    /// The process may end once what came in has been heard and what was written has gone out; `at_once`: as
    /// it is.
    Exit {
        at_once: bool,
    },
}

/// How a connection came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Nobody listens there.
    Refused,
    Closed,
    /// There was no descriptor for it, or no memory: that tells nothing of the peer.
    Unopened,
}
