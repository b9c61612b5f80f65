//! The list of servers, kept up to date by queries to the name service.
use super::server_connections::Server;
use super::{Node, Stage};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use walnutline::api::SetupOutcome;
use walnutline::fleet::{ListEntry, ServerState};
use walnutline::ids::{CellId, KindIndex, Ms, ServerId, ZoneIndex};
use walnutline_platform::configuration::Configuration;
use walnutline_platform::{discovery, ServerRecord};
use walnutline_sessions::backoff::Backoff;

/// The name service, and the state of the queries to it.
pub(super) struct NameService {
    address: SocketAddr,
    /// Serial number of the list in force.
    serial: u32,
    /// Ids of queries that may still be answered.
    open_queries: VecDeque<u16>,
}

impl NameService {
    pub fn new(address: SocketAddr, serial: u32) -> Self {
        NameService { address, serial, open_queries: VecDeque::new() }
    }
}

impl Node {
    /// Queries the name service for the list. If the answer is lost, the next query makes up for it.
    pub(super) fn request_list(&mut self) {
        let id = self.rng.u16(..);
        if self.name_service.open_queries.len() >= limits::MAX_OPEN_LIST_QUERIES {
            self.name_service.open_queries.pop_front();
        }
        self.name_service.open_queries.push_back(id);
        self.io_actions.push(IoAction::SendListQuery {
            to: self.name_service.address,
            bytes: discovery::encode_query(id),
        });
    }

    /// Handles a datagram from `from`. Anything but a valid answer to one of the last queries is ignored, and
    /// so is a list older than the one in force.
    pub fn name_service_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Ms) {
        if from != self.name_service.address || bytes.len() < 2 {
            return;
        }
        let id = u16::from_be_bytes([bytes[0], bytes[1]]);
        let Some(index) = self.name_service.open_queries.iter().position(|q| *q == id) else { return };
        let Ok(answer) = discovery::parse_answer(bytes, id) else { return };
        self.name_service.open_queries.remove(index);
        // Events are numbered from this node's start, whichever name service tells them: a lower number is always an
        // older list.
        if answer.serial > self.name_service.serial {
            self.name_service.serial = answer.serial;
            self.replace_server_list(answer.servers, now);
            self.process_engine_actions(now);
        }
    }

    /// Applies a new configuration, of which only the name service's address and the list of servers may
    /// differ. Any other change is rejected as a whole: open sessions refer to the settings by position.
    pub fn apply_configuration(&mut self, new: Configuration, now: Ms) {
        let changes = self.configuration.changes_requiring_restart(&new);
        if !changes.is_empty() {
            let (first, count) = (&changes[..changes.len().min(limits::MAX_LOGGED_PATHS)], changes.len());
            return self.io_actions.push(IoAction::Log(format!(
                "the configuration stays as it was, a restart takes up what changed: paths={count} {}",
                first.join(" ")
            )));
        }
        self.name_service.address = new.name_service;
        self.name_service.open_queries.clear();
        if new.server_list_serial > self.name_service.serial {
            self.name_service.serial = new.server_list_serial;
            self.replace_server_list(new.servers, now);
        }
        // In addition to the periodic queries, which go on.
        self.request_list();
        self.process_engine_actions(now);
    }

    /// Replaces the whole list of servers. Servers that are missing from it are removed once they are unused.
    pub(super) fn replace_server_list(&mut self, records: Vec<ServerRecord>, now: Ms) {
        let mut listed_ids = BTreeSet::new();
        let mut entries = Vec::new();
        self.forget_unused_zones(&records);
        for record in records {
            let id = self.update_server(&record, now);
            listed_ids.insert(id);
            let zone = self.zone_index(&record.zone);
            let kind = self.configuration.kinds.iter().position(|k| *k == record.kind).unwrap_or(usize::MAX);
            entries.push(ListEntry {
                id,
                zone,
                kind: KindIndex(u8::try_from(kind).unwrap_or(u8::MAX)),
                cell: CellId(record.cell),
                state: if record.draining { ServerState::Draining } else { ServerState::Ready },
                weight: record.weight,
                started_at: record.started_unix_ms,
            });
        }
        self.engine.replace_server_list(entries);
        let gone: Vec<ServerId> =
            self.servers.keys().filter(|id| !listed_ids.contains(id)).copied().collect();
        for id in &gone {
            let Some(s) = self.servers.get_mut(id) else { continue };
            s.list_state = ServerState::Gone;
        }
        self.move_to_successors(&gone);
        gone.into_iter().for_each(|id| self.end_orphaned_sessions(id, now));
        self.cancel_unsent_setups(now);
    }

    /// Frees the indexes of zones that the configuration does not name and in which no server is left.
    fn forget_unused_zones(&mut self, records: &[ServerRecord]) {
        let configured_count = self.configuration.zones.len();
        for (position, name) in self.unconfigured_zones.iter_mut().enumerate() {
            let index = configured_count + position;
            let known_servers = self.engine.state.fleet.servers.values();
            let in_use = known_servers.map(|s| usize::from(s.entry.zone.0)).any(|zone| zone == index);
            if !in_use && records.iter().all(|r| r.zone != *name) {
                name.clear();
            }
        }
    }

    /// Returns the index of a zone. A zone that the configuration does not name gets one of its own: under another
    /// zone's index, retries that have to stay within a zone could leave it. The index is reused once no
    /// server is left in the zone.
    fn zone_index(&mut self, name: &str) -> ZoneIndex {
        let configured_zones = &self.configuration.zones;
        let zones = &mut self.unconfigured_zones;
        let index = configured_zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
            let known = zones.iter().position(|zone| zone == name);
            let free = known.or_else(|| zones.iter().position(String::is_empty));
            let position = free.unwrap_or(zones.len());
            zones.resize_with(zones.len().max(position + 1), String::new);
            zones[position] = name.to_owned();
            configured_zones.len() + position
        });
        ZoneIndex(u16::try_from(index).unwrap_or(u16::MAX))
    }

    /// Ends the SETUPs to servers that no longer accept new sessions, as far as they have not been sent: they wait for a
    /// connection, or for what is unread from their viewer.
    fn cancel_unsent_setups(&mut self, now: Ms) {
        let ready = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.list_state == ServerState::Ready);
        let pending = self.sessions.iter().filter_map(|(id, session)| match &session.stage {
            Stage::Pending { setup: Some(setup), .. } => Some((*id, *setup)),
            _ => None,
        });
        let unsent: Vec<_> = pending.filter(|(_, setup)| !setup.sent && !ready(&setup.server)).collect();
        for (id, setup) in unsent {
            self.cancel_setup(id, setup, now);
            self.setup_ended(id, SetupOutcome::NeverSent, now);
        }
    }

    /// Updates or adds the server of a record of the list, and returns its id. If its process or its address
    /// has changed, nothing known of the server before applies any more.
    fn update_server(&mut self, record: &ServerRecord, now: Ms) -> ServerId {
        let list_state = if record.draining { ServerState::Draining } else { ServerState::Ready };
        if let Some(id) = self.servers_by_name.get(&record.name).copied() {
            let Some(server) = self.servers.get_mut(&id) else { return id };
            server.list_state = list_state;
            if server.address != record.address || server.started_at != record.started_unix_ms {
                // A new process at the same address often accepts connections seconds before the list reports
                // it: connections and sessions begun since its start are its own.
                let new_start = if server.address == record.address { record.started_unix_ms } else { None };
                let cutoff = new_start.unwrap_or(Ms::INFINITY);
                (server.address, server.started_at) = (record.address, record.started_unix_ms);
                let connections = server.connections.iter().copied();
                let old_connections = connections
                    .filter(|conn| self.server_connections.get(conn).is_none_or(|c| c.opened_at < cutoff));
                let old_connections: Vec<ConnectionId> = old_connections.collect();
                self.end_sessions_before(id, cutoff, now);
                old_connections.into_iter().for_each(|conn| self.close_server_connection(conn, now));
            }
            return id;
        }
        self.last_server_id += 1;
        let id = ServerId(self.last_server_id);
        self.servers_by_name.insert(record.name.clone(), id);
        let server = Server {
            name: record.name.clone(),
            address: record.address,
            list_state,
            started_at: record.started_unix_ms,
            connections: Vec::new(),
            sessions: BTreeSet::new(),
            unsent: BTreeMap::new(),
            last_seen_at: now,
            last_message_at: Ms::NEG_INFINITY,
            process_known_since: now,
            last_disconnect_at: Ms::NEG_INFINITY,
            last_connected_at: Ms::NEG_INFINITY,
            lost_connection: false,
            dead_connection_at: Ms::NEG_INFINITY,
            dead_connection_used_at: Ms::NEG_INFINITY,
            retry_at: Ms::NEG_INFINITY,
            closed_for_room_at: Ms::NEG_INFINITY,
            connect_failures: 0,
            retry: Backoff::default(),
        };
        self.servers.insert(id, server);
        id
    }

    /// Removes servers that are no longer listed once nothing refers to them.
    pub(super) fn remove_unused_servers(&mut self) {
        let Node { servers, servers_by_name, engine, .. } = self;
        let in_use: BTreeSet<ServerId> =
            engine.session_table.sessions.values().filter_map(|s| s.server).collect();
        servers.retain(|id, server| {
            let keep = server.list_state != ServerState::Gone
                || !server.connections.is_empty()
                || !server.sessions.is_empty()
                || in_use.contains(id);
            if !keep {
                servers_by_name.remove(&server.name);
                engine.state.fleet.servers.remove(id);
            }
            keep
        });
    }
}
