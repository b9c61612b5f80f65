//! What viewers send and are owed.
use super::server_connections::Unsent;
use super::{Node, Owed, Session, Stage};
use crate::actions::{ConnectionId, IoAction};
use crate::limits;
use std::collections::{BTreeSet, VecDeque};
use walnutline::api::{Holders, Request, SetupOutcome};
use walnutline::ids::{CellId, GroupIndex, Ms, SessionId, TitleId};
use walnutline_platform::headers;
use walnutline_platform::rtsp::MessageReader;
use walnutline_platform::viewer::{self, RequestError, SetupRequest, ViewerMessage};

pub(super) struct Viewer {
    pub reader: MessageReader,
    pub since: Ms,
    /// When something whole was last read or its last set-up was answered.
    pub used: Ms,
    /// When a message began that is not whole.
    pub partial: Option<Ms>,
    /// Whether it has brought a set-up that could be taken.
    pub good: bool,
    pub spoke: bool,
    /// When it last turned out that it can't be closed yet.
    pub stays: Ms,
    /// Set-ups whose answers are owed here.
    pub open: BTreeSet<SessionId>,
    /// Releases written on it that were not heard: what is lost with it is told again.
    pub releases: VecDeque<Owed>,
}

impl Node {
    /// A viewer's connection was taken in. At the most that are held, the one that can best be done without is
    /// closed: one that never brought a set-up, then one idle for longest; one that has begun to ask comes last.
    pub fn viewer_accepted(&mut self, conn: ConnectionId, now: Ms) {
        let full = self.viewers.len() >= self.most_viewers && !self.retire_one(now);
        if full && self.viewers.len() >= self.most_viewers + limits::EXTRA_VIEWER_CONNECTIONS {
            return self.dos.push(IoAction::Close { conn });
        }
        let viewer = Viewer {
            reader: MessageReader::default(),
            since: now,
            used: now,
            partial: None,
            good: false,
            spoke: false,
            stays: Ms::NEG_INFINITY,
            open: BTreeSet::new(),
            releases: VecDeque::new(),
        };
        self.viewers.insert(conn, viewer);
    }

    /// Closes the connection that can best be done without, if there is one.
    pub(super) fn retire_one(&mut self, now: Ms) -> bool {
        let idle =
            self.viewers.iter().filter(|(_, v)| v.open.is_empty() && now - v.stays >= limits::SWEEP_INTERVAL);
        let rank = |v: &Viewer| (v.partial.is_some(), v.good);
        let victim = idle.min_by(|(_, a), (_, b)| rank(a).cmp(&rank(b)).then(a.used.total_cmp(&b.used)));
        let victim = victim.map(|(conn, _)| *conn);
        victim.into_iter().for_each(|conn| self.dos.push(IoAction::CloseIfIdle { conn }));
        victim.is_some()
    }

    /// A connection that was to be retired has something on its way: a set-up read and not yet heard would be
    /// lost with it. Another one goes instead, where room is wanted.
    pub fn connection_in_use(&mut self, conn: ConnectionId, now: Ms) {
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.stays = now;
        }
        if self.viewers.len() > self.most_viewers {
            self.retire_one(now);
        }
    }

    pub(super) fn close_viewer(&mut self, conn: ConnectionId, now: Ms) {
        self.dos.push(IoAction::Close { conn });
        self.viewer_closed(conn, now);
    }

    /// The set-ups open on a connection are given up with it.
    pub(super) fn viewer_closed(&mut self, conn: ConnectionId, now: Ms) {
        let Some(v) = self.viewers.remove(&conn) else { return };
        if !v.open.is_empty() {
            let (idle, partial) = (now - v.used, v.reader.has_partial_message());
            self.dos.push(IoAction::Log(format!(
                "viewer's connection {} ended open={} idle={idle:.0} partial={partial}",
                conn.0,
                v.open.len()
            )));
        }
        v.open.into_iter().for_each(|id| self.left(id, now));
        if self.last_good == Some(conn) {
            self.last_good = self.viewers.iter().rfind(|(_, v)| v.good).map(|(c, _)| *c);
        }
        for owed in v.releases.into_iter().filter(|o| now - o.since < limits::RELEASE_RETENTION) {
            self.write_release(owed, None);
        }
    }

    pub(super) fn viewer_bytes(&mut self, conn: ConnectionId, bytes: &[u8], at: Ms, now: Ms) {
        let Some(v) = self.viewers.get_mut(&conn) else { return };
        v.reader.push(bytes);
        loop {
            let Some(v) = self.viewers.get_mut(&conn) else { return };
            match v.reader.next_message() {
                Ok(Some(message)) => {
                    (v.spoke, v.used) = (true, now);
                    match viewer::parse_message(message) {
                        Ok(said) => self.said(conn, said, at, now),
                        Err(fault) => self.refuse(conn, &fault, 400),
                    }
                }
                Ok(None) => {
                    v.partial = v.reader.has_partial_message().then(|| v.partial.unwrap_or(at));
                    return;
                }
                Err(bad) => {
                    if v.good {
                        self.dos.push(IoAction::Log(format!("viewer's connection {}: {bad}", conn.0)));
                    }
                    let fault = RequestError { id: None, cseq: None, reason: String::new() };
                    self.refuse(conn, &fault, 400);
                    return self.close_viewer(conn, now);
                }
            }
            // What is left after a whole message is the beginning of another one.
            if let Some(v) = self.viewers.get_mut(&conn) {
                v.partial = None;
            }
        }
    }

    fn refuse(&mut self, conn: ConnectionId, fault: &RequestError, status: u16) {
        self.dos.push(IoAction::Write { conn, bytes: viewer::error_response(fault, status) });
    }

    fn said(&mut self, conn: ConnectionId, said: ViewerMessage, at: Ms, now: Ms) {
        match said {
            ViewerMessage::Setup(wanted) => {
                let (id, asks) = (wanted.id, wanted.destination.current_server.is_none());
                if let Err((why, status)) = self.wanted(conn, wanted, at, now) {
                    self.ledger.taken += u64::from(asks);
                    self.ledger.answered += u64::from(asks);
                    // Told without its id where that is another request's, which this is no answer to.
                    let id = (!self.sess.contains_key(&SessionId(id))).then_some(id);
                    self.refuse(conn, &RequestError { id, cseq: Some(1), reason: why.into() }, status);
                }
            }
            ViewerMessage::Teardown { id, cseq } => self.teardown(conn, id, cseq, now),
            ViewerMessage::Options { id, cseq } => {
                let status = if self.stopping.is_some() { 503 } else { 200 };
                self.dos.push(IoAction::Write { conn, bytes: viewer::status_response(id, cseq, status) });
            }
            ViewerMessage::TeardownResponse { id } => {
                if let Some(v) = self.viewers.get_mut(&conn) {
                    v.releases.retain(|o| Some(o.id) != id);
                }
            }
        }
    }

    /// A set-up is wanted, or a session handed over; or why it can't be taken.
    fn wanted(
        &mut self,
        conn: ConnectionId,
        w: SetupRequest,
        at: Ms,
        now: Ms,
    ) -> Result<(), (&'static str, u16)> {
        let group = self.told.classes.iter().position(|c| *c == w.class).ok_or(("class", 400))?;
        let d = &w.destination;
        let in_range = d.home_cell < self.told.cell_count
            && (1..=self.told.cell_count).contains(&d.copies)
            && usize::from(d.top_rung) < self.told.rung_count;
        if !in_range {
            return Err(("figures", 400));
        }
        let id = SessionId(w.id);
        let request = Request {
            group: GroupIndex(group as u16),
            title: TitleId(w.title),
            holders: Holders::Cells { first: CellId(d.home_cell), count: d.copies },
            rates_kb_per_s: None,
            highest_rung: d.top_rung,
            // What passed since it was read counts against its viewer's time.
            time_left: w.wait_limit_ms - (now - at),
        };
        if let Some(name) = &w.destination.current_server {
            let server = self.by_name.get(name).copied();
            self.handed_over(conn, id, server, request, now);
            return Ok(());
        }
        if w.wait_limit_ms > limits::MAX_WAIT_FACTOR * self.told.max_viewer_wait_ms {
            return Err(("time", 400));
        }
        if self.sess.contains_key(&id) {
            return self.asked_again(conn, id, &w);
        }
        let Some(v) = self.viewers.get_mut(&conn) else { return Ok(()) };
        if v.open.len() >= limits::MAX_OPEN_SETUPS_PER_VIEWER {
            return Err(("too many at once", 503));
        }
        v.open.insert(id);
        v.good = true;
        self.last_good = Some(conn);
        self.ledger.taken += 1;
        let stage = Stage::Asked { from: conn, wanted: Box::new(w), out: None };
        self.sess.insert(id, Session { stage, setups: 0, until: now });
        self.desk.add_request(id, request, now, &mut self.actions);
        self.hand_out_owed(conn);
        Ok(())
    }

    /// A set-up under an id that is in hand. The same one on another connection is that of a viewer whose
    /// first connection ended before it was answered: its answer goes where it asked last. Anything else is
    /// another's.
    fn asked_again(
        &mut self,
        conn: ConnectionId,
        id: SessionId,
        w: &SetupRequest,
    ) -> Result<(), (&'static str, u16)> {
        let stage = self.sess.get_mut(&id).map(|s| &mut s.stage);
        let Some(Stage::Asked { from, wanted, .. }) = stage else {
            return Err(("id of another request", 400));
        };
        let same = wanted.title == w.title && wanted.class == w.class && wanted.destination == w.destination;
        if *from == conn || !same || wanted.description != w.description {
            return Err(("id of another request", 400));
        }
        let before = std::mem::replace(from, conn);
        if let Some(v) = self.viewers.get_mut(&before) {
            v.open.remove(&id);
        }
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.open.insert(id);
            v.good = true;
            self.last_good = Some(conn);
        }
        Ok(())
    }

    /// A session that plays at a server already; it may be one that this node holds.
    fn handed_over(
        &mut self,
        conn: ConnectionId,
        id: SessionId,
        server: Option<walnutline::ids::ServerId>,
        request: Request,
        now: Ms,
    ) {
        if self.sess.contains_key(&id) {
            return;
        }
        if let Some(v) = self.viewers.get_mut(&conn) {
            v.good = true;
            self.last_good = Some(conn);
        }
        let Some((server, s)) = server.and_then(|server| Some((server, self.servers.get_mut(&server)?)))
        else {
            // Its server is not there any more, and so is it.
            return self.release(id.0, Some(conn), headers::RELEASE_CAUSE_INTERRUPTED, now);
        };
        if let Some((_, cause)) = self.early_ends.remove(&id).filter(|(at, _)| *at == server) {
            // Its end was told before it was handed over, and is not told again.
            return match cause {
                Some(headers::RELEASE_CAUSE_WITHDRAWN) => {}
                Some(headers::RELEASE_CAUSE_ENDED) => {
                    self.release(id.0, Some(conn), headers::RELEASE_CAUSE_ENDED, now)
                }
                _ => self.release(id.0, Some(conn), headers::RELEASE_CAUSE_INTERRUPTED, now),
            };
        }
        s.standing.insert(id);
        let stage = Stage::Stands { from: Some(conn), server, since: now };
        self.sess.insert(id, Session { stage, setups: 0, until: now });
        self.desk.add_running_session(id, request, server, now);
        if let Some(rung) = self.early_rungs.remove(&id) {
            self.desk.set_rung(id, rung);
        }
        self.keep_up(server, now);
    }

    /// A viewer gives a set-up up, or ends its session.
    fn teardown(&mut self, conn: ConnectionId, id: u64, cseq: Option<u32>, now: Ms) {
        let sess = SessionId(id);
        let status = match self.sess.get(&sess).map(|s| &s.stage) {
            Some(Stage::Asked { from, .. }) if *from == conn => {
                if let Some(v) = self.viewers.get_mut(&conn) {
                    v.open.remove(&sess);
                }
                self.left(sess, now);
                200
            }
            Some(Stage::Stands { server, .. }) => {
                let server = *server;
                self.tell_server(server, sess, Unsent::Release, now);
                self.over(sess, SetupOutcome::Withdrawn, None, now);
                200
            }
            _ => 454,
        };
        self.dos.push(IoAction::Write { conn, bytes: viewer::status_response(Some(id), cseq, status) });
    }

    /// No answer is owed any more: its SETUP, if one is out, is given up.
    pub(super) fn left(&mut self, id: SessionId, now: Ms) {
        let Some(Session { stage: Stage::Asked { out, .. }, .. }) = self.sess.remove(&id) else { return };
        self.ledger.given_up += 1;
        self.desk.viewer_left(id);
        if let Some(out) = out {
            self.give_up(id, out);
            let ending = if out.written { SetupOutcome::Withdrawn } else { SetupOutcome::NeverSent };
            self.desk.after_outcome(id, ending, true, now, &mut self.actions);
        }
    }

    /// Tells a viewer that its session is over: on the connection of its set-up, else on one that has brought
    /// set-ups, else as soon as there is one.
    pub(super) fn release(&mut self, id: u64, from: Option<ConnectionId>, cause: u32, now: Ms) {
        self.write_release(Owed { id, cause, since: now }, from);
    }

    fn write_release(&mut self, owed: Owed, from: Option<ConnectionId>) {
        let open = from.filter(|c| self.viewers.contains_key(c)).or(self.last_good);
        match open.and_then(|c| Some((c, self.viewers.get_mut(&c)?))) {
            Some((conn, v)) => {
                self.dos.push(IoAction::Write { conn, bytes: viewer::release_request(owed.id, owed.cause) });
                v.releases.retain(|o| owed.since - o.since < limits::RELEASE_RETENTION);
                v.releases.truncate(limits::MAX_PENDING_RELEASES - 1);
                v.releases.push_back(owed);
            }
            None => {
                if self.owed.len() >= limits::MAX_PENDING_RELEASES {
                    self.owed.pop_front();
                }
                self.owed.push_back(owed);
            }
        }
    }

    fn hand_out_owed(&mut self, conn: ConnectionId) {
        while let Some(o) = self.owed.pop_front() {
            self.write_release(o, Some(conn));
        }
    }
}
