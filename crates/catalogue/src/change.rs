//! What may change in a catalogue, and why a batch of changes is refused. A batch is applied whole or not at all.
use walnutline::ids::{RackNo, ServerId};

/// All that is known of a title.
#[derive(Debug, Clone, PartialEq)]
pub struct Title {
    pub name: String,
    /// Its true rate at each rung of the ladder, in kB a second, ascending.
    pub rates: Vec<f32>,
    /// Service groups that may play it, as bits by their position.
    pub group_mask: u32,
    /// Its length in milliseconds.
    pub duration_ms: u32,
    /// Boxes that hold it, ascending.
    pub holders: Vec<ServerId>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A title is new, or is told whole anew.
    PutTitle(Title),
    RemoveTitle {
        name: String,
    },
    AddHolder {
        name: String,
        server: ServerId,
    },
    RemoveHolder {
        name: String,
        server: ServerId,
    },
    MoveHolder {
        name: String,
        from: ServerId,
        to: ServerId,
    },
    SetRates {
        name: String,
        rates: Vec<f32>,
    },
    /// A box is away: its titles are out of reach there until it is back. What it holds stays known.
    ServerGone(ServerId),
    ServerBack(ServerId),
    /// A box stands in a rack.
    SetRack {
        server: ServerId,
        rack: RackNo,
    },
}

/// A change with its place in the stream: numbers grow by one.
#[derive(Debug, Clone, PartialEq)]
pub struct NumberedChange {
    pub number: u64,
    pub change: Change,
}

#[derive(Debug, Clone, PartialEq)]
pub enum ApplyError {
    /// Changes between these are missing: the stream is to be resumed after `have`.
    Gap { have: u64, got: u64 },
    /// A change does not fit what is known, so something was missed unseen: a whole catalogue is wanted.
    Conflict { number: u64, reason: String },
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ApplyError::Gap { have, got } => write!(f, "change {got} came after change {have}"),
            ApplyError::Conflict { number, reason } => write!(f, "change {number}: {reason}"),
        }
    }
}
