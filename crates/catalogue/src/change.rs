//! Changes to a catalogue, and why a batch of them is rejected. A batch is applied as a whole or not at all.
use walnutline::ids::{RackId, ServerId};

/// A title as the catalogue lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Title {
    /// Its name, which is unique in the catalogue.
    pub name: String,
    /// True rate at each rung of the ladder, in kB/s, ascending.
    pub rates: Vec<f32>,
    /// Service groups that may play the title: bit `n` stands for
    /// [`Version::groups`](crate::version::Version::groups)`[n]`.
    pub group_mask: u32,
    /// Duration in milliseconds.
    pub duration_ms: u32,
    /// Boxes that hold the title, in ascending order.
    pub holders: Vec<ServerId>,
}

/// One change to a catalogue.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Adds a title, or replaces the title of that name.
    PutTitle(Title),
    /// Removes a title.
    RemoveTitle { name: String },
    /// Adds a box to the holders of a title.
    AddHolder { name: String, server: ServerId },
    /// Removes a box from the holders of a title.
    RemoveHolder { name: String, server: ServerId },
    /// Replaces one holder of a title by another box.
    MoveHolder { name: String, from: ServerId, to: ServerId },
    /// Replaces the rates of a title, in kB/s.
    SetRates { name: String, rates: Vec<f32> },
    /// Marks a box as gone: it serves no title until it is back. The list of titles on it is kept.
    ServerGone(ServerId),
    /// Marks a box as available again.
    ServerBack(ServerId),
    /// Sets the rack that a box is in.
    SetRack { server: ServerId, rack: RackId },
}

/// A change with its sequence number in the change feed. Numbers are consecutive.
#[derive(Debug, Clone, PartialEq)]
pub struct NumberedChange {
    pub number: u64,
    pub change: Change,
}

/// Why a batch of changes was rejected.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyError {
    /// Changes between `have` and `got` are missing: the feed should be resumed after `have`.
    Gap { have: u64, got: u64 },
    /// A change contradicts the catalogue, so an earlier one was lost unnoticed: a new snapshot is needed.
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
