//! A node's core without sockets, driven by simulated time: connections open and close on request of the
//! test, and everything written is recorded.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use walnutline_node::actions::{ConnectionEnd, ConnectionId, IoAction};
use walnutline_node::core::Node;
use walnutline_platform::configuration;
use walnutline_platform::peers::{encode, hash_server_name, ServerStatus};

/// A configuration with two servers.
pub const CONFIGURATION: &str = include_str!("../../../platform/tests/node.json");

/// Performs the actions of a node's core in place of the edge, and records them.
pub struct Harness {
    pub node: Node,
    /// Simulated Unix time in milliseconds.
    pub now: f64,
    /// Connections to servers, established or being opened.
    pub server_connections: BTreeMap<ConnectionId, SocketAddr>,
    /// All connections to servers that were requested, with the time.
    pub connect_times: Vec<(f64, ConnectionId, SocketAddr)>,
    /// Connections that the test has to establish or end, requested while `connect_at_once` was off.
    pub connecting: Vec<ConnectionId>,
    /// Messages written on connections, oldest first.
    pub written: Vec<(ConnectionId, String)>,
    pub closed: Vec<ConnectionId>,
    pub list_queries: Vec<(SocketAddr, Vec<u8>)>,
    /// Log lines about requests, oldest first.
    pub request_lines: Vec<String>,
    pub exited: bool,
    /// Viewers' connections that their peer has closed without the core's knowledge.
    pub closed_viewers: Vec<ConnectionId>,
    /// Viewers' connections with unread data.
    pub unread_viewers: Vec<ConnectionId>,
    /// Connections to servers with a write backlog.
    pub blocked_connections: Vec<ConnectionId>,
    held_setups: Vec<IoAction>,
    /// Connections to servers are established as soon as they are requested.
    pub connect_at_once: bool,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_configuration(CONFIGURATION)
    }

    pub fn with_configuration(document: &str) -> Harness {
        let now = 1_700_000_000_000.0;
        let node = Node::new(configuration::parse(document).unwrap(), now).unwrap();
        let mut harness = Harness {
            node,
            now,
            server_connections: BTreeMap::new(),
            connect_times: Vec::new(),
            connecting: Vec::new(),
            written: Vec::new(),
            closed: Vec::new(),
            list_queries: Vec::new(),
            request_lines: Vec::new(),
            exited: false,
            closed_viewers: Vec::new(),
            unread_viewers: Vec::new(),
            blocked_connections: Vec::new(),
            held_setups: Vec::new(),
            connect_at_once: true,
        };
        harness.perform_actions();
        harness
    }

    /// Performs the node's actions until there are none left.
    pub fn perform_actions(&mut self) {
        let mut held_setups = std::mem::take(&mut self.held_setups);
        loop {
            let mut actions = self.node.take_actions();
            actions.append(&mut held_setups);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    IoAction::Connect { conn, address } => {
                        self.server_connections.insert(conn, address);
                        self.connect_times.push((self.now, conn, address));
                        if self.connect_at_once {
                            self.node.server_connected(conn, self.now);
                        } else {
                            self.connecting.push(conn);
                        }
                    }
                    IoAction::Write { conn, bytes } => {
                        self.written.push((conn, String::from_utf8_lossy(&bytes).into_owned()))
                    }
                    IoAction::OfferSetup { id, attempt } => {
                        // As in the edge: no SETUP is sent for a viewer that has closed, and it is held back
                        // for a viewer with unread data.
                        let Some((viewer_conn, server_conn)) =
                            self.node.offered_setup_connections(id, attempt)
                        else {
                            continue;
                        };
                        if self.unread_viewers.contains(&viewer_conn) {
                            self.held_setups.push(IoAction::OfferSetup { id, attempt });
                        } else if self.closed_viewers.contains(&viewer_conn) {
                            self.node.connection_closed(viewer_conn, ConnectionEnd::Closed, self.now);
                        } else if self.blocked_connections.contains(&server_conn) {
                            self.node.setup_blocked(id, attempt, self.now);
                        } else if let Some(bytes) = self.node.send_setup(id, attempt, self.now) {
                            self.written.push((server_conn, String::from_utf8_lossy(&bytes).into_owned()));
                        }
                    }
                    IoAction::CloseIfIdle { conn } if self.unread_viewers.contains(&conn) => {
                        self.node.connection_in_use(conn, self.now)
                    }
                    IoAction::CloseIfIdle { conn } => {
                        self.closed.push(conn);
                        self.node.connection_closed(conn, ConnectionEnd::Closed, self.now);
                    }
                    IoAction::Close { conn } => {
                        self.server_connections.remove(&conn);
                        self.connecting.retain(|c| *c != conn);
                        self.closed.push(conn);
                    }
                    IoAction::SendListQuery { to, bytes } => self.list_queries.push((to, bytes)),
                    IoAction::LogRequest { line, .. } => self.request_lines.push(line.to_string()),
                    IoAction::SendPeerReports { .. } | IoAction::Log(_) => {}
                    IoAction::Exit { .. } => self.exited = true,
                }
            }
        }
    }

    /// Advances the time, and calls the node whenever its timers are due.
    pub fn advance(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.node.next_call_at(self.now).max(self.now + 0.1).min(end);
            self.node.process_due(self.now);
            self.perform_actions();
        }
    }

    /// Accepts a viewer's connection.
    pub fn accept_viewer(&mut self) -> ConnectionId {
        let conn = self.node.new_connection_id();
        self.node.viewer_accepted(conn, self.now);
        self.perform_actions();
        conn
    }

    /// Passes bytes from the peer of a connection to the node.
    pub fn receive(&mut self, conn: ConnectionId, text: &str) {
        self.node.bytes_received(conn, text.as_bytes(), self.now, self.now);
        self.node.process_due(self.now);
        self.perform_actions();
    }

    /// Ends a connection from the peer's side.
    pub fn close(&mut self, conn: ConnectionId, end: ConnectionEnd) {
        self.server_connections.remove(&conn);
        self.node.connection_closed(conn, end, self.now);
        self.node.process_due(self.now);
        self.perform_actions();
    }

    /// Removes and returns the oldest written message that contains `text`, with its connection.
    pub fn take_written(&mut self, text: &str) -> Option<(ConnectionId, String)> {
        let index = self.written.iter().position(|(_, message)| message.contains(text))?;
        Some(self.written.remove(index))
    }

    /// Answers all open probes.
    pub fn answer_probes(&mut self) {
        while let Some((conn, probe)) = self.take_written("rtsp://media/load") {
            self.receive(conn, &options_response(&probe));
        }
    }

    /// Advances the time. Servers answer all SETUPs, probes and pings within 20 ms, except on `dead` connections.
    pub fn serve(&mut self, ms: f64, dead: &[ConnectionId]) {
        let end = self.now + ms;
        while self.now < end {
            self.advance(20.0_f64.min(end - self.now));
            for (conn, request) in std::mem::take(&mut self.written) {
                let session = request.lines().find_map(|l| l.strip_prefix("Session: ")).unwrap_or("");
                let id = u64::from_str_radix(session, 16);
                if dead.contains(&conn) {
                    continue;
                }
                if request.starts_with("OPTIONS") {
                    self.receive(conn, &options_response(&request));
                } else if let (true, Ok(id)) = (request.starts_with("SETUP"), id) {
                    self.receive(conn, &setup_response(200, id, ""));
                } else {
                    self.written.push((conn, request));
                }
            }
        }
    }

    /// Answers probes until the SETUP of a session is written; removes and returns it with its connection.
    pub fn await_setup(&mut self, id: u64) -> (ConnectionId, String) {
        let session = format!("Session: {id:016x}");
        for _ in 0..200 {
            self.answer_probes();
            if let Some(index) =
                self.written.iter().position(|(_, t)| t.starts_with("SETUP") && t.contains(&session))
            {
                return self.written.remove(index);
            }
            self.advance(5.0);
        }
        panic!("no SETUP written for {id:016x}: {:?}", self.written);
    }

    /// Starts a session; returns the connections of its viewer and its server.
    pub fn start_session(&mut self, id: u64) -> (ConnectionId, ConnectionId) {
        let viewer = self.accept_viewer();
        self.receive(viewer, &setup_request(id, "a=1\r\n"));
        let (server, _) = self.await_setup(id);
        self.receive(server, &setup_response(200, id, "b=2\r\n"));
        assert!(self.take_written("b=2").is_some_and(|(conn, _)| conn == viewer));
        (viewer, server)
    }
}

/// A server's answer to a probe or ping.
pub fn options_response(request: &str) -> String {
    let session_header = request.lines().find(|l| l.starts_with("Session")).unwrap();
    let report = "X-Circuits: inflight:1;x0:0.2\r\nContent-Length: 0\r\n\r\n";
    format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\n{session_header}\r\n{report}")
}

/// The SETUP of a viewer.
pub fn setup_request(id: u64, body: &str) -> String {
    format!("SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Call-Class: board-loop\r\n\
         X-Ring-Limit: 1500\r\nX-Dest: home:0;copies:2;top:4;viewer:00000000b4d65521\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A server's response to a SETUP.
pub fn setup_response(status: u16, id: u64, body: &str) -> String {
    let length = body.len();
    format!("RTSP/1.0 {status} X\r\nCSeq: 1\r\nSession: {id:016x}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// The TEARDOWN that ends a session, with its cause: 16 for a normal end, 31 for one by the viewer, 41 for an
/// interruption.
pub fn release_request(id: u64, cause: u32) -> String {
    format!(
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\nReason: cause={cause}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// The TEARDOWN by which a viewer withdraws a request that is not answered yet.
pub fn withdrawal(id: u64) -> String {
    format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\nContent-Length: 0\r\n\r\n")
}

/// Address of another front node, from which datagrams are accepted.
pub const PEER: &str = "127.0.0.3:7946";

/// The configuration with the other front node [`PEER`].
pub fn configuration_with_peers() -> String {
    let peer_settings = format!("\"peer_listen\":\"127.0.0.1:7946\",\"peers\":[\"{PEER}\"],\"peers_all\":\"127.0.0.9:7946\",\"names\":");
    CONFIGURATION
        .replace("\"names\":", &peer_settings)
        .replace("\"probes\":true", "\"probes\":true,\"peer_messages\":true")
}

/// Another front node's report that a server has just answered it.
pub fn server_status(server: &str) -> ServerStatus {
    ServerStatus {
        name_hash: hash_server_name(server),
        age_ms: 20.0,
        stream_share: 0.5,
        link_use: 0.44,
        known_uptime_ms: 0.0,
    }
}

/// Passes on another front node's report that both servers have just answered it.
pub fn report_servers(harness: &mut Harness) {
    let statuses = [server_status("s-00000001"), server_status("s-00000002")];
    harness.node.peer_datagram(PEER.parse().unwrap(), &encode(&statuses), harness.now);
    harness.perform_actions();
}
