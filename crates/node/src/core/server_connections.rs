//! Connections to servers: which one a message goes out on, and what the end of each proves.
use super::{Due, Node, Out, Stage};
use crate::actions::{ConnectionEnd, ConnectionId, IoAction};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use walnutline::api::SetupOutcome;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId, SessionId};
use walnutline_desk::backoff::Backoff;
use walnutline_platform::headers;
use walnutline_platform::rtsp::MessageReader;
use walnutline_platform::server;

pub(super) struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub listing: ServerState,
    pub started: Option<Ms>,
    pub lines: Vec<ConnectionId>,
    /// Sessions that stand there.
    pub standing: BTreeSet<SessionId>,
    /// Messages on sessions there that wait for a connection: the last one of each.
    pub unsent: BTreeMap<SessionId, Unsent>,
    /// When it last said something, here or to another node.
    pub heard: Ms,
    /// When it last said something here.
    pub said: Ms,
    /// When the connection was opened that was last heard on: its process is at least as old.
    pub process: Ms,
    /// When a connection to it last ended, or did not come up.
    pub broke: Ms,
    /// When one was last closed for want of room.
    pub parted: Ms,
    /// Connections in a row that did not come up.
    pub fails: u32,
    pub retry: Backoff,
}

/// A message on a session that waits for a connection to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unsent {
    Rung(u8),
    /// It is to end.
    Release,
}

/// What a test is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Test {
    /// The module asked.
    Probe,
    /// It has not been heard for long.
    There,
}

pub(super) struct Line {
    pub server: ServerId,
    pub up: bool,
    pub reader: MessageReader,
    pub partial: Option<Ms>,
    /// SETUPs that are out on it, or wait for it to open.
    pub out: BTreeSet<SessionId>,
    pub tests: BTreeMap<u64, Test>,
    /// Tests that wait for it to open.
    pub probes: u32,
    /// Set-ups that are over, given up or refused: a good answer that still comes is released.
    pub given_up: VecDeque<SessionId>,
    /// Releases written on it that were not heard: what is lost with it is sent again.
    pub releases: VecDeque<(Ms, SessionId)>,
    /// When it began to be opened.
    pub opened: Ms,
    pub used: Ms,
}

impl Server {
    /// Whether a connection is wanted: something stands there, or is still to be told. One that could not be
    /// opened is not tried again for the latter alone: what is to be told goes out on the next one that is
    /// opened.
    pub fn is_needed(&self) -> bool {
        !self.standing.is_empty() || !self.unsent.is_empty() && self.fails == 0
    }

    /// Releases that were not heard on a connection that is over go out on the next one.
    fn keep_unheard(&mut self, releases: VecDeque<(Ms, SessionId)>, now: Ms) {
        for (_, id) in releases.into_iter().filter(|(at, _)| now - at < limits::RELEASE_RETENTION) {
            self.unsent.entry(id).or_insert(Unsent::Release);
        }
    }
}

impl Line {
    pub fn is_over(&mut self, id: SessionId) {
        if self.given_up.len() >= limits::MAX_ENDED_SETUPS {
            self.given_up.pop_front();
        }
        self.given_up.push_back(id);
    }
}

impl Node {
    // ---- opening and closing ----

    fn connect(&mut self, server: ServerId, now: Ms) -> Option<ConnectionId> {
        if self.lines.len() >= self.most_lines && !self.make_room(now) {
            return None;
        }
        let address = self.servers.get(&server)?.address;
        let conn = self.new_connection_id();
        self.servers.get_mut(&server)?.lines.push(conn);
        let line = Line {
            server,
            up: false,
            reader: MessageReader::default(),
            partial: None,
            out: BTreeSet::new(),
            tests: BTreeMap::new(),
            probes: 0,
            given_up: VecDeque::new(),
            releases: VecDeque::new(),
            opened: now,
            used: now,
        };
        self.lines.insert(conn, line);
        self.timers.schedule(now + self.told.connect_timeout_ms, Due::Connecting { conn });
        self.dos.push(IoAction::Connect { conn, address });
        Some(conn)
    }

    /// With as many connections as there is room for, the one that can best be done without is closed: of those with
    /// nothing out, one where no session stands, then the one longest unused. What a server tells of a session
    /// waits for the next connection; the sweep sees to it that there is one in time.
    fn make_room(&mut self, now: Ms) -> bool {
        let stands = |l: &Line| self.servers.get(&l.server).is_some_and(|s| !s.standing.is_empty());
        let idle = self.lines.iter().filter(|(_, l)| l.up && l.out.is_empty() && l.tests.is_empty());
        let victim = idle.min_by(|(_, a), (_, b)| stands(a).cmp(&stands(b)).then(a.used.total_cmp(&b.used)));
        let Some((conn, server)) = victim.map(|(conn, l)| (*conn, l.server)) else { return false };
        self.let_go(conn, server, now);
        true
    }

    /// Closes a connection that is well: nothing is proved by its end.
    fn let_go(&mut self, conn: ConnectionId, server: ServerId, now: Ms) {
        let releases = self.lines.remove(&conn).map(|line| line.releases).unwrap_or_default();
        self.dos.push(IoAction::Close { conn });
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.lines.retain(|c| *c != conn);
        s.parted = now;
        match s.lines.iter().copied().find(|c| self.lines.get(c).is_some_and(|l| l.up)) {
            None => s.keep_unheard(releases, now),
            Some(other) => {
                let young = releases.into_iter().filter(|(at, _)| now - at < limits::RELEASE_RETENTION);
                young.for_each(|(_, id)| self.write_to_server(other, id, Unsent::Release, now));
            }
        }
    }

    /// Sees to it that a server has a connection, or one that is being opened.
    pub(super) fn keep_up(&mut self, server: ServerId, now: Ms) {
        if self.servers.get(&server).is_some_and(|s| s.lines.is_empty() && s.listing != ServerState::Gone) {
            self.connect(server, now);
        }
    }

    /// A connection came up.
    pub fn server_connected(&mut self, conn: ConnectionId, now: Ms) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        (line.up, line.used) = (true, now);
        let (server, waiting, probes) = (line.server, line.out.clone(), std::mem::take(&mut line.probes));
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.fails = 0;
        s.retry.reset();
        // Connections reset, and taken again at once: a process that ends is gone for longer. What another node
        // heard may be the new one already.
        if now - s.said < limits::MIN_PROCESS_RESTART_TIME {
            self.desk.confirm_alive(server, Ms::NEG_INFINITY);
        }
        // It was to tell whether a silent machine is there, and has told: a process that stands still for long
        // would else gather one more with each test.
        // An older one goes, as a server sends what may have been lost on the one that is opened last.
        if s.lines.len() > limits::MAX_CONNECTIONS_PER_SERVER && waiting.is_empty() && probes == 0 {
            let idle = s.lines.iter().filter_map(|c| Some((c, self.lines.get(c)?)));
            let idle = idle.filter(|(c, l)| {
                **c != conn && l.up && l.out.is_empty() && l.tests.values().all(|t| *t == Test::There)
            });
            let oldest = idle.min_by(|(_, a), (_, b)| a.used.total_cmp(&b.used)).map(|(c, _)| *c);
            // Not as one that broke: no other one is opened for it.
            self.let_go(oldest.unwrap_or(conn), server, now);
            if oldest.is_none() {
                return;
            }
        }
        let Some(s) = self.servers.get_mut(&server) else { return };
        for (id, unsent) in std::mem::take(&mut s.unsent) {
            self.write_to_server(conn, id, unsent, now);
        }
        waiting.into_iter().for_each(|id| self.ready_setup(id));
        (0..probes).for_each(|_| self.test(conn, Test::Probe, now));
        self.settle(now);
    }

    pub(super) fn close_line(&mut self, conn: ConnectionId, now: Ms) {
        self.dos.push(IoAction::Close { conn });
        self.line_closed(conn, ConnectionEnd::Closed, now);
    }

    pub(super) fn line_closed(&mut self, conn: ConnectionId, end: ConnectionEnd, now: Ms) {
        let Some(line) = self.lines.remove(&conn) else { return };
        let server = line.server;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.lines.retain(|c| *c != conn);
        s.broke = now;
        if !line.up && end != ConnectionEnd::Unopened {
            s.fails += 1;
        }
        if line.up {
            s.keep_unheard(line.releases, now);
        }
        // Nobody listens, and no other connection is open, which would be reset: its process is gone, and what stood
        // there is cut. A machine that takes no new connection
        // and says nothing on an old one is gone as well. One that is gone from the list is not asked again: its
        // address may be another's.
        let silent =
            now - s.heard > limits::PING_AFTER_SILENCE && s.fails > 0 && end != ConnectionEnd::Unopened;
        let gone = s.listing == ServerState::Gone && s.lines.is_empty();
        let others = s.lines.iter().any(|c| self.lines.get(c).is_some_and(|l| l.up));
        if end == ConnectionEnd::Refused && !others {
            s.unsent.clear();
        }
        if end == ConnectionEnd::Refused && !others || !line.up && silent || gone {
            self.cut(server, now);
        } else if self.servers[&server].is_needed() {
            if line.up {
                // What the server sent on it may be lost; releases are sent again on the next one opened.
                self.connect(server, now);
            } else if let Some(s) = self.servers.get_mut(&server) {
                let wait = s.retry.next_delay(&mut self.rng);
                self.timers.schedule(now + wait, Due::Reconnect { server });
            }
        }
        let ending = match (line.up, end) {
            (true, _) => SetupOutcome::Broken,
            (false, ConnectionEnd::Unopened) => SetupOutcome::NeverSent,
            (false, _) => SetupOutcome::NoConnection,
        };
        for id in line.out {
            let written = matches!(self.sess.get(&id).map(|s| &s.stage), Some(Stage::Asked { out: Some(out), .. }) if out.written);
            self.setup_ended(id, if line.up && !written { SetupOutcome::NeverSent } else { ending }, now);
        }
        let probes = line.tests.values().filter(|t| **t == Test::Probe).count() as u32 + line.probes;
        (0..probes).for_each(|_| self.desk.probe_finished(server, ending, now));
    }

    /// All that stood at a server is over.
    pub(super) fn cut(&mut self, server: ServerId, now: Ms) {
        self.cut_before(server, Ms::INFINITY, now);
    }

    /// All that stood at a server before that time is over.
    pub(super) fn cut_before(&mut self, server: ServerId, then: Ms, now: Ms) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let sess = &self.sess;
        let old = |id: &SessionId| match sess.get(id).map(|s| &s.stage) {
            Some(Stage::Stands { since, .. }) => *since < then,
            _ => true,
        };
        let standing: Vec<SessionId> = s.standing.iter().copied().filter(old).collect();
        for id in &standing {
            s.standing.remove(id);
            s.unsent.remove(id);
        }
        if !standing.is_empty() {
            self.dos.push(IoAction::Log(format!("server {} gone: {} sessions cut", s.name, standing.len())));
        }
        standing.into_iter().for_each(|id| {
            self.over(id, SetupOutcome::Broken, Some(headers::RELEASE_CAUSE_INTERRUPTED), now)
        });
    }

    // ---- what goes out ----

    pub(super) fn setup(&mut self, id: SessionId, server: ServerId, timeout: Ms, now: Ms) {
        let Some(sess) = self.sess.get_mut(&id) else { return };
        let Stage::Asked { out, .. } = &mut sess.stage else { return };
        debug_assert!(out.is_none(), "two SETUPs out for {id:?}");
        let Some(s) = self.servers.get(&server) else {
            return self.setup_ended(id, SetupOutcome::NoConnection, now);
        };
        // One with nothing out on it, else a new one, else the one with least.
        let load = |c: &ConnectionId| self.lines.get(c).map_or((true, usize::MAX), |l| (!l.up, l.out.len()));
        // Not one on which an earlier SETUP of this session was given up: the answer to that one may still come, and
        // would be taken for this one's.
        let first = sess.setups == 0;
        let other = |c: &ConnectionId| first || self.lines.get(c).is_none_or(|l| !l.given_up.contains(&id));
        let best = s.lines.iter().copied().filter(other).min_by_key(load);
        let free = best.filter(|c| load(c).1 == 0);
        let room = best.is_none()
            || s.lines.len() < limits::MAX_CONNECTIONS_PER_SERVER && self.lines.len() < self.most_lines;
        let Some(conn) = free.or_else(|| if room { self.connect(server, now) } else { best }) else {
            // No room here: that is not the server's fault.
            return self.setup_ended(id, SetupOutcome::NeverSent, now);
        };
        let Some(sess) = self.sess.get_mut(&id) else { return };
        sess.setups += 1;
        sess.until = now + timeout;
        let no = sess.setups;
        if let Stage::Asked { out, .. } = &mut sess.stage {
            *out = Some(Out { server, line: conn, no, written: false });
        }
        self.timers.schedule(now + timeout, Due::Setup { id, no });
        if let Some(line) = self.lines.get_mut(&conn) {
            line.out.insert(id);
            if line.up {
                self.ready_setup(id);
            }
        }
    }

    /// A SETUP is ready to go out. What is still unheard of its viewer comes first: it may have gone.
    fn ready_setup(&mut self, id: SessionId) {
        if let Some(Stage::Asked { out: Some(out), .. }) = self.sess.get(&id).map(|s| &s.stage) {
            self.dos.push(IoAction::OfferSetup { id, attempt: out.no });
        }
    }

    /// The viewer's connection that an offered SETUP is for now, as it may have asked again on another one,
    /// and the server's connection; `None` where it is not wanted any more.
    pub fn offered_setup_connections(&self, id: SessionId, no: u32) -> Option<(ConnectionId, ConnectionId)> {
        match self.sess.get(&id).map(|s| &s.stage) {
            Some(Stage::Asked { from, out: Some(out), .. }) if out.no == no && !out.written => {
                Some((*from, out.line))
            }
            _ => None,
        }
    }

    /// The bytes of a SETUP that goes out now, with the rung that the module has set and the time that is
    /// left of its time-out; `None` where it is not wanted any more.
    pub fn send_setup(&mut self, id: SessionId, no: u32, now: Ms) -> Option<Vec<u8>> {
        let rung = self.desk.sessions.sessions.get(&id).map_or(0, |s| s.rung);
        let sess = self.sess.get_mut(&id)?;
        let Stage::Asked { wanted, out: Some(out), .. } = &mut sess.stage else { return None };
        if out.no != no || out.written || now >= sess.until {
            return None;
        }
        out.written = true;
        self.lines.get_mut(&out.line).into_iter().for_each(|line| line.used = now);
        Some(server::setup_request(wanted, rung, sess.until - now))
    }

    /// The connection of a SETUP takes nothing now: it never left, and another server may be asked.
    pub fn setup_blocked(&mut self, id: SessionId, no: u32, now: Ms) {
        if let Some(Stage::Asked { out: Some(out), .. }) = self.sess.get(&id).map(|s| &s.stage) {
            let out = *out;
            if out.no == no && !out.written {
                self.give_up(id, out);
                self.setup_ended(id, SetupOutcome::NeverSent, now);
                self.settle(now);
            }
        }
    }

    /// A SETUP whose time is over.
    pub(super) fn setup_due(&mut self, id: SessionId, no: u32, now: Ms) {
        let out = match self.sess.get(&id).map(|s| &s.stage) {
            Some(Stage::Asked { out: Some(out), .. }) if out.no == no => *out,
            _ => return,
        };
        self.give_up(id, out);
        let up = self.lines.get(&out.line).is_some_and(|l| l.up);
        let ending = match out.written {
            true => SetupOutcome::TimedOut,
            // Held back here: that is not the server's fault.
            false if up => SetupOutcome::NeverSent,
            false => SetupOutcome::NoConnection,
        };
        self.setup_ended(id, ending, now);
    }

    /// Tells the server that a SETUP is no longer waited for.
    pub(super) fn give_up(&mut self, id: SessionId, out: Out) {
        let Some(line) = self.lines.get_mut(&out.line) else { return };
        line.out.remove(&id);
        if out.written {
            line.is_over(id);
            self.dos.push(IoAction::Write { conn: out.line, bytes: server::setup_cancel_request(id.0) });
        }
    }

    /// A message on a session that stands, on any connection to its server.
    pub(super) fn tell_server(&mut self, server: ServerId, id: SessionId, what: Unsent, now: Ms) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        let up = s.lines.iter().find(|c| self.lines.get(c).is_some_and(|l| l.up)).copied();
        match up {
            Some(conn) => self.write_to_server(conn, id, what, now),
            None => {
                s.unsent.insert(id, what);
                self.keep_up(server, now);
            }
        }
    }

    pub(super) fn write_to_server(&mut self, conn: ConnectionId, id: SessionId, what: Unsent, now: Ms) {
        let bytes = match what {
            Unsent::Rung(rung) => server::rung_request(id.0, rung),
            Unsent::Release => server::release_request(id.0, headers::RELEASE_CAUSE_WITHDRAWN),
        };
        if let (Unsent::Release, Some(line)) = (what, self.lines.get_mut(&conn)) {
            line.releases.retain(|(at, _)| now - at < limits::RELEASE_RETENTION);
            line.releases.truncate(limits::MAX_PENDING_RELEASES - 1);
            line.releases.push_back((now, id));
        }
        self.dos.push(IoAction::Write { conn, bytes });
    }

    pub(super) fn rung(&mut self, id: SessionId, rung: u8) {
        let Some(Stage::Stands { server, .. }) = self.sess.get(&id).map(|s| &s.stage) else { return };
        let (server, now) = (*server, self.clock);
        self.tell_server(server, id, Unsent::Rung(rung), now);
    }

    pub(super) fn probe(&mut self, server: ServerId, now: Ms) {
        let Some(s) = self.servers.get(&server) else { return };
        let load = |c: &ConnectionId| self.lines.get(c).map_or((true, usize::MAX), |l| (!l.up, l.out.len()));
        let conn = match s.lines.iter().copied().min_by_key(load) {
            Some(conn) => Some(conn),
            None => self.connect(server, now),
        };
        let Some((conn, line)) = conn.and_then(|c| Some((c, self.lines.get_mut(&c)?))) else { return };
        if line.up {
            self.test(conn, Test::Probe, now);
        } else {
            line.probes += 1;
        }
    }

    pub(super) fn test(&mut self, conn: ConnectionId, what: Test, now: Ms) {
        let id = self.rng.u64(..);
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.tests.insert(id, what);
        let (wait, bytes) = match what {
            Test::Probe => (self.told.probe_timeout_ms, server::load_probe_request(id)),
            Test::There => (limits::PING_TIMEOUT, server::ping_request(id)),
        };
        self.timers.schedule(now + wait, Due::Test { conn, id });
        self.dos.push(IoAction::Write { conn, bytes });
    }

    /// A test was not answered in time. Where it was to tell whether the server is there, a new connection is.
    pub(super) fn test_due(&mut self, conn: ConnectionId, id: u64, now: Ms) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let server = line.server;
        match line.tests.remove(&id) {
            Some(Test::Probe) => self.desk.probe_finished(server, SetupOutcome::TimedOut, now),
            Some(Test::There)
                if self.servers.get(&server).is_some_and(|s| now - s.heard > limits::PING_AFTER_SILENCE) =>
            {
                self.connect(server, now);
            }
            _ => {}
        }
    }
}
