//! Messages from servers: answers to set-ups and probes, ends of sessions, and load reports.
use super::liveness::RequestId;
use super::server_connections::{OptionsPurpose, SessionMessage};
use super::{Node, Session, Stage};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use crate::request_log::RequestEvent;
use walnutline::api::SetupOutcome;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline_platform::headers;
use walnutline_platform::server::{self, LoadReport, Quantity, ServerMessage};
use walnutline_platform::viewer;

impl Node {
    pub(super) fn server_bytes_received(&mut self, conn: ConnectionId, bytes: &[u8], now: Ms) {
        let Some(connection) = self.server_connections.get_mut(&conn) else { return };
        let server_id = connection.server;
        connection.reader.push(bytes);
        connection.last_used_at = now;
        connection.liveness.heard(now);
        let opened_at = connection.opened_at;
        if let Some(s) = self.servers.get_mut(&server_id) {
            (s.last_seen_at, s.last_message_at, s.process_known_since) = (now, now, opened_at);
            // Input long after the last disconnect, on a connection opened before it: the process hasn't
            // ended.
            if opened_at < s.last_disconnect_at && now - s.last_disconnect_at > limits::MAX_DELIVERY_DELAY {
                self.engine.confirm_alive(server_id, opened_at);
            }
        }
        loop {
            let Some(connection) = self.server_connections.get_mut(&conn) else { return };
            match connection.reader.next_message() {
                Ok(Some(message)) => {
                    connection.partial_since = None;
                    self.handle_server_message(conn, server_id, server::parse_message(message), now);
                }
                Ok(None) => {
                    connection.partial_since = connection
                        .reader
                        .has_partial_message()
                        .then(|| connection.partial_since.unwrap_or(now));
                    return;
                }
                Err(parse_error) => {
                    let name = self.servers.get(&server_id).map_or("", |s| &s.name);
                    self.io_actions
                        .push(IoAction::Log(format!("server {name}: {parse_error}; connection closed")));
                    return self.close_server_connection(conn, now);
                }
            }
        }
    }

    fn handle_server_message(
        &mut self,
        conn: ConnectionId,
        server_id: ServerId,
        message: ServerMessage,
        now: Ms,
    ) {
        match message {
            ServerMessage::SetupResponse { id, status, description, report } => {
                self.record_report(server_id, &report, now);
                self.handle_setup_response(conn, server_id, SessionId(id), status, &description, now);
            }
            ServerMessage::OptionsResponse { id, status, report } => {
                let options = self.server_connections.get_mut(&conn).and_then(|connection| {
                    connection.liveness.answered(RequestId::Options(id));
                    connection.pending_options.remove(&id)
                });
                self.record_report(server_id, &report, now);
                if options.is_some_and(|o| o.purpose == OptionsPurpose::Probe) {
                    let outcome = if status < 300 { SetupOutcome::Done } else { SetupOutcome::Errored };
                    self.engine.probe_finished(server_id, outcome, now);
                }
            }
            ServerMessage::Teardown { id, cause, cseq, report } => {
                self.io_actions.push(IoAction::Write { conn, bytes: server::teardown_response(id, cseq) });
                self.record_report(server_id, &report, now);
                self.handle_server_teardown(conn, server_id, SessionId(id), cause, now);
            }
            ServerMessage::Announcement { id, quantity, value } => {
                let plays_there =
                    |s: &Session| matches!(s.stage, Stage::Playing { server: at, .. } if at == server_id);
                if self.sessions.get(&SessionId(id)).is_none_or(|s| !plays_there(s)) {
                    return self.record_early_rung(SessionId(id), quantity, value, now);
                }
                match quantity {
                    Quantity::DeliveredShare => self.engine.record_delivered_share(server_id, value, now),
                    Quantity::Rung => self.engine.set_rung(SessionId(id), value.clamp(0.0, 255.0) as u8),
                    Quantity::LinkUse => self.engine.record_link_use(server_id, value, now),
                    Quantity::UplinkUse => self.engine.record_uplink_use(server_id, value, now),
                }
            }
            ServerMessage::TeardownResponse { id } => {
                if let Some(connection) = self.server_connections.get_mut(&conn) {
                    connection.unconfirmed_releases.retain(|(_, released)| released.0 != id);
                    connection.liveness.withdrawal_confirmed(RequestId::Setup(SessionId(id)));
                }
            }
            ServerMessage::Ignored => {}
        }
    }

    /// Keeps the rung of an unknown session: shortly after the start, its hand-over may still come.
    fn record_early_rung(&mut self, id: SessionId, quantity: Quantity, value: f64, now: Ms) {
        if quantity == Quantity::Rung && self.is_early(id, self.early_rungs.len(), now) {
            self.early_rungs.insert(id, value.clamp(0.0, 255.0) as u8);
        }
    }

    /// Whether a message about this session is to be kept, with `kept_count` kept already.
    fn is_early(&self, id: SessionId, kept_count: usize, now: Ms) -> bool {
        let early = now - self.engine.state.started_at < limits::EARLY_MESSAGE_PERIOD
            && kept_count < limits::MAX_EARLY_MESSAGES;
        early && !self.sessions.contains_key(&id)
    }

    /// Passes a load report to the decision engine, as values in the order of the configured columns.
    fn record_report(&mut self, server_id: ServerId, report: &LoadReport, now: Ms) {
        if !report.is_empty() {
            let value = |column: &String| {
                report.iter().find(|(name, _)| name == column).map_or(f64::NAN, |(_, v)| *v)
            };
            let values: Vec<f64> = self.configuration.report_columns.iter().map(value).collect();
            self.engine.record_report(server_id, &values, now);
        }
    }

    fn handle_setup_response(
        &mut self,
        conn: ConnectionId,
        server_id: ServerId,
        id: SessionId,
        status: u16,
        description: &[u8],
        now: Ms,
    ) {
        let Some(connection) = self.server_connections.get_mut(&conn) else { return };
        connection.liveness.answered(RequestId::Setup(id));
        if !connection.pending_setups.remove(&id) {
            let ended_index = connection.ended_setups.iter().position(|e| *e == id);
            let wanted_there = match self.sessions.get(&id).map(|s| &s.stage) {
                Some(Stage::Playing { server, .. }) => *server == server_id,
                Some(Stage::Pending { setup: Some(setup), .. }) => setup.server == server_id,
                _ => false,
            };
            if let Some(index) = ended_index.filter(|_| status < 300) {
                connection.ended_setups.remove(index);
                // The cancelled SETUP succeeded after all: the session is released, unless a later SETUP has
                // placed it or may yet place it on the same server.
                if !wanted_there {
                    self.write_to_server(conn, id, SessionMessage::Release, now);
                }
            }
            return;
        }
        if status >= 300 {
            connection.record_ended_setup(id);
            let outcome = match status {
                453 => SetupOutcome::BusyReplied,
                454 => SetupOutcome::NeverSent,
                504 => SetupOutcome::Broken,
                _ => SetupOutcome::Errored,
            };
            return self.setup_ended(id, outcome, now);
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Pending { viewer_conn, .. } = session.stage else { return };
        session.stage = Stage::Playing {
            viewer_conn: Some(viewer_conn),
            server: server_id,
            server_conn: Some(conn),
            since: now,
        };
        let (age, setups) = (now - session.taken_at, session.setup_count);
        self.request_counts.answered += 1;
        if let Some(s) = self.servers.get_mut(&server_id) {
            s.sessions.insert(id);
        }
        if let Some(viewer) = self.viewers.get_mut(&viewer_conn) {
            viewer.open_setups.remove(&id);
            viewer.last_used_at = now;
        }
        self.io_actions
            .push(IoAction::Write { conn: viewer_conn, bytes: viewer::setup_response(id.0, description) });
        self.engine.session_started(id, now);
        self.log_request(id, |_| RequestEvent::Answered { status, age, setups });
    }

    /// Handles a server's report that a session has ended or that a set-up failed. It may come more than
    /// once.
    fn handle_server_teardown(
        &mut self,
        conn: ConnectionId,
        server_id: ServerId,
        id: SessionId,
        cause: Option<u32>,
        now: Ms,
    ) {
        match self.sessions.get(&id).map(|s| &s.stage) {
            Some(Stage::Playing { server, since, .. }) if *server == server_id => match cause {
                Some(headers::RELEASE_CAUSE_ENDED) => {
                    self.end_session(id, SetupOutcome::Done, Some(headers::RELEASE_CAUSE_ENDED), now)
                }
                Some(headers::RELEASE_CAUSE_WITHDRAWN) => {
                    let after_ms = now - since;
                    if after_ms < limits::IMMEDIATE_TEARDOWN {
                        let line = format!(
                            "session {:016x} ended by its viewer {after_ms:.2} ms after its answer",
                            id.0
                        );
                        self.io_actions.push(IoAction::Log(line));
                    }
                    self.end_session(id, SetupOutcome::Withdrawn, None, now);
                }
                _ => {
                    self.end_session(id, SetupOutcome::Broken, Some(headers::RELEASE_CAUSE_INTERRUPTED), now)
                }
            },
            Some(Stage::Pending { setup: Some(setup), .. }) if setup.conn == conn => {
                if let Some(connection) = self.server_connections.get_mut(&conn) {
                    connection.pending_setups.remove(&id);
                    connection.record_ended_setup(id);
                    connection.liveness.answered(RequestId::Setup(id));
                }
                self.setup_ended(id, SetupOutcome::Broken, now);
            }
            // The session's hand-over may still come.
            _ if self.is_early(id, self.early_ends.len(), now) => {
                self.early_ends.insert(id, (server_id, cause));
            }
            _ => {}
        }
    }
}
