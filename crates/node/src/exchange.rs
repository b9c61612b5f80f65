//! What the core tells its edge to do, and what connections are called between them.
use std::net::SocketAddr;

/// One TCP connection; numbers are never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

#[derive(Debug, Clone, PartialEq)]
pub enum Do {
    Connect {
        conn: ConnId,
        address: SocketAddr,
    },
    Write {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    /// After what was written; nothing more of it is told or taken.
    Close {
        conn: ConnId,
    },
    /// A datagram to the name service.
    Query {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A datagram to all other front nodes.
    Tell {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Log(String),
    Exit,
}

/// How a connection came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Nobody listens there.
    Refused,
    Closed,
}
