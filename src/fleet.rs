//! What a front holds of the servers: one record each, and one for each rack's uplink.
use crate::ids::{CellId, KindIndex, Ms, RackId, ServerId, ZoneIndex};
use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
}

/// What sessions share: the link of a server, or the uplink of a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharedLink {
    Link(ServerId),
    Uplink(RackId),
}

/// The form in log lines, which operators' tools match.
impl fmt::Display for SharedLink {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SharedLink::Link(id) => write!(f, "Link(ServerId({}))", id.0),
            SharedLink::Uplink(id) => write!(f, "Uplink(RackNo({}))", id.0),
        }
    }
}

/// One line of the list, as it was told.
#[derive(Debug, Clone, PartialEq)]
pub struct ListEntry {
    pub id: ServerId,
    pub zone: ZoneIndex,
    pub kind: KindIndex,
    pub cell: CellId,
    pub state: ServerState,
    pub weight: f64,
    /// Start of the process, where it was not long ago.
    pub started_at: Option<Ms>,
}

/// A figure that was heard, with the front's own part of it at that moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    pub value: f64,
    pub measured_at: Ms,
    pub own_load: f64,
}

#[derive(Debug, Clone)]
pub struct Server {
    pub entry: ListEntry,
    /// The largest weight that was listed of it.
    pub largest_weight: f64,
    /// What is asked of the link over what it gives.
    pub link_use: Option<Measurement>,
    /// Streams that it runs or sets up.
    pub streams: Option<Measurement>,
    /// Failures in a row, and until when it is set aside for them.
    pub failures: u32,
    pub excluded_until: Ms,
    /// When it last answered this front with a report.
    pub last_report_at: Ms,
    /// Its last failure.
    pub last_failure_at: Ms,
    /// Until when a busy reply of it counts.
    pub busy_until: Ms,
    /// When its death was witnessed, and when it answered after that.
    pub died_at: Option<Ms>,
    pub recovered_at: Option<Ms>,
    /// SETUPs sent while it was cold.
    pub recent_setups: Vec<Ms>,
    /// When the next probe is due, once that is settled.
    pub next_probe_at: Option<Ms>,
    /// This front's part of the room that was heard of, as far as it is not yet used.
    pub spare_kb_per_s: f64,
    /// Sessions there were stepped down; what is heard before this tells of the time before.
    pub ignore_reports_until: Ms,
}

impl Server {
    pub fn new(listed: ListEntry) -> Self {
        Server {
            largest_weight: listed.weight,
            entry: listed,
            link_use: None,
            streams: None,
            failures: 0,
            excluded_until: Ms::NEG_INFINITY,
            last_report_at: Ms::NEG_INFINITY,
            last_failure_at: Ms::NEG_INFINITY,
            busy_until: Ms::NEG_INFINITY,
            died_at: None,
            recovered_at: None,
            recent_setups: Vec::new(),
            next_probe_at: None,
            spare_kb_per_s: 0.0,
            ignore_reports_until: Ms::NEG_INFINITY,
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct Rack {
    /// What is asked of the uplink over what it gives.
    pub uplink_use: Option<Measurement>,
    pub ignore_reports_until: Ms,
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub servers: BTreeMap<ServerId, Server>,
    pub racks: BTreeMap<RackId, Rack>,
}

impl Fleet {
    /// What was last heard of a line, and until when news of it is left out; `None` for an unknown server.
    pub fn link_state_mut(&mut self, line: SharedLink) -> Option<(&mut Option<Measurement>, &mut Ms)> {
        match line {
            SharedLink::Link(id) => {
                self.servers.get_mut(&id).map(|s| (&mut s.link_use, &mut s.ignore_reports_until))
            }
            SharedLink::Uplink(no) => {
                let rack = self.racks.entry(no).or_default();
                Some((&mut rack.uplink_use, &mut rack.ignore_reports_until))
            }
        }
    }
}
