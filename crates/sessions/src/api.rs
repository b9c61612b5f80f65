//! The values that go into and come out of the session manager. They hold no sockets.
use std::net::SocketAddr;
use std::sync::Arc;
use walnutline::fleet::ListEntry;
use walnutline::ids::{GroupIndex, Ms, ServerId, SessionId, TitleId};

/// Time-outs that the operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timeouts {
    /// For a control connection to open.
    pub connect: Ms,
    /// For the answer to a probe.
    pub probe: Ms,
    /// A connection with unanswered messages is closed when nothing is received on it for this long.
    pub max_silence: Ms,
    /// Part of a viewer's waiting time that is reserved for delivering the answer.
    pub answer_margin: Ms,
}

/// A viewer's request that was admitted.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionRequest {
    /// Service group of the request.
    pub group: GroupIndex,
    /// The title to play.
    pub title: TitleId,
    /// Boxes that hold the title.
    pub holders: Vec<ServerId>,
    /// The title's actual rate at each rung, where it is known.
    pub rates_kb_per_s: Option<Arc<[f64]>>,
    /// The highest rung that the viewer can use.
    pub highest_rung: u8,
    /// How long the viewer waits from now.
    pub time_left: Ms,
}

/// An entry of the server list with the address of the box's control connection.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEndpoint {
    /// The entry as the decisions use it.
    pub entry: ListEntry,
    /// Where the box accepts control connections.
    pub control_address: SocketAddr,
}

/// Load of a box; values that it did not report are `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Streams that the box runs or sets up.
    pub streams: Option<f64>,
    /// Demand on the box's link as a share of its capacity.
    pub link_use: Option<f64>,
    /// Demand on the rack's uplink as a share of its capacity.
    pub uplink_use: Option<f64>,
}

/// A message from a box.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerMessage {
    /// The answer to the request with this number.
    Response { cseq: u32, status: ResponseStatus, report: LoadReport },
    /// The share of their rates that this front's sessions on the box were delivered.
    DeliveredShare(f64),
    /// A load report that the box sends without being asked.
    LoadReport(LoadReport),
    /// A session ended; `session` is the box's name for it.
    SessionEnded { session: String },
}

/// The result that a response states.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponseStatus {
    /// The request was carried out; for a SETUP with the box's name for the session.
    Success { session: Option<String> },
    /// The box has no room.
    Busy,
    /// The box refused the request or failed.
    Error,
}

/// A request to a box. `T` is the context that the caller keeps with a session.
#[derive(Debug, PartialEq)]
pub enum ServerRequest<T> {
    /// Set up a session at a rung.
    Setup { id: SessionId, context: Arc<T>, rung: u8 },
    /// Report the load.
    Probe,
    /// Change the rung of a session, by the box's name for it.
    SetRung { session: String, rung: u8 },
    /// End a session, by the box's name for it.
    Teardown { session: String },
}

/// The one answer to a viewer's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// The session plays at a server.
    Playing { server: ServerId, rung: u8 },
    /// No server has room; the viewer may retry after the given time.
    Busy { retry_after: Option<Ms> },
    /// Setting up failed, and a SETUP may have taken effect: the session must not be set up elsewhere.
    TornDown,
}

/// An input or output operation for the caller. `T` is the context that the caller keeps with a session.
#[derive(Debug, PartialEq)]
pub enum IoAction<T> {
    /// Open a control connection and report the result under the number `conn`.
    Connect { server: ServerId, conn: u64, address: SocketAddr },
    /// Close a control connection.
    Close { server: ServerId, conn: u64 },
    /// Send a request under the sequence number `cseq`.
    Send { server: ServerId, conn: u64, cseq: u32, request: ServerRequest<T> },
    /// Answer a viewer.
    Answer { id: SessionId, context: Arc<T>, answer: Answer },
    /// Write a line to the log.
    Log(String),
}
