//! Servers that came up at the address of one that has gone, and were taken for it until the list told of both.
use super::server_connections::SessionMessage;
use super::{Node, Stage};
use crate::actions::{ConnectionId, IoAction};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId, SessionId};

impl Node {
    /// Moves the connections that lead to the successors of servers that have left the list, with all that was accepted
    /// or sent on them.
    pub(super) fn move_to_successors(&mut self, gone: &[ServerId]) {
        let listed = self.servers.iter().filter(|(_, server)| server.list_state != ServerState::Gone);
        let by_address: BTreeMap<SocketAddr, (ServerId, Ms)> =
            listed.filter_map(|(id, server)| Some((server.address, (*id, server.started_at?)))).collect();
        for id in gone {
            let successor = self.servers.get(id).and_then(|server| by_address.get(&server.address));
            if let Some((successor, started_at)) = successor {
                self.move_to_successor(*id, *successor, *started_at);
            }
        }
    }

    /// A connection that was opened after the successor's start leads to it, and sessions that began on such a
    /// connection play there.
    fn move_to_successor(&mut self, gone: ServerId, successor: ServerId, started_at: Ms) {
        let connections = self.take_connections_since(gone, started_at);
        if connections.is_empty() {
            return;
        }
        let moved = self.take_sessions_since(gone, started_at, &connections);
        let Some(server) = self.servers.get_mut(&successor) else { return };
        self.io_actions.push(IoAction::Log(format!(
            "server {} replaces another at its address: connections={} sessions={}",
            server.name,
            connections.len(),
            moved.len()
        )));
        server.connections.extend(&connections);
        for (id, unsent) in moved {
            server.sessions.insert(id);
            server.unsent.extend(unsent.map(|message| (id, message)));
            self.engine.move_session(id, successor);
        }
        self.move_setups(successor, &connections);
    }

    /// Removes from a server the connections that were opened since a time.
    fn take_connections_since(&mut self, id: ServerId, started_at: Ms) -> Vec<ConnectionId> {
        let Node { servers, server_connections, .. } = self;
        let Some(server) = servers.get_mut(&id) else { return Vec::new() };
        let opened_since =
            |conn: &ConnectionId| server_connections.get(conn).is_some_and(|c| c.opened_at >= started_at);
        let (taken, kept): (Vec<_>, Vec<_>) = server.connections.iter().partition(|conn| opened_since(conn));
        server.connections = kept;
        taken
    }

    /// Removes from a server the sessions that began since a time, unless on another connection than these, with their
    /// unsent messages.
    fn take_sessions_since(
        &mut self,
        id: ServerId,
        started_at: Ms,
        connections: &[ConnectionId],
    ) -> Vec<(SessionId, Option<SessionMessage>)> {
        let Some(server) = self.servers.get_mut(&id) else { return Vec::new() };
        let sessions = &self.sessions;
        let began_there = |id: &SessionId| match sessions.get(id).map(|session| &session.stage) {
            Some(Stage::Playing { since, server_conn: Some(conn), .. }) => {
                *since >= started_at && connections.contains(conn)
            }
            _ => false,
        };
        let taken: Vec<SessionId> = server.sessions.iter().copied().filter(began_there).collect();
        let with_message = |id: SessionId| {
            server.sessions.remove(&id);
            (id, server.unsent.remove(&id))
        };
        taken.into_iter().map(with_message).collect()
    }

    /// Moves the sessions and SETUPs of these connections, as far as sessions and connections name their server.
    fn move_setups(&mut self, successor: ServerId, connections: &[ConnectionId]) {
        for conn in connections {
            if let Some(connection) = self.server_connections.get_mut(conn) {
                connection.server = successor;
            }
        }
        for (id, session) in &mut self.sessions {
            match &mut session.stage {
                Stage::Playing { server, server_conn: Some(conn), .. } if connections.contains(conn) => {
                    *server = successor;
                }
                Stage::Pending { setup: Some(setup), .. } if connections.contains(&setup.conn) => {
                    setup.server = successor;
                    self.engine.move_session(*id, successor);
                }
                _ => {}
            }
        }
    }
}
