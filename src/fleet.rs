//! What a front knows of the servers: a record for each, and one for the uplink of each rack.
use crate::ids::{CellId, KindIndex, Ms, RackId, ServerId, ZoneIndex};
use std::collections::BTreeMap;
use std::fmt;

/// State of a server in the list. Only ready servers get new sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    /// Its sessions play on.
    Draining,
    /// No longer in the list.
    Gone,
}

/// A link that sessions share: that of a server, or the uplink of a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharedLink {
    /// The link of a server.
    Link(ServerId),
    /// The uplink of a rack.
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

/// One entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListEntry {
    pub id: ServerId,
    pub zone: ZoneIndex,
    pub kind: KindIndex,
    pub cell: CellId,
    pub state: ServerState,
    /// See [`WeightKind`](crate::settings::WeightKind) for its meaning.
    pub weight: f64,
    /// When the server's process started, if that is recent.
    pub started_at: Option<Ms>,
}

/// A reported value, with the front's own load at the time of the report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    pub value: f64,
    pub measured_at: Ms,
    /// In streams for a number of streams, in kB a second for the use of a link.
    pub own_load: f64,
}

/// What a front knows of one server.
#[derive(Debug, Clone)]
pub struct Server {
    pub entry: ListEntry,
    /// The largest weight listed so far.
    pub largest_weight: f64,
    /// Demand on the link as a share of its capacity.
    pub link_use: Option<Measurement>,
    /// Streams that run or are being set up.
    pub streams: Option<Measurement>,
    /// Consecutive failures.
    pub failures: u32,
    /// Until when the server is set aside because of its failures.
    pub excluded_until: Ms,
    /// When it last sent this front a report.
    pub last_report_at: Ms,
    pub last_failure_at: Ms,
    /// Until when its last busy reply makes it count as full.
    pub busy_until: Ms,
    /// When its process seemed to die.
    pub died_at: Option<Ms>,
    /// When it answered again after `died_at`.
    pub recovered_at: Option<Ms>,
    /// When the last SETUPs were sent, as far back as the limit for cold servers counts them.
    pub recent_setups: Vec<Ms>,
    /// When the next regular probe is due; `None` until the first one is scheduled.
    pub next_probe_at: Option<Ms>,
    /// This front's share of the spare link capacity, as far as it is unused.
    pub spare_kb_per_s: f64,
    /// Sessions on the link were stepped down, and reports until then do not show it yet.
    pub ignore_reports_until: Ms,
}

impl Server {
    /// A server of which only the list entry is known.
    pub fn new(entry: ListEntry) -> Self {
        Server {
            largest_weight: entry.weight,
            entry,
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

/// What a front knows of a rack's uplink.
#[derive(Debug, Clone, Default)]
pub struct Rack {
    /// Demand on the uplink as a share of its capacity.
    pub uplink_use: Option<Measurement>,
    /// Sessions on the uplink were stepped down, and reports until then do not show it yet.
    pub ignore_reports_until: Ms,
}

/// The servers and racks that a front knows.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Servers by id, including those that are gone.
    pub servers: BTreeMap<ServerId, Server>,
    /// Racks by id, as far as their uplinks were reported.
    pub racks: BTreeMap<RackId, Rack>,
}

impl Fleet {
    /// The last measurement of a shared link, and until when reports of it are ignored; `None` for an unknown
    /// server.
    pub fn link_state_mut(&mut self, link: SharedLink) -> Option<(&mut Option<Measurement>, &mut Ms)> {
        match link {
            SharedLink::Link(id) => {
                self.servers.get_mut(&id).map(|s| (&mut s.link_use, &mut s.ignore_reports_until))
            }
            SharedLink::Uplink(id) => {
                let rack = self.racks.entry(id).or_default();
                Some((&mut rack.uplink_use, &mut rack.ignore_reports_until))
            }
        }
    }
}
