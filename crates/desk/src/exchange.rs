//! What the live desk is told and what it tells: plain values, free of any socket.
use std::net::SocketAddr;
use std::sync::Arc;
use walnutline::fleet::ListEntry;
use walnutline::ids::{GroupIndex, Ms, ServerId, SessionId, TitleId};

/// Limits of waiting that the operator states, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waits {
    /// For a control connection to open.
    pub connect: Ms,
    /// For the answer to a probe.
    pub probe: Ms,
    /// A connection on which an answer is owed and nothing is heard for so long is closed.
    pub silence: Ms,
    /// Kept of a viewer's patience for the way of the answer.
    pub way_back: Ms,
}

/// A viewer's request that was let in.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    pub group: GroupIndex,
    pub title: TitleId,
    pub holders: Vec<ServerId>,
    /// The title's true rate at each rung, where it is known.
    pub rates: Option<Arc<[f64]>>,
    pub top: u8,
    /// How long the viewer waits from now.
    pub left: Ms,
}

/// One line of the list with the way to the box.
#[derive(Debug, Clone, PartialEq)]
pub struct BoxLine {
    pub listed: ListEntry,
    pub control: SocketAddr,
}

/// Figures of a load report, those that were told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    pub streams: Option<f64>,
    pub link: Option<f64>,
    pub uplink: Option<f64>,
}

/// What a box said.
#[derive(Debug, Clone, PartialEq)]
pub enum FromBox {
    Reply {
        cseq: u32,
        outcome: Outcome,
        report: Report,
    },
    /// The share of their rates that this front's sessions there got.
    Share(f64),
    /// News of the box's load that it gives by itself.
    News(Report),
    /// A session ended, by the name that the box gave it.
    Over {
        session: String,
    },
}

/// What an answer to a message says of it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Done; for a SETUP with the box's name for the session.
    Done {
        session: Option<String>,
    },
    Busy,
    Error,
}

/// What is to be sent to a box. `T` is what the caller keeps with a session.
#[derive(Debug, PartialEq)]
pub enum ToBox<T> {
    Setup { id: SessionId, of: Arc<T>, rung: u8 },
    Probe,
    Rung { session: String, rung: u8 },
    Teardown { session: String },
}

/// The one answer to a viewer's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    Plays { server: ServerId, rung: u8 },
    Busy { come_back: Option<Ms> },
    TornDown,
}

#[derive(Debug, PartialEq)]
pub enum Do<T> {
    Connect { server: ServerId, conn: u64, address: SocketAddr },
    Close { server: ServerId, conn: u64 },
    Send { server: ServerId, conn: u64, cseq: u32, what: ToBox<T> },
    Answer { id: SessionId, of: Arc<T>, answer: Answer },
    Log(String),
}
