//! A world without sockets round a node's core: connections open as they are told to, and what is written is kept.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use walnutline_node::actions::{ConnectionEnd, ConnectionId, IoAction};
use walnutline_node::core::Node;
use walnutline_platform::configuration;

pub const NODE: &str = include_str!("../../../platform/tests/node.json");

pub struct World {
    pub node: Node,
    pub now: f64,
    /// Connections to servers, opened or being opened.
    pub servers: BTreeMap<ConnectionId, SocketAddr>,
    pub connecting: Vec<ConnectionId>,
    /// What was written where, oldest first.
    pub out: Vec<(ConnectionId, String)>,
    pub closed: Vec<ConnectionId>,
    pub queries: Vec<(SocketAddr, Vec<u8>)>,
    pub exited: bool,
    /// Viewers that have gone or have something unheard, and connections to servers that take nothing.
    pub gone: Vec<ConnectionId>,
    pub unheard: Vec<ConnectionId>,
    pub stuck: Vec<ConnectionId>,
    held: Vec<IoAction>,
    /// Servers whose connections come up at once.
    pub open_at_once: bool,
}

impl World {
    pub fn new() -> World {
        World::with(NODE)
    }

    pub fn with(document: &str) -> World {
        let now = 1_700_000_000_000.0;
        let node = Node::new(configuration::parse(document).unwrap(), now).unwrap();
        let mut w = World {
            node,
            now,
            servers: BTreeMap::new(),
            connecting: Vec::new(),
            out: Vec::new(),
            closed: Vec::new(),
            queries: Vec::new(),
            exited: false,
            gone: Vec::new(),
            unheard: Vec::new(),
            stuck: Vec::new(),
            held: Vec::new(),
            open_at_once: true,
        };
        w.run();
        w
    }

    /// Does what the node says until it says nothing more.
    pub fn run(&mut self) {
        let mut held = std::mem::take(&mut self.held);
        loop {
            let mut dos = self.node.take_actions();
            dos.append(&mut held);
            if dos.is_empty() {
                return;
            }
            for what in dos {
                match what {
                    IoAction::Connect { conn, address } => {
                        self.servers.insert(conn, address);
                        if self.open_at_once {
                            self.node.server_connected(conn, self.now);
                        } else {
                            self.connecting.push(conn);
                        }
                    }
                    IoAction::Write { conn, bytes } => {
                        self.out.push((conn, String::from_utf8_lossy(&bytes).into_owned()))
                    }
                    IoAction::OfferSetup { id, attempt: no } => {
                        // As the edge does: one who is gone gets no SETUP, and one whose words are unheard
                        // none yet.
                        let Some((viewer, conn)) = self.node.offered_setup_connections(id, no) else {
                            continue;
                        };
                        if self.unheard.contains(&viewer) {
                            self.held.push(IoAction::OfferSetup { id, attempt: no });
                        } else if self.gone.contains(&viewer) {
                            self.node.connection_closed(viewer, ConnectionEnd::Closed, self.now);
                        } else if self.stuck.contains(&conn) {
                            self.node.setup_blocked(id, no, self.now);
                        } else if let Some(bytes) = self.node.send_setup(id, no, self.now) {
                            self.out.push((conn, String::from_utf8_lossy(&bytes).into_owned()));
                        }
                    }
                    IoAction::CloseIfIdle { conn } if self.unheard.contains(&conn) => {
                        self.node.connection_in_use(conn, self.now)
                    }
                    IoAction::CloseIfIdle { conn } => {
                        self.closed.push(conn);
                        self.node.connection_closed(conn, ConnectionEnd::Closed, self.now);
                    }
                    IoAction::Close { conn } => {
                        self.servers.remove(&conn);
                        self.connecting.retain(|c| *c != conn);
                        self.closed.push(conn);
                    }
                    IoAction::SendListQuery { to, bytes } => self.queries.push((to, bytes)),
                    IoAction::SendPeerReports { .. } | IoAction::Log(_) => {}
                    IoAction::Exit { .. } => self.exited = true,
                }
            }
        }
    }

    /// Lets time pass, calling the node whenever it wants to be called.
    pub fn pass(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now = self.node.next_call_at(self.now).max(self.now + 0.1).min(until);
            self.node.process_due(self.now);
            self.run();
        }
    }

    pub fn viewer(&mut self) -> ConnectionId {
        let conn = self.node.new_connection_id();
        self.node.viewer_accepted(conn, self.now);
        self.run();
        conn
    }

    pub fn says(&mut self, conn: ConnectionId, text: &str) {
        self.node.bytes_received(conn, text.as_bytes(), self.now, self.now);
        self.node.process_due(self.now);
        self.run();
    }

    pub fn ends(&mut self, conn: ConnectionId, end: ConnectionEnd) {
        self.servers.remove(&conn);
        self.node.connection_closed(conn, end, self.now);
        self.node.process_due(self.now);
        self.run();
    }

    /// What was written and holds this, with its connection; each is found once.
    pub fn find(&mut self, what: &str) -> Option<(ConnectionId, String)> {
        let at = self.out.iter().position(|(_, text)| text.contains(what))?;
        Some(self.out.remove(at))
    }

    /// Answers the probes that are out.
    pub fn answer_probes(&mut self) {
        while let Some((conn, probe)) = self.find("rtsp://media/load") {
            let asked = probe.lines().find(|l| l.starts_with("Session")).unwrap();
            let report = "X-Circuits: inflight:1;x0:0.2\r\nContent-Length: 0\r\n\r\n";
            self.says(conn, &format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\n{asked}\r\n{report}"));
        }
    }

    /// Answers probes until a SETUP of this id goes out.
    pub fn setup_of(&mut self, id: u64) -> (ConnectionId, String) {
        let session = format!("Session: {id:016x}");
        for _ in 0..200 {
            self.answer_probes();
            if let Some(at) =
                self.out.iter().position(|(_, t)| t.starts_with("SETUP") && t.contains(&session))
            {
                return self.out.remove(at);
            }
            self.pass(5.0);
        }
        panic!("no SETUP of {id:016x}: {:?}", self.out);
    }

    /// A session that stands: its viewer's connection and its server's.
    pub fn standing(&mut self, id: u64) -> (ConnectionId, ConnectionId) {
        let viewer = self.viewer();
        self.says(viewer, &wanted(id, "a=1\r\n"));
        let (server, _) = self.setup_of(id);
        self.says(server, &reply(200, id, "b=2\r\n"));
        assert!(self.find("b=2").is_some_and(|(conn, _)| conn == viewer));
        (viewer, server)
    }
}

pub fn wanted(id: u64, body: &str) -> String {
    format!(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Call-Class: board-loop\r\n\
         X-Ring-Limit: 1500\r\nX-Dest: home:0;copies:2;top:4;viewer:00000000b4d65521\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn reply(status: u16, id: u64, body: &str) -> String {
    let length = body.len();
    format!("RTSP/1.0 {status} X\r\nCSeq: 1\r\nSession: {id:016x}\r\nContent-Length: {length}\r\n\r\n{body}")
}

pub fn release(id: u64, cause: u32) -> String {
    format!(
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\nReason: cause={cause}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}
