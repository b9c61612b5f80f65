//! What a front holds of the servers: one record each, and one for each rack's uplink.
use crate::ids::{CellNo, KindNo, Ms, RackNo, ServerId, ZoneNo};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    Ready,
    Draining,
    Gone,
}

/// What sessions share: the link of a server, or the uplink of a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    Link(ServerId),
    Uplink(RackNo),
}

/// One line of the list, as it was told.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    pub id: ServerId,
    pub zone: ZoneNo,
    pub kind: KindNo,
    pub cell: CellNo,
    pub listing: Listing,
    pub weight: f64,
    /// Start of the process, where it was not long ago.
    pub started: Option<Ms>,
}

/// A figure that was heard, with the front's own part of it at that moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    pub value: f64,
    pub at: Ms,
    pub own: f64,
}

#[derive(Debug, Clone)]
pub struct Server {
    pub listed: Listed,
    /// The largest weight that was listed of it.
    pub largest: f64,
    /// What is asked of the link over what it gives.
    pub link: Option<Seen>,
    /// Streams that it runs or sets up.
    pub streams: Option<Seen>,
    /// Failures in a row, and until when it is set aside for them.
    pub fails: u32,
    pub aside_until: Ms,
    /// When it last answered this front with a report.
    pub reported: Ms,
    /// Its last failure.
    pub failed: Ms,
    /// Until when a busy reply of it counts.
    pub busy_until: Ms,
    /// When its death was witnessed, and when it answered after that.
    pub died: Option<Ms>,
    pub back: Option<Ms>,
    /// SETUPs sent while it was cold.
    pub sent_cold: Vec<Ms>,
    /// When the next probe is due, once that is settled.
    pub probe_at: Option<Ms>,
    /// This front's part of the room that was heard of, as far as it is not yet used.
    pub room_kb: f64,
    /// Sessions there were stepped down; what is heard before this tells of the time before.
    pub settled_at: Ms,
}

impl Server {
    pub fn new(listed: Listed) -> Self {
        Server {
            largest: listed.weight,
            listed,
            link: None,
            streams: None,
            fails: 0,
            aside_until: Ms::NEG_INFINITY,
            reported: Ms::NEG_INFINITY,
            failed: Ms::NEG_INFINITY,
            busy_until: Ms::NEG_INFINITY,
            died: None,
            back: None,
            sent_cold: Vec::new(),
            probe_at: None,
            room_kb: 0.0,
            settled_at: Ms::NEG_INFINITY,
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct Rack {
    /// What is asked of the uplink over what it gives.
    pub uplink: Option<Seen>,
    pub settled_at: Ms,
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub servers: BTreeMap<ServerId, Server>,
    pub racks: BTreeMap<RackNo, Rack>,
}

impl Fleet {
    /// What was last heard of a line, and until when news of it is left out; `None` for an unknown server.
    pub fn line(&mut self, line: Line) -> Option<(&mut Option<Seen>, &mut Ms)> {
        match line {
            Line::Link(id) => self.servers.get_mut(&id).map(|s| (&mut s.link, &mut s.settled_at)),
            Line::Uplink(no) => {
                let rack = self.racks.entry(no).or_default();
                Some((&mut rack.uplink, &mut rack.settled_at))
            }
        }
    }
}
