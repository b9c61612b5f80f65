//! The list of servers, followed by questions to the name service.
use super::servers::Server;
use super::Node;
use crate::exchange::{ConnId, Do};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use walnutline::fleet::{Listed, Listing};
use walnutline::ids::{CellNo, KindNo, Ms, ServerId, SessId, ZoneNo};
use walnutline::interface::Ending;
use walnutline_desk::retry::Retry;
use walnutline_platform::configuration::Configuration;
use walnutline_platform::{names, ServerLine};

pub(super) struct Names {
    address: SocketAddr,
    /// Number of the last change that was heard.
    serial: u32,
    /// Ids of questions that may still be answered.
    asked: VecDeque<u16>,
}

impl Names {
    pub fn new(address: SocketAddr, serial: u32) -> Self {
        Names { address, serial, asked: VecDeque::new() }
    }
}

impl Node {
    /// Asks for the list; a lost answer is made up for by the next question.
    pub(super) fn ask_list(&mut self) {
        let id = self.rng.u16(..);
        if self.names.asked.len() >= limits::ASKED {
            self.names.asked.pop_front();
        }
        self.names.asked.push_back(id);
        self.dos.push(Do::Query { to: self.names.address, bytes: names::query(id) });
    }

    /// A datagram that came from there. What is not a good answer to one of the last questions, or is older than
    /// what is known, is passed over.
    pub fn datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Ms) {
        if from != self.names.address || bytes.len() < 2 {
            return;
        }
        let id = u16::from_be_bytes([bytes[0], bytes[1]]);
        let Some(at) = self.names.asked.iter().position(|a| *a == id) else { return };
        let Ok(answer) = names::read(bytes, id) else { return };
        self.names.asked.remove(at);
        if answer.serial > self.names.serial {
            self.names.serial = answer.serial;
            self.listed(answer.servers, now);
            self.settle(now);
        }
    }

    /// A new configuration, of which the name service's address counts.
    pub fn configured(&mut self, told: Configuration, now: Ms) {
        self.names.address = told.names;
        self.names.asked.clear();
        if told.last > self.names.serial {
            self.names.serial = told.last;
            self.listed(told.servers, now);
        }
        // The questions at intervals go on by themselves.
        self.ask_list();
        self.settle(now);
    }

    /// The whole list.
    pub(super) fn listed(&mut self, lines: Vec<ServerLine>, now: Ms) {
        let mut there = BTreeSet::new();
        let mut listed = Vec::new();
        for line in lines {
            let id = self.server_id(&line, now);
            there.insert(id);
            // A zone that the settings do not name is one of its own: taken for another one, what may only be repeated
            // within a zone would be repeated elsewhere.
            let zones = &mut self.told.zones;
            let zone = zones.iter().position(|z| *z == line.zone).unwrap_or_else(|| {
                zones.push(line.zone.clone());
                zones.len() - 1
            });
            let kind = self.told.kinds.iter().position(|k| *k == line.kind).unwrap_or(usize::MAX);
            listed.push(Listed {
                id,
                zone: ZoneNo(u16::try_from(zone).unwrap_or(u16::MAX)),
                kind: KindNo(u8::try_from(kind).unwrap_or(u8::MAX)),
                cell: CellNo(line.cell),
                listing: if line.draining { Listing::Draining } else { Listing::Ready },
                weight: line.weight,
                started: line.started,
            });
        }
        let gone: Vec<ServerId> = self.servers.keys().filter(|id| !there.contains(id)).copied().collect();
        for id in gone {
            let Some(s) = self.servers.get_mut(&id) else { continue };
            s.listing = Listing::Gone;
            // With no connection left, nothing will ever tell of what stood there.
            if s.lines.is_empty() {
                self.cut(id, now);
            }
        }
        self.desk.listed_all(listed);
        self.call_back(now);
    }

    /// SETUPs that wait for a connection to a server that takes nothing new any more never leave.
    fn call_back(&mut self, now: Ms) {
        let ready = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.listing == Listing::Ready);
        let opening = self.lines.values_mut().filter(|l| !l.up && !ready(&l.server));
        let waiting: Vec<SessId> = opening.flat_map(|l| std::mem::take(&mut l.out)).collect();
        waiting.into_iter().for_each(|id| self.setup_ended(id, Ending::NeverSent, now));
    }

    /// The server of a line of the list, as it is told now. An id is not an address: another process, or another
    /// address under the same id, shares nothing with what was known.
    fn server_id(&mut self, line: &ServerLine, now: Ms) -> ServerId {
        let listing = if line.draining { Listing::Draining } else { Listing::Ready };
        if let Some(id) = self.by_name.get(&line.name).copied() {
            let Some(s) = self.servers.get_mut(&id) else { return id };
            s.listing = listing;
            if s.address != line.address || s.started != line.started {
                // A new process at the old address is often met before the list tells of it, seconds late: what was
                // opened and set up there since its start is its own.
                let since = if s.address == line.address { line.started } else { None };
                let since = since.unwrap_or(Ms::INFINITY);
                (s.address, s.started) = (line.address, line.started);
                let lines = s.lines.iter().copied();
                let old = lines.filter(|c| self.lines.get(c).is_none_or(|l| l.opened < since));
                let old: Vec<ConnId> = old.collect();
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
            started: line.started,
            lines: Vec::new(),
            standing: BTreeSet::new(),
            unsent: BTreeMap::new(),
            heard: now,
            said: Ms::NEG_INFINITY,
            process: now,
            broke: Ms::NEG_INFINITY,
            parted: Ms::NEG_INFINITY,
            fails: 0,
            retry: Retry::default(),
        };
        self.servers.insert(id, server);
        id
    }

    /// Servers gone from the list that nothing refers to any more are forgotten.
    pub(super) fn forget(&mut self) {
        let Node { servers, by_name, desk, .. } = self;
        let in_use: BTreeSet<ServerId> = desk.hand.sess.values().filter_map(|s| s.at).collect();
        servers.retain(|id, s| {
            let keep = s.listing != Listing::Gone
                || !s.lines.is_empty()
                || !s.standing.is_empty()
                || in_use.contains(id);
            if !keep {
                by_name.remove(&s.name);
                desk.front.fleet.servers.remove(id);
            }
            keep
        });
    }
}
