//! Viewers' connections: their messages, the answers to them, and releases of sessions.
use super::server_connections::SessionMessage;
use super::{Node, PendingRelease, Session, Stage};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use crate::request_log::RequestEvent;
use std::collections::{BTreeSet, VecDeque};
use walnutline::api::{Holders, Request, SetupOutcome};
use walnutline::ids::{CellId, GroupIndex, Ms, SessionId, TitleId};
use walnutline_platform::headers;
use walnutline_platform::rtsp::MessageReader;
use walnutline_platform::viewer::{self, RequestError, SetupRequest, ViewerMessage};

/// A viewer's connection.
pub(super) struct Viewer {
    pub reader: MessageReader,
    pub accepted_at: Ms,
    /// When the last complete message was read or the last set-up was answered.
    pub last_used_at: Ms,
    /// When a message began that is not complete yet.
    pub partial_since: Option<Ms>,
    /// Whether it has brought a valid set-up.
    pub has_sent_setup: bool,
    pub has_sent_message: bool,
    /// Whether it has brought a request that was rejected as invalid.
    pub has_sent_invalid: bool,
    /// Whether the viewer has left, though not all that it sent has been read.
    pub has_left: bool,
    /// When the edge last declined to close it.
    pub found_in_use_at: Ms,
    /// Set-ups to be answered on it.
    pub open_setups: BTreeSet<SessionId>,
    /// Releases written but not confirmed: they are sent again if the connection is lost.
    pub unconfirmed_releases: VecDeque<PendingRelease>,
}

/// How much a viewer's connection without open set-ups matters, least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It has brought invalid requests, and never a valid set-up.
    Invalid,
    /// Its viewer has left, though not all that it sent has been read.
    Left,
    /// It has brought nothing yet.
    Silent,
    /// It has brought a set-up, and nothing since its last message.
    Idle,
    /// A message has begun: the first one, or one of a viewer that has brought a set-up.
    Receiving,
}

impl Viewer {
    fn standing(&self) -> Standing {
        match (self.has_sent_setup, self.partial_since.is_some()) {
            (false, _) if self.has_sent_invalid => Standing::Invalid,
            _ if self.has_left => Standing::Left,
            (_, true) => Standing::Receiving,
            (true, false) => Standing::Idle,
            (false, false) => Standing::Silent,
        }
    }
}

impl Node {
    /// Handles a new connection of a viewer. At the limit, the connection that matters least is closed, by its
    /// [`Standing`] and then by the time since its last use.
    pub fn viewer_accepted(&mut self, conn: ConnectionId, now: Ms) {
        let full = self.viewers.len() >= self.max_viewer_connections && !self.close_least_used_viewer(now);
        if full && self.viewers.len() >= self.max_viewer_connections + limits::EXTRA_VIEWER_CONNECTIONS {
            return self.io_actions.push(IoAction::Close { conn });
        }
        let viewer = Viewer {
            reader: MessageReader::default(),
            accepted_at: now,
            last_used_at: now,
            partial_since: None,
            has_sent_setup: false,
            has_sent_message: false,
            has_sent_invalid: false,
            has_left: false,
            found_in_use_at: Ms::NEG_INFINITY,
            open_setups: BTreeSet::new(),
            unconfirmed_releases: VecDeque::new(),
        };
        self.viewers.insert(conn, viewer);
    }

    /// Closes the connection that matters least, and returns whether there was one. The edge is asked to close it unless
    /// data is on its way, as a set-up may be in it. None is expected of a client that brings invalid requests alone, or of
    /// a viewer that has left.
    pub(super) fn close_least_used_viewer(&mut self, now: Ms) -> bool {
        let idle = self
            .viewers
            .iter()
            .filter(|(_, v)| v.open_setups.is_empty() && now - v.found_in_use_at >= limits::SWEEP_INTERVAL);
        let victim = idle.min_by(|(_, a), (_, b)| {
            a.standing().cmp(&b.standing()).then(a.last_used_at.total_cmp(&b.last_used_at))
        });
        let Some((conn, standing)) = victim.map(|(conn, v)| (*conn, v.standing())) else { return false };
        match standing {
            Standing::Invalid | Standing::Left => self.close_viewer_connection(conn, now),
            _ => self.io_actions.push(IoAction::CloseIfIdle { conn }),
        }
        true
    }

    /// Handles the edge's refusal to close a connection, which has data on its way: a set-up received but not
    /// yet read would be lost with it. Above the limit, another one is closed instead.
    pub fn connection_in_use(&mut self, conn: ConnectionId, now: Ms) {
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.found_in_use_at = now;
        }
        if self.viewers.len() > self.max_viewer_connections {
            self.close_least_used_viewer(now);
        }
    }

    pub(super) fn close_viewer_connection(&mut self, conn: ConnectionId, now: Ms) {
        self.io_actions.push(IoAction::Close { conn });
        self.viewer_connection_closed(conn, now);
    }

    /// Cancels the set-ups that were open on a connection, and sends its unconfirmed releases on another.
    pub(super) fn viewer_connection_closed(&mut self, conn: ConnectionId, now: Ms) {
        self.withdraw_viewer(conn, now);
        self.viewers.remove(&conn);
    }

    /// Handles the news that a viewer has closed its connection, of which not all has been read yet. What is still read
    /// from it counts only as far as it concerns sessions.
    pub fn viewer_left(&mut self, conn: ConnectionId, now: Ms) {
        self.withdraw_viewer(conn, now);
        self.process_engine_actions(now);
    }

    /// Cancels the set-ups that are open on a connection, and sends its unconfirmed releases on another.
    fn withdraw_viewer(&mut self, conn: ConnectionId, now: Ms) {
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        viewer.has_left = true;
        let open_setups = std::mem::take(&mut viewer.open_setups);
        let releases = std::mem::take(&mut viewer.unconfirmed_releases);
        if !open_setups.is_empty() {
            let (idle_ms, partial) = (now - viewer.last_used_at, viewer.reader.has_partial_message());
            self.io_actions.push(IoAction::Log(format!(
                "viewer's connection {} ended open={} idle={idle_ms:.0} partial={partial}",
                conn.0,
                open_setups.len()
            )));
        }
        open_setups.into_iter().for_each(|id| self.cancel_request(id, now));
        if self.last_setup_conn == Some(conn) {
            let mut others = self.viewers.iter().filter(|(_, v)| v.has_sent_setup && !v.has_left);
            self.last_setup_conn = others.next_back().map(|(other, _)| *other);
        }
        for release in releases.into_iter().filter(|r| now - r.created_at < limits::RELEASE_RETENTION) {
            self.write_release(release, None);
        }
    }

    pub(super) fn viewer_bytes_received(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        received_at: Ms,
        now: Ms,
    ) {
        let Some(viewer) = self.viewers.get_mut(&conn) else { return };
        viewer.reader.push(bytes);
        loop {
            let Some(viewer) = self.viewers.get_mut(&conn) else { return };
            match viewer.reader.next_message() {
                Ok(Some(message)) => {
                    (viewer.has_sent_message, viewer.last_used_at) = (true, now);
                    match viewer::parse_message(message) {
                        Ok(message) => self.handle_viewer_message(conn, message, received_at, now),
                        Err(error) => self.send_error(conn, &error, 400),
                    }
                }
                Ok(None) => {
                    viewer.partial_since = viewer
                        .reader
                        .has_partial_message()
                        .then(|| viewer.partial_since.unwrap_or(received_at));
                    return;
                }
                Err(parse_error) => {
                    if viewer.has_sent_setup {
                        self.io_actions
                            .push(IoAction::Log(format!("viewer's connection {}: {parse_error}", conn.0)));
                    }
                    let error = RequestError { id: None, cseq: None, reason: String::new() };
                    self.send_error(conn, &error, 400);
                    return self.close_viewer_connection(conn, now);
                }
            }
            // Bytes left after a complete message belong to another one.
            if let Some(viewer) = self.viewers.get_mut(&conn) {
                viewer.partial_since = None;
            }
        }
    }

    fn send_error(&mut self, conn: ConnectionId, error: &RequestError, status: u16) {
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.has_sent_invalid = true;
        }
        self.io_actions.push(IoAction::Write { conn, bytes: viewer::error_response(error, status) });
    }

    fn handle_viewer_message(
        &mut self,
        conn: ConnectionId,
        message: ViewerMessage,
        received_at: Ms,
        now: Ms,
    ) {
        match message {
            ViewerMessage::Setup(request) => {
                let (id, is_new) = (request.id, request.destination.current_server.is_none());
                if let Err((reason, status)) = self.handle_setup(conn, request, received_at, now) {
                    self.request_counts.taken += u64::from(is_new);
                    self.request_counts.answered += u64::from(is_new);
                    // Without the id if another request has it: this is no answer to that one.
                    let id = (!self.sessions.contains_key(&SessionId(id))).then_some(id);
                    self.send_error(conn, &RequestError { id, cseq: Some(1), reason: reason.into() }, status);
                }
            }
            ViewerMessage::Teardown { id, cseq } => self.handle_viewer_teardown(conn, id, cseq, now),
            ViewerMessage::Options { id, cseq } => {
                let status = if self.stop_requested_at.is_some() { 503 } else { 200 };
                self.io_actions
                    .push(IoAction::Write { conn, bytes: viewer::status_response(id, cseq, status) });
            }
            ViewerMessage::TeardownResponse { id } => {
                if let Some(viewer) = self.viewers.get_mut(&conn) {
                    viewer.unconfirmed_releases.retain(|r| Some(r.id) != id);
                }
            }
        }
    }

    /// Takes a new request or the hand-over of a session, or returns the reason and the status of its
    /// rejection.
    fn handle_setup(
        &mut self,
        conn: ConnectionId,
        setup_request: SetupRequest,
        received_at: Ms,
        now: Ms,
    ) -> Result<(), (&'static str, u16)> {
        let group = self
            .configuration
            .classes
            .iter()
            .position(|c| *c == setup_request.class)
            .ok_or(("class", 400))?;
        let destination = &setup_request.destination;
        let in_range = destination.home_cell < self.configuration.cell_count
            && (1..=self.configuration.cell_count).contains(&destination.copies)
            && usize::from(destination.top_rung) < self.configuration.rung_count;
        if !in_range {
            return Err(("figures", 400));
        }
        let id = SessionId(setup_request.id);
        let request = Request {
            group: GroupIndex(group as u16),
            title: TitleId(setup_request.title),
            holders: Holders::Cells { first: CellId(destination.home_cell), count: destination.copies },
            rates_kb_per_s: None,
            highest_rung: destination.top_rung,
            // The time since the request was received counts towards its viewer's wait.
            time_left: setup_request.wait_limit_ms - (now - received_at),
        };
        if let Some(name) = &setup_request.destination.current_server {
            let server_id = self.servers_by_name.get(name).copied();
            return self.take_over_session(conn, id, server_id, request, now);
        }
        if setup_request.wait_limit_ms > limits::MAX_WAIT_FACTOR * self.configuration.max_viewer_wait_ms {
            return Err(("time", 400));
        }
        if self.viewers.get(&conn).is_none_or(|viewer| viewer.has_left) {
            self.request_counts.taken += 1;
            self.request_counts.given_up += 1;
            return Ok(());
        }
        if self.sessions.contains_key(&id) {
            return self.move_request(conn, id, &setup_request);
        }
        let Some(viewer) = self.viewers.get_mut(&conn) else { return Ok(()) };
        if viewer.open_setups.len() >= limits::MAX_OPEN_SETUPS_PER_VIEWER {
            return Err(("too many at once", 503));
        }
        viewer.open_setups.insert(id);
        viewer.has_sent_setup = true;
        self.last_setup_conn = Some(conn);
        self.request_counts.taken += 1;
        let stage = Stage::Pending { viewer_conn: conn, request: Box::new(setup_request), setup: None };
        let session = Session { stage, taken_at: received_at, setup_count: 0, setup_deadline: now };
        self.sessions.insert(id, session);
        let time_left = request.time_left;
        self.log_request(id, |_| RequestEvent::Taken { conn, time_left });
        self.engine.add_request(id, request, now, &mut self.engine_actions);
        self.write_pending_releases(conn);
        Ok(())
    }

    /// Handles a set-up whose id is in use. If the same request is pending on another connection, its viewer
    /// has lost that one and repeats it: the answer goes to the new connection. Anything else is another
    /// viewer's and is rejected.
    fn move_request(
        &mut self,
        conn: ConnectionId,
        id: SessionId,
        repeated: &SetupRequest,
    ) -> Result<(), (&'static str, u16)> {
        let stage = self.sessions.get_mut(&id).map(|s| &mut s.stage);
        let Some(Stage::Pending { viewer_conn, request, .. }) = stage else {
            return Err(("id of another request", 400));
        };
        let same = request.title == repeated.title
            && request.class == repeated.class
            && request.destination == repeated.destination;
        if *viewer_conn == conn || !same || request.description != repeated.description {
            return Err(("id of another request", 400));
        }
        let previous_conn = std::mem::replace(viewer_conn, conn);
        if let Some(viewer) = self.viewers.get_mut(&previous_conn) {
            viewer.open_setups.remove(&id);
        }
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.open_setups.insert(id);
            viewer.has_sent_setup = true;
            self.last_setup_conn = Some(conn);
        }
        Ok(())
    }

    /// Takes over a session that plays on a server already, unless this node has it. Rejects more sessions than any
    /// server can play: they don't exist.
    fn take_over_session(
        &mut self,
        conn: ConnectionId,
        id: SessionId,
        server_id: Option<walnutline::ids::ServerId>,
        request: Request,
        now: Ms,
    ) -> Result<(), (&'static str, u16)> {
        if self.sessions.contains_key(&id) {
            return Ok(());
        }
        if let Some(viewer) = self.viewers.get_mut(&conn) {
            viewer.has_sent_setup = true;
            self.last_setup_conn = Some(conn).filter(|_| !viewer.has_left).or(self.last_setup_conn);
        }
        let Some((server_id, server)) =
            server_id.and_then(|server_id| Some((server_id, self.servers.get_mut(&server_id)?)))
        else {
            // The session ended with its server.
            self.release_viewer(id.0, Some(conn), headers::RELEASE_CAUSE_INTERRUPTED, now);
            return Ok(());
        };
        if let Some((_, cause)) = self.early_ends.remove(&id).filter(|(at, _)| *at == server_id) {
            // The server has reported the session's end already and does not report it again.
            match cause {
                Some(headers::RELEASE_CAUSE_WITHDRAWN) => {}
                Some(headers::RELEASE_CAUSE_ENDED) => {
                    self.release_viewer(id.0, Some(conn), headers::RELEASE_CAUSE_ENDED, now)
                }
                _ => self.release_viewer(id.0, Some(conn), headers::RELEASE_CAUSE_INTERRUPTED, now),
            }
            return Ok(());
        }
        if server.sessions.len() as f64 >= self.engine.max_streams_of_a_server() {
            return Err(("more sessions than a server can play", 400));
        }
        server.sessions.insert(id);
        let stage =
            Stage::Playing { viewer_conn: Some(conn), server: server_id, server_conn: None, since: now };
        self.sessions.insert(id, Session { stage, taken_at: now, setup_count: 0, setup_deadline: now });
        self.engine.add_running_session(id, request, server_id, now);
        if let Some(rung) = self.early_rungs.remove(&id) {
            self.engine.set_rung(id, rung);
        }
        self.ensure_connection(server_id, now);
        Ok(())
    }

    /// Handles a viewer's teardown, which cancels its request or ends its session.
    fn handle_viewer_teardown(&mut self, conn: ConnectionId, id: u64, cseq: Option<u32>, now: Ms) {
        let session_id = SessionId(id);
        let status = match self.sessions.get(&session_id).map(|s| &s.stage) {
            Some(Stage::Pending { viewer_conn, .. }) if *viewer_conn == conn => {
                if let Some(viewer) = self.viewers.get_mut(&conn) {
                    viewer.open_setups.remove(&session_id);
                }
                self.cancel_request(session_id, now);
                200
            }
            Some(Stage::Playing { server, .. }) => {
                let server_id = *server;
                self.send_to_server(server_id, session_id, SessionMessage::Release, now);
                self.end_session(session_id, SetupOutcome::Withdrawn, None, now);
                200
            }
            _ => 454,
        };
        self.io_actions
            .push(IoAction::Write { conn, bytes: viewer::status_response(Some(id), cseq, status) });
    }

    /// Cancels a request that needs no answer any more, with its pending SETUP.
    pub(super) fn cancel_request(&mut self, id: SessionId, now: Ms) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let Stage::Pending { setup, .. } = session.stage else { return };
        self.request_counts.given_up += 1;
        let (age, setups) = (now - session.taken_at, session.setup_count);
        self.log_request(id, |_| RequestEvent::Cancelled { age, setups });
        self.engine.viewer_left(id);
        if let Some(setup) = setup {
            self.cancel_setup(id, setup, now);
            let outcome = if setup.sent { SetupOutcome::Withdrawn } else { SetupOutcome::NeverSent };
            self.engine.after_outcome(id, outcome, true, now, &mut self.engine_actions);
        }
    }

    /// Tells a viewer that its session has ended: on the connection of its set-up, else on the one that last
    /// brought a set-up, else as soon as there is one.
    pub(super) fn release_viewer(&mut self, id: u64, viewer_conn: Option<ConnectionId>, cause: u32, now: Ms) {
        self.write_release(PendingRelease { id, cause, created_at: now }, viewer_conn);
    }

    fn write_release(&mut self, release: PendingRelease, viewer_conn: Option<ConnectionId>) {
        let is_open = |conn: &ConnectionId| self.viewers.get(conn).is_some_and(|v| !v.has_left);
        let open_conn = viewer_conn.filter(is_open).or(self.last_setup_conn);
        match open_conn.and_then(|c| Some((c, self.viewers.get_mut(&c)?))) {
            Some((conn, viewer)) => {
                self.io_actions.push(IoAction::Write {
                    conn,
                    bytes: viewer::release_request(release.id, release.cause),
                });
                viewer
                    .unconfirmed_releases
                    .retain(|r| release.created_at - r.created_at < limits::RELEASE_RETENTION);
                viewer.unconfirmed_releases.truncate(limits::MAX_PENDING_RELEASES - 1);
                viewer.unconfirmed_releases.push_back(release);
            }
            None => {
                if self.pending_releases.len() >= limits::MAX_PENDING_RELEASES {
                    self.pending_releases.pop_front();
                }
                self.pending_releases.push_back(release);
            }
        }
    }

    /// Sends the releases that have waited for a viewer's connection.
    fn write_pending_releases(&mut self, conn: ConnectionId) {
        while let Some(release) = self.pending_releases.pop_front() {
            self.write_release(release, Some(conn));
        }
    }
}
