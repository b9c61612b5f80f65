//! Plain values that the decision calls take and return.
use crate::ids::{CellId, GroupIndex, Ms, ServerId, SessionId, TitleId};
use std::sync::Arc;

/// What to do with a session now.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// Send a SETUP to this server, and wait no longer than `timeout` for the answer.
    Setup { server: ServerId, rung: u8, timeout: Ms },
    /// Hold the session and ask again when it is due.
    NotYet,
    /// Answer the viewer that no server has room, with the time to wait before it tries again.
    BusyReply { retry_after: Option<Ms> },
    /// Answer the viewer that the session is torn down: a SETUP may have run and must not be repeated.
    TornDown,
    /// Nothing to do: the session plays, or it is over.
    NoAction,
}

/// How a SETUP, the session that resulted from it, or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SetupOutcome {
    /// As intended: a session came to its end, or a probe was answered.
    Done,
    /// The server answered with an error.
    Errored,
    /// The server answered that it is busy.
    BusyReplied,
    /// No answer within the time-out.
    TimedOut,
    /// No connection to the server could be opened.
    NoConnection,
    /// The connection or the session broke off.
    Broken,
    /// The viewer left.
    Withdrawn,
    /// The server certainly did not run the SETUP, and the reason is not a lack of a connection.
    NeverSent,
}

impl SetupOutcome {
    /// Whether this proves that the SETUP had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, SetupOutcome::BusyReplied | SetupOutcome::NoConnection | SetupOutcome::NeverSent)
    }
}

/// Most server reports that fit into one message between fronts.
pub const PEER_REPORTS_PER_MESSAGE: usize = 36;

/// The state of a server as one front reports it to the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerReport {
    pub server: ServerId,
    /// Streams that run or are being set up, as a share of the server's maximum.
    pub stream_use: f64,
    /// Demand on the server's link as a share of its capacity.
    pub link_use: f64,
    /// Time since the server reported this.
    pub age: Ms,
    /// For how long the server's current process is known to have existed.
    pub process_age: Ms,
}

/// Everything that is due now, and when to ask again.
#[derive(Debug, Default, PartialEq)]
pub struct DueActions {
    /// Sessions whose rung changes, with the new rung.
    pub rung_changes: Vec<(SessionId, u8)>,
    /// Servers to probe.
    pub probes: Vec<ServerId>,
    /// Whether to request the server list, or a watch of its changes.
    pub request_list: bool,
    /// Held sessions that are to be placed now.
    pub sessions_to_place: Vec<SessionId>,
    /// Reports to send to all other fronts in one message.
    pub peer_reports: Vec<PeerReport>,
    pub log_lines: Vec<String>,
    /// When to ask again, at the latest.
    pub next_call_at: Ms,
}

/// The servers that hold a title, as the request states them. Both forms lead to the same choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Holders {
    /// The servers in `count` consecutive cells from `first`, which wrap around.
    Cells { first: CellId, count: u32 },
    /// Servers by id, ascending and without duplicates: see [`Holders::named`].
    Named(Arc<[ServerId]>),
}

impl Holders {
    /// Holders by id, in any order; duplicates are dropped.
    pub fn named(mut ids: Vec<ServerId>) -> Holders {
        ids.sort_unstable();
        ids.dedup();
        Holders::Named(ids.into())
    }
}

/// A viewer's request for a session.
#[derive(Debug, Clone)]
pub struct Request {
    pub group: GroupIndex,
    pub title: TitleId,
    pub holders: Holders,
    /// The title's real rate at each rung, where it is known; else the ladder's rates apply.
    pub rates_kb_per_s: Option<Arc<[f64]>>,
    /// Highest rung that the viewer can use.
    pub highest_rung: u8,
    /// Time until the viewer gives up.
    pub time_left: Ms,
}
