//! The stand-ins of servers and clients, a thread for each connection.
use super::node::{read_message, response, teardown_request, Connection};
use super::world::{World, POLL_INTERVAL};
use std::io::{self, ErrorKind, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::thread::{sleep, Scope};
use walnutline::ids::Ms;
use walnutline_rehearsal::soak::audit::{Attempt, RequestRecord};
use walnutline_rehearsal::soak::trial::ServerMode;

/// Time after SIGTERM for which clients still open connections to a node.
const NEW_CONNECTION_PERIOD: Ms = 400.0;
/// Mean pause of a client between its requests.
const CLIENT_PAUSE: Ms = 400.0;
/// Longest pause in the middle of a request that is sent in pieces.
const PIECES_PAUSE: Ms = 200.0;
/// Longest time for which a session plays.
const SESSION_LENGTH: Ms = 3_000.0;
/// Shares of requests sent in pieces, sent with little time left, sent several at once, and given up early.
const PIECES_SHARE: f64 = 0.15;
const SHORT_WAIT_SHARE: f64 = 0.15;
const SEVERAL_SHARE: f64 = 0.2;
const GIVE_UP_SHARE: f64 = 0.08;

/// The next message within the poll interval, if any; an error once the connection has ended.
fn receive(connection: &mut Connection) -> io::Result<Option<String>> {
    match read_message(&mut connection.stream, &mut connection.unparsed) {
        None if connection.is_closed() => Err(ErrorKind::UnexpectedEof.into()),
        message => Ok(message),
    }
}

fn connection(stream: TcpStream) -> Connection {
    let connection = Connection::new(stream);
    connection.stream.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    connection
}

fn session_id(message: &str) -> u64 {
    let id = message.lines().find_map(|line| line.strip_prefix("Session: "));
    id.and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0)
}

// ---- servers ----

/// Runs a server for one node, with a listener while its process is up.
pub fn run_server<'a>(scope: &'a Scope<'a, '_>, world: &'a World, server: usize, node: usize) {
    while !world.is_over() {
        let listener = TcpListener::bind(world.server_address(server, node));
        while let (Ok(listener), true) = (&listener, world.is_up(server)) {
            listener.set_nonblocking(true).unwrap();
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    scope.spawn(move || ServerConnection::new(world, server, node, stream).run());
                }
                Err(_) => sleep(POLL_INTERVAL),
            }
        }
        drop(listener);
        sleep(POLL_INTERVAL);
        while !world.is_over() && !world.is_up(server) {
            sleep(POLL_INTERVAL);
        }
    }
}

/// A node's connection to a server.
struct ServerConnection<'a> {
    world: &'a World,
    server: usize,
    node: usize,
    connection: Connection,
    rng: fastrand::Rng,
    /// Set-ups without an answer.
    taken: Vec<u64>,
    /// When each of these set-ups is answered, or the session ends that came of it.
    due: Vec<(Ms, u64)>,
}

impl ServerConnection<'_> {
    fn new(world: &World, server: usize, node: usize, stream: TcpStream) -> ServerConnection<'_> {
        let (connection, rng) = (connection(stream), fastrand::Rng::new());
        ServerConnection { world, server, node, connection, rng, taken: Vec::new(), due: Vec::new() }
    }

    /// Serves the connection until it ends.
    fn run(mut self) {
        while self.world.is_up(self.server) && self.serve().is_ok() {}
        let now = self.world.now();
        self.taken.iter().for_each(|id| self.world.record().end_attempt(*id, self.server, now));
    }

    fn serve(&mut self) -> io::Result<()> {
        if let Some(message) = receive(&mut self.connection)? {
            self.handle(&message)?;
        }
        let (now, answers) = (self.world.now(), self.world.mode(self.server) == ServerMode::Answers);
        while let Some(index) = self.due.iter().position(|(at, _)| *at <= now && answers) {
            let (_, id) = self.due.swap_remove(index);
            if !self.taken.contains(&id) {
                self.send(&teardown_request(id, Some(16)))?;
                continue;
            }
            self.taken.retain(|of| *of != id);
            self.end_attempt(id, |request| request.accepted = true);
            self.send(&response(200, 1, id, "b=2\r\n"))?;
            self.due.push((now + SESSION_LENGTH * self.rng.f64(), id));
        }
        Ok(())
    }

    fn handle(&mut self, message: &str) -> io::Result<()> {
        let (id, mode) = (session_id(message), self.world.mode(self.server));
        if message.starts_with("SETUP") {
            return self.take_setup(id, mode);
        }
        if message.starts_with("TEARDOWN") {
            self.end_attempt(id, |_| ());
            self.taken.retain(|of| *of != id);
            self.due.retain(|(_, of)| *of != id);
            self.send(&response(200, 2, id, ""))?;
        }
        if message.starts_with("OPTIONS") && mode != ServerMode::Hangs {
            let report = "X-Circuits: inflight:1;x0:0.1\r\nContent-Length";
            self.send(&response(200, 3, id, "").replace("Content-Length", report))?;
        }
        Ok(())
    }

    fn take_setup(&mut self, id: u64, mode: ServerMode) -> io::Result<()> {
        let begun_at = self.world.now();
        let removal_told_at = self.world.removal_told_at(self.node, self.server);
        let attempt = Attempt { server: self.server, begun_at, ended_at: None, removal_told_at };
        self.world.record().requests.entry(id).or_default().attempts.push(attempt);
        self.taken.push(id);
        match mode {
            ServerMode::Answers => {
                let answer_at = begun_at + 2.0 * self.world.trial.answer_time * self.rng.f64();
                self.due.push((answer_at, id));
            }
            ServerMode::Fails => {
                self.taken.retain(|of| *of != id);
                self.end_attempt(id, |_| ());
                let status = [453, 500, 454, 504][self.rng.usize(..4)];
                self.send(&response(status, 1, id, ""))?;
            }
            ServerMode::Closes => return Err(ErrorKind::ConnectionAborted.into()),
            ServerMode::Hangs | ServerMode::Dead => {}
        }
        Ok(())
    }

    fn end_attempt(&mut self, id: u64, change: impl FnOnce(&mut RequestRecord)) {
        let mut record = self.world.record();
        record.end_attempt(id, self.server, self.world.now());
        record.requests.get_mut(&id).map(change);
    }

    fn send(&mut self, text: &str) -> io::Result<()> {
        self.connection.stream.write_all(text.as_bytes())
    }
}

// ---- the name service ----

/// Answers a node's queries for the list of servers.
pub fn run_name_service(world: &World, node: usize) {
    let socket = UdpSocket::bind(world.name_service_address(node)).unwrap();
    socket.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    let mut query = [0; 512];
    while !world.is_over() {
        let Ok((length, from)) = socket.recv_from(&mut query) else { continue };
        if let Some(answer) = world.list_answer(node, &query[..length]) {
            let _ = socket.send_to(&answer, from);
        }
    }
}

// ---- clients ----

/// Runs a client of a node: it uses a connection until that ends, and then opens another.
pub fn run_client(world: &World, node: usize, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !world.is_over() {
        let stopping = world.stopping_since(node).is_some_and(|at| world.now() > at + NEW_CONNECTION_PERIOD);
        match TcpStream::connect(world.node_address(node)) {
            Ok(stream) if !stopping => {
                let mut client =
                    Client { world, node, connection: connection(stream), open: Vec::new(), deferred: None };
                let _ = client.run(&mut rng);
                client.connection_ended();
            }
            _ => sleep(POLL_INTERVAL),
        }
    }
}

struct Client<'a> {
    world: &'a World,
    node: usize,
    connection: Connection,
    /// Requests without an answer, and when they are given up.
    open: Vec<(u64, Ms)>,
    /// Messages that wait for the rest of a request that is sent in pieces.
    deferred: Option<String>,
}

impl Client<'_> {
    /// Sends requests until the connection or the trial ends.
    fn run(&mut self, rng: &mut fastrand::Rng) -> io::Result<()> {
        while !self.world.is_over() {
            for _ in 0..if rng.f64() < SEVERAL_SHARE { 3 } else { 1 } {
                self.send_request(rng)?;
            }
            let pause = if self.world.is_crowded(self.node) { 0.0 } else { 2.0 * CLIENT_PAUSE * rng.f64() };
            let until = self.world.now() + pause;
            while !self.world.is_over() && (self.world.now() < until || !self.open.is_empty()) {
                self.receive_answers()?;
            }
        }
        Ok(())
    }

    fn send_request(&mut self, rng: &mut fastrand::Rng) -> io::Result<()> {
        let (world, class, id) = (self.world, rng.usize(..2), rng.u64(1..));
        let deadline = world.trial.classes[class].deadline;
        let short = rng.f64() < SHORT_WAIT_SHARE;
        let wait = if short { (deadline * rng.f64()).max(20.0).floor() } else { deadline };
        let text = format!(
            "SETUP rtsp://media/{:016x} RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Call-Class: class-{class}\r\n\
             X-Ring-Limit: {wait}\r\nX-Dest: home:0;copies:1;top:4;viewer:00000000{:08x}\r\n\
             Content-Length: 5\r\n\r\na=1\r\n",
            id % 97,
            id as u32
        );
        let split_at = if rng.f64() < PIECES_SHARE { rng.usize(1..text.len()) } else { 0 };
        let (first, rest) = text.as_bytes().split_at(split_at);
        self.connection.stream.write_all(first)?;
        if split_at > 0 {
            self.deferred = Some(String::new());
            let until = world.now() + PIECES_PAUSE * rng.f64();
            while world.now() < until {
                self.receive_answers()?;
            }
        }
        // Recorded before the last byte is written, as a server may read the set-up at once.
        let sent_at = world.now();
        let request = RequestRecord { sent_at, wait, ..RequestRecord::default() };
        world.record().requests.insert(id, request);
        let give_up_at = if rng.f64() < GIVE_UP_SHARE { sent_at + wait * rng.f64() } else { Ms::INFINITY };
        self.open.push((id, give_up_at));
        self.connection.stream.write_all(rest)?;
        let deferred = self.deferred.take().unwrap_or_default();
        self.send(&deferred)
    }

    /// Reads what comes within the poll interval, and gives up what is due for it.
    fn receive_answers(&mut self) -> io::Result<()> {
        if let Some(message) = receive(&mut self.connection)? {
            self.handle(&message)?;
        }
        let now = self.world.now();
        while let Some(index) = self.open.iter().position(|(_, give_up_at)| *give_up_at <= now) {
            let (id, _) = self.open.swap_remove(index);
            self.world.record().requests.entry(id).or_default().gone_at = Some(now);
            self.send(&teardown_request(id, None))?;
        }
        Ok(())
    }

    fn handle(&mut self, message: &str) -> io::Result<()> {
        let (id, now) = (session_id(message), self.world.now());
        if message.starts_with("TEARDOWN") {
            return self.send(&response(200, 2, id, ""));
        }
        let status = message.strip_prefix("RTSP/1.0 ").and_then(|text| text.get(..3)?.parse().ok());
        if let Some(status) = status.filter(|_| message.contains("CSeq: 1\r\n")) {
            self.open.retain(|(of, _)| *of != id);
            self.world.record().requests.entry(id).or_default().answers.push((now, status));
        }
        Ok(())
    }

    fn send(&mut self, text: &str) -> io::Result<()> {
        match &mut self.deferred {
            Some(deferred) => deferred.push_str(text),
            None => self.connection.stream.write_all(text.as_bytes())?,
        }
        Ok(())
    }

    /// Records the end of the connection for the requests that are open on it. A write may have failed while answers
    /// were still unread.
    fn connection_ended(&mut self) {
        while !self.world.is_over() && self.receive_answers().is_ok() {}
        let (now, world) = (self.world.now(), self.world);
        for (id, _) in self.open.drain(..).filter(|_| !world.is_over()) {
            let excused_until = world.kill_excuses_until(self.node);
            let mut record = world.record();
            let request = record.requests.entry(id).or_default();
            request.connection_ended_at = Some(now);
            request.excused = excused_until.is_some_and(|until| request.sent_at <= until);
        }
    }
}
