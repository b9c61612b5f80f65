//! What may change in a catalogue, and why a batch of changes is refused. A batch is applied whole or not at all.
use walnutline::ids::{RackId, ServerId};

/// All that is known of a title.
#[derive(Debug, Clone, PartialEq)]
pub struct Title {
    pub name: String,
    /// Its true rate at each rung of the ladder, in kB a second, ascending.
    pub rates: Vec<f32>,
    /// Service groups that may play it, as bits by their position.
    pub groups: u32,
    /// Its length in milliseconds.
    pub length: u32,
    /// Boxes that hold it, ascending.
    pub holders: Vec<ServerId>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A title is new, or is told whole anew.
    Put(Title),
    Drop {
        name: String,
    },
    AddHolder {
        name: String,
        server: ServerId,
    },
    DropHolder {
        name: String,
        server: ServerId,
    },
    MoveHolder {
        name: String,
        from: ServerId,
        to: ServerId,
    },
    Rates {
        name: String,
        rates: Vec<f32>,
    },
    /// A box is away: its titles are out of reach there until it is back. What it holds stays known.
    Gone(ServerId),
    Back(ServerId),
    /// A box stands in a rack.
    Stands {
        server: ServerId,
        rack: RackId,
    },
}

/// A change with its place in the stream: numbers grow by one.
#[derive(Debug, Clone, PartialEq)]
pub struct Numbered {
    pub number: u64,
    pub change: Change,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Changes between these are missing: the stream is to be resumed after `have`.
    Gap { have: u64, got: u64 },
    /// A change does not fit what is known, so something was missed unseen: a whole catalogue is wanted.
    Conflict { number: u64, why: String },
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Fault::Gap { have, got } => write!(f, "change {got} came after change {have}"),
            Fault::Conflict { number, why } => write!(f, "change {number}: {why}"),
        }
    }
}
