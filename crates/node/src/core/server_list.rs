//! The list of servers, followed by questions to the name service.
use super::server_connections::Server;
use super::Node;
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use walnutline::api::SetupOutcome;
use walnutline::fleet::{ListEntry, ServerState};
use walnutline::ids::{CellId, KindIndex, Ms, ServerId, SessionId, ZoneIndex};
use walnutline_desk::backoff::Backoff;
use walnutline_platform::configuration::Configuration;
use walnutline_platform::{discovery, ServerRecord};

pub(super) struct Names {
    address: SocketAddr,
    /// Number of the last change that was heard.
    serial: u32,
    /// Ids of questions that may still be answered.
    asked: VecDeque<u16>,
    /// Since when, and how often in a row, nothing but lower numbers was told.
    lower: Option<(Ms, u32)>,
}

impl Names {
    pub fn new(address: SocketAddr, serial: u32) -> Self {
        Names { address, serial, asked: VecDeque::new(), lower: None }
    }
}

impl Names {
    /// Whether what is told under this number counts. One told in place of a newer one by mistake is passed
    /// over; where nothing else comes for long, the service has begun its numbers anew.
    fn is_newer(&mut self, serial: u32, now: Ms) -> bool {
        if serial >= self.serial {
            self.lower = None;
            return serial > self.serial;
        }
        let (since, times) = self.lower.get_or_insert((now, 0));
        *times += 1;
        let anew = now - *since >= limits::SERIAL_RESET_TIME && *times >= limits::SERIAL_RESET_ANSWERS;
        if anew {
            self.lower = None;
        }
        anew
    }
}

impl Node {
    /// Asks for the list; a lost answer is made up for by the next question.
    pub(super) fn ask_list(&mut self) {
        let id = self.rng.u16(..);
        if self.names.asked.len() >= limits::MAX_OPEN_LIST_QUERIES {
            self.names.asked.pop_front();
        }
        self.names.asked.push_back(id);
        self.dos.push(IoAction::SendListQuery { to: self.names.address, bytes: discovery::encode_query(id) });
    }

    /// A datagram that came from there. What is not a good answer to one of the last questions, or is older than
    /// what is known, is passed over.
    pub fn name_service_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Ms) {
        if from != self.names.address || bytes.len() < 2 {
            return;
        }
        let id = u16::from_be_bytes([bytes[0], bytes[1]]);
        let Some(at) = self.names.asked.iter().position(|a| *a == id) else { return };
        let Ok(answer) = discovery::parse_answer(bytes, id) else { return };
        self.names.asked.remove(at);
        if self.names.is_newer(answer.serial, now) {
            self.names.serial = answer.serial;
            self.listed(answer.servers, now);
            self.settle(now);
        }
    }

    /// A new configuration, of which the name service's address and the list count. One that changes more
    /// than that is left alone as a whole: what stands in the settings by position holds for the sessions in
    /// hand.
    pub fn apply_configuration(&mut self, told: Configuration, now: Ms) {
        let differs = self.told.changes_requiring_restart(&told);
        if !differs.is_empty() {
            let (first, more) = (&differs[..differs.len().min(limits::MAX_LOGGED_PATHS)], differs.len());
            return self.dos.push(IoAction::Log(format!(
                "the configuration stays as it was, a restart takes up what changed: paths={more} {}",
                first.join(" ")
            )));
        }
        self.names.address = told.name_service;
        self.names.asked.clear();
        self.names.lower = None;
        if told.server_list_serial > self.names.serial {
            self.names.serial = told.server_list_serial;
            self.listed(told.servers, now);
        }
        // The questions at intervals go on by themselves.
        self.ask_list();
        self.settle(now);
    }

    /// The whole list.
    pub(super) fn listed(&mut self, lines: Vec<ServerRecord>, now: Ms) {
        let mut there = BTreeSet::new();
        let mut listed = Vec::new();
        for n in self.zones_told..self.told.zones.len() {
            let name = &self.told.zones[n];
            let fleet = self.desk.state.fleet.servers.values();
            let used = fleet.map(|s| usize::from(s.entry.zone.0)).any(|zone| zone == n);
            if !used && lines.iter().all(|l| l.zone != *name) {
                self.told.zones[n] = String::new();
            }
        }
        for line in lines {
            let id = self.server_id(&line, now);
            there.insert(id);
            let zone = self.zone(&line.zone);
            let kind = self.told.kinds.iter().position(|k| *k == line.kind).unwrap_or(usize::MAX);
            listed.push(ListEntry {
                id,
                zone,
                kind: KindIndex(u8::try_from(kind).unwrap_or(u8::MAX)),
                cell: CellId(line.cell),
                state: if line.draining { ServerState::Draining } else { ServerState::Ready },
                weight: line.weight,
                started_at: line.started_unix_ms,
            });
        }
        let gone: Vec<ServerId> = self.servers.keys().filter(|id| !there.contains(id)).copied().collect();
        for id in gone {
            let Some(s) = self.servers.get_mut(&id) else { continue };
            s.listing = ServerState::Gone;
            // With no connection left, nothing will ever tell of what stood there.
            if s.lines.is_empty() {
                self.cut(id, now);
            }
        }
        self.desk.replace_server_list(listed);
        self.call_back(now);
    }

    /// A zone's number. One that the settings do not name is one of its own: taken for another one, what may
    /// only be repeated within a zone would be repeated elsewhere. Its number is free again once no server is
    /// left there.
    fn zone(&mut self, name: &str) -> ZoneIndex {
        let zones = &mut self.told.zones;
        let at = zones.iter().position(|z| *z == name).unwrap_or_else(|| {
            let free = (self.zones_told..zones.len()).find(|n| zones[*n].is_empty());
            let at = free.unwrap_or(zones.len());
            zones.resize_with(zones.len().max(at + 1), String::new);
            zones[at] = name.to_owned();
            at
        });
        ZoneIndex(u16::try_from(at).unwrap_or(u16::MAX))
    }

    /// SETUPs that wait for a connection to a server that takes nothing new any more never leave.
    fn call_back(&mut self, now: Ms) {
        let ready = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.listing == ServerState::Ready);
        let opening = self.lines.values_mut().filter(|l| !l.up && !ready(&l.server));
        let waiting: Vec<SessionId> = opening.flat_map(|l| std::mem::take(&mut l.out)).collect();
        waiting.into_iter().for_each(|id| self.setup_ended(id, SetupOutcome::NeverSent, now));
    }

    /// The server of a line of the list, as it is told now. An id is not an address: another process, or another
    /// address under the same id, shares nothing with what was known.
    fn server_id(&mut self, line: &ServerRecord, now: Ms) -> ServerId {
        let listing = if line.draining { ServerState::Draining } else { ServerState::Ready };
        if let Some(id) = self.by_name.get(&line.name).copied() {
            let Some(s) = self.servers.get_mut(&id) else { return id };
            s.listing = listing;
            if s.address != line.address || s.started != line.started_unix_ms {
                // A new process at the old address is often met before the list tells of it, seconds late: what was
                // opened and set up there since its start is its own.
                let since = if s.address == line.address { line.started_unix_ms } else { None };
                let since = since.unwrap_or(Ms::INFINITY);
                (s.address, s.started) = (line.address, line.started_unix_ms);
                let lines = s.lines.iter().copied();
                let old = lines.filter(|c| self.lines.get(c).is_none_or(|l| l.opened < since));
                let old: Vec<ConnectionId> = old.collect();
                self.cut_before(id, since, now);
                old.into_iter().for_each(|conn| self.close_line(conn, now));
            }
            return id;
        }
        self.next_server += 1;
        let id = ServerId(self.next_server);
        self.by_name.insert(line.name.clone(), id);
        let server = Server {
            name: line.name.clone(),
            address: line.address,
            listing,
            started: line.started_unix_ms,
            lines: Vec::new(),
            standing: BTreeSet::new(),
            unsent: BTreeMap::new(),
            heard: now,
            said: Ms::NEG_INFINITY,
            process: now,
            broke: Ms::NEG_INFINITY,
            parted: Ms::NEG_INFINITY,
            fails: 0,
            retry: Backoff::default(),
        };
        self.servers.insert(id, server);
        id
    }

    /// Servers gone from the list that nothing refers to any more are forgotten.
    pub(super) fn forget(&mut self) {
        let Node { servers, by_name, desk, .. } = self;
        let in_use: BTreeSet<ServerId> = desk.sessions.sessions.values().filter_map(|s| s.server).collect();
        servers.retain(|id, s| {
            let keep = s.listing != ServerState::Gone
                || !s.lines.is_empty()
                || !s.standing.is_empty()
                || in_use.contains(id);
            if !keep {
                by_name.remove(&s.name);
                desk.state.fleet.servers.remove(id);
            }
            keep
        });
    }
}
