//! What servers say, and what follows from it.
use super::server_connections::{Test, Unsent};
use super::{Node, Session, Stage};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use walnutline::api::SetupOutcome;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline_platform::headers;
use walnutline_platform::server::{self, LoadReport, Quantity, ServerMessage};
use walnutline_platform::viewer;

impl Node {
    pub(super) fn server_bytes(&mut self, conn: ConnectionId, bytes: &[u8], now: Ms) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let server = line.server;
        line.reader.push(bytes);
        line.used = now;
        let opened = line.opened;
        if let Some(s) = self.servers.get_mut(&server) {
            (s.heard, s.said, s.process) = (now, now, opened);
            // A connection of before, on which something comes long after: what looked like an end was none.
            if opened < s.broke && now - s.broke > limits::MAX_DELIVERY_DELAY {
                self.desk.confirm_alive(server, opened);
            }
        }
        loop {
            let Some(line) = self.lines.get_mut(&conn) else { return };
            match line.reader.next_message() {
                Ok(Some(message)) => {
                    line.partial = None;
                    self.server_said(conn, server, server::parse_message(message), now);
                }
                Ok(None) => {
                    line.partial = line.reader.has_partial_message().then(|| line.partial.unwrap_or(now));
                    return;
                }
                Err(bad) => {
                    let name = self.servers.get(&server).map_or("", |s| &s.name);
                    self.dos.push(IoAction::Log(format!("server {name}: {bad}; connection closed")));
                    return self.close_line(conn, now);
                }
            }
        }
    }

    fn server_said(&mut self, conn: ConnectionId, server: ServerId, said: ServerMessage, now: Ms) {
        match said {
            ServerMessage::SetupResponse { id, status, description, report } => {
                self.reported(server, &report, now);
                self.setup_answered(conn, server, SessionId(id), status, &description, now);
            }
            ServerMessage::OptionsResponse { id, status, report } => {
                let what = self.lines.get_mut(&conn).and_then(|l| l.tests.remove(&id));
                self.reported(server, &report, now);
                if what == Some(Test::Probe) {
                    let ending = if status < 300 { SetupOutcome::Done } else { SetupOutcome::Errored };
                    self.desk.probe_finished(server, ending, now);
                }
            }
            ServerMessage::Teardown { id, cause, cseq, report } => {
                self.dos.push(IoAction::Write { conn, bytes: server::teardown_response(id, cseq) });
                self.reported(server, &report, now);
                self.released(conn, server, SessionId(id), cause, now);
            }
            ServerMessage::Announcement { id, quantity: note, value: figure } => {
                let here = |s: &Session| matches!(s.stage, Stage::Stands { server: at, .. } if at == server);
                if self.sess.get(&SessionId(id)).is_none_or(|s| !here(s)) {
                    return self.early_note(SessionId(id), note, figure, now);
                }
                match note {
                    Quantity::DeliveredShare => self.desk.record_delivered_share(server, figure, now),
                    Quantity::Rung => self.desk.set_rung(SessionId(id), figure.clamp(0.0, 255.0) as u8),
                    Quantity::LinkUse => self.desk.record_link_use(server, figure, now),
                    Quantity::UplinkUse => self.desk.record_uplink_use(server, figure, now),
                }
            }
            ServerMessage::TeardownResponse { id } => {
                if let Some(line) = self.lines.get_mut(&conn) {
                    line.releases.retain(|(_, told)| told.0 != id);
                }
            }
            ServerMessage::Ignored => {}
        }
    }

    /// A rung told of a session that is not known: when a node starts, it may be handed over next.
    fn early_note(&mut self, id: SessionId, note: Quantity, figure: f64, now: Ms) {
        if note == Quantity::Rung && self.is_early(id, self.early_rungs.len(), now) {
            self.early_rungs.insert(id, figure.clamp(0.0, 255.0) as u8);
        }
    }

    fn is_early(&self, id: SessionId, kept: usize, now: Ms) -> bool {
        let early = now - self.desk.state.started_at < limits::EARLY_MESSAGE_PERIOD
            && kept < limits::MAX_EARLY_MESSAGES;
        early && !self.sess.contains_key(&id)
    }

    /// A report's figures, in the order that the settings name them.
    fn reported(&mut self, server: ServerId, report: &LoadReport, now: Ms) {
        if !report.is_empty() {
            let value = |c: &String| report.iter().find(|(name, _)| name == c).map_or(f64::NAN, |(_, v)| *v);
            let values: Vec<f64> = self.told.report_columns.iter().map(value).collect();
            self.desk.record_report(server, &values, now);
        }
    }

    fn setup_answered(
        &mut self,
        conn: ConnectionId,
        server: ServerId,
        id: SessionId,
        status: u16,
        description: &[u8],
        now: Ms,
    ) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        if !line.out.remove(&id) {
            let over = line.given_up.iter().position(|g| *g == id);
            let here = match self.sess.get(&id).map(|s| &s.stage) {
                Some(Stage::Stands { server: at, .. }) => *at == server,
                Some(Stage::Asked { out: Some(out), .. }) => out.server == server,
                _ => false,
            };
            if let Some(at) = over.filter(|_| status < 300) {
                line.given_up.remove(at);
                // It stands there after all, and nobody waits for it; or it was taken there by a later SETUP.
                if !here {
                    self.write_to_server(conn, id, Unsent::Release, now);
                }
            }
            return;
        }
        if status >= 300 {
            line.is_over(id);
            let ending = match status {
                453 => SetupOutcome::BusyReplied,
                454 => SetupOutcome::NeverSent,
                504 => SetupOutcome::Broken,
                _ => SetupOutcome::Errored,
            };
            return self.setup_ended(id, ending, now);
        }
        let Some(sess) = self.sess.get_mut(&id) else { return };
        let Stage::Asked { from, .. } = sess.stage else { return };
        sess.stage = Stage::Stands { from: Some(from), server, since: now };
        self.ledger.answered += 1;
        if let Some(s) = self.servers.get_mut(&server) {
            s.standing.insert(id);
        }
        if let Some(v) = self.viewers.get_mut(&from) {
            v.open.remove(&id);
            v.used = now;
        }
        self.dos.push(IoAction::Write { conn: from, bytes: viewer::setup_response(id.0, description) });
        self.desk.session_started(id, now);
    }

    /// A server tells that a session is over, or that a set-up broke. It may tell so more than once.
    fn released(&mut self, conn: ConnectionId, server: ServerId, id: SessionId, cause: Option<u32>, now: Ms) {
        match self.sess.get(&id).map(|s| &s.stage) {
            Some(Stage::Stands { server: at, since, .. }) if *at == server => match cause {
                Some(headers::RELEASE_CAUSE_ENDED) => {
                    self.over(id, SetupOutcome::Done, Some(headers::RELEASE_CAUSE_ENDED), now)
                }
                Some(headers::RELEASE_CAUSE_WITHDRAWN) => {
                    let after = now - since;
                    if after < limits::IMMEDIATE_TEARDOWN {
                        let said = format!(
                            "session {:016x} ended by its viewer {after:.2} ms after its answer",
                            id.0
                        );
                        self.dos.push(IoAction::Log(said));
                    }
                    self.over(id, SetupOutcome::Withdrawn, None, now);
                }
                _ => self.over(id, SetupOutcome::Broken, Some(headers::RELEASE_CAUSE_INTERRUPTED), now),
            },
            Some(Stage::Asked { out: Some(out), .. }) if out.line == conn => {
                if let Some(line) = self.lines.get_mut(&conn) {
                    line.out.remove(&id);
                    line.is_over(id);
                }
                self.setup_ended(id, SetupOutcome::Broken, now);
            }
            // It may be handed over next.
            _ if self.is_early(id, self.early_ends.len(), now) => {
                self.early_ends.insert(id, (server, cause));
            }
            _ => {}
        }
    }
}
