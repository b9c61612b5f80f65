//! What the live desk is told and what it tells: plain values, free of any socket.
use std::net::SocketAddr;
use std::sync::Arc;
use walnutline::fleet::ListEntry;
use walnutline::ids::{GroupIndex, Ms, ServerId, SessionId, TitleId};

/// Limits of waiting that the operator states, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timeouts {
    /// For a control connection to open.
    pub connect: Ms,
    /// For the answer to a probe.
    pub probe: Ms,
    /// A connection on which an answer is owed and nothing is heard for so long is closed.
    pub max_silence: Ms,
    /// Kept of a viewer's patience for the way of the answer.
    pub answer_margin: Ms,
}

/// A viewer's request that was let in.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionRequest {
    pub group: GroupIndex,
    pub title: TitleId,
    pub holders: Vec<ServerId>,
    /// The title's true rate at each rung, where it is known.
    pub rates_kb_per_s: Option<Arc<[f64]>>,
    pub highest_rung: u8,
    /// How long the viewer waits from now.
    pub time_left: Ms,
}

/// One line of the list with the way to the box.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEndpoint {
    pub entry: ListEntry,
    pub control_address: SocketAddr,
}

/// Figures of a load report, those that were told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    pub streams: Option<f64>,
    pub link_use: Option<f64>,
    pub uplink_use: Option<f64>,
}

/// What a box said.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerMessage {
    Response {
        cseq: u32,
        status: ResponseStatus,
        report: LoadReport,
    },
    /// The share of their rates that this front's sessions there got.
    DeliveredShare(f64),
    /// News of the box's load that it gives by itself.
    LoadReport(LoadReport),
    /// A session ended, by the name that the box gave it.
    SessionEnded {
        session: String,
    },
}

/// What an answer to a message says of it.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponseStatus {
    /// Done; for a SETUP with the box's name for the session.
    Success {
        session: Option<String>,
    },
    Busy,
    Error,
}

/// What is to be sent to a box. `T` is what the caller keeps with a session.
#[derive(Debug, PartialEq)]
pub enum ServerRequest<T> {
    Setup { id: SessionId, context: Arc<T>, rung: u8 },
    Probe,
    SetRung { session: String, rung: u8 },
    Teardown { session: String },
}

/// The one answer to a viewer's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    Playing { server: ServerId, rung: u8 },
    Busy { retry_after: Option<Ms> },
    TornDown,
}

#[derive(Debug, PartialEq)]
pub enum IoAction<T> {
    Connect { server: ServerId, conn: u64, address: SocketAddr },
    Close { server: ServerId, conn: u64 },
    Send { server: ServerId, conn: u64, cseq: u32, request: ServerRequest<T> },
    Answer { id: SessionId, context: Arc<T>, answer: Answer },
    Log(String),
}
