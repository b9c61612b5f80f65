//! Stand-ins for the parties that a front node speaks with: servers, a name service and viewers, as PROTOCOL describes
//! them, and the process of the node. Only the standard library is used. Every address is a loopback address.
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The record of a run: what was sent, answered and run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = std::fs::File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:>7} {text}", self.now());
    }
}

/// Ends the run as one that could not be carried out.
pub fn cannot_run(why: &str) -> ! {
    end_processes();
    eprintln!("case could not run: {why}");
    std::process::exit(2)
}

// ---- messages ----

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Clone)]
pub struct Message {
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let name = name.to_ascii_lowercase();
        self.headers.iter().find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    }

    pub fn id(&self) -> String {
        self.header("Session").to_owned()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// The status of a response, 0 for a request.
    pub fn status(&self) -> u16 {
        if !self.first.starts_with("RTSP/1.0 ") {
            return 0;
        }
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn cause(&self) -> Option<u32> {
        self.header("Reason").strip_prefix("cause=").and_then(|n| n.parse().ok())
    }
}

fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let head = buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let mut lines = text.split("\r\n").filter(|l| !l.is_empty());
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(n, _)| n == "content-length").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    if buffer.len() < head + length {
        return None;
    }
    let body = buffer[head..head + length].to_vec();
    buffer.drain(..head + length);
    Some(Message { first, headers, body })
}

fn encode(first: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + &format!("Content-Length: {}\r\n\r\n{body}", body.len())).into_bytes()
}

// ---- servers ----

#[derive(Debug, Clone)]
pub struct Standing {
    pub conn: u64,
    pub title: String,
    pub class: String,
    pub since: u64,
}

struct ServerConnection {
    stream: TcpStream,
    /// Of no further use, though it stays open: what is written to it is lost and nothing is read.
    dead: bool,
    /// Set-ups that are neither answered nor given up.
    pending: Vec<String>,
    /// When anything was last read from it or written to it.
    used_at: u64,
}

#[derive(Default)]
struct ServerState {
    connections: BTreeMap<u64, ServerConnection>,
    last_connection: u64,
    sessions: BTreeMap<String, Standing>,
    /// Releases that are sent on the next connection that is opened as well.
    repeat: Vec<(String, u32)>,
    cut: bool,
    fillers: Vec<TcpStream>,
    held: Vec<(u64, Vec<u8>)>,
    answer_delay: u64,
    /// The answer to the next set-up on this connection is lost.
    lose_answer_on: Option<u64>,
    progress_before_loss: bool,
    lost_at: Option<u64>,
    /// Content-Length of the next answers is smaller than their description by this.
    short_by: usize,
    /// The description that this server made for each session.
    descriptions: BTreeMap<String, String>,
    setups: Vec<(u64, String)>,
}

/// A server. It answers each set-up after a delay, and sessions stand until they are ended.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    record: Record,
    state: Arc<Mutex<ServerState>>,
    listener: Arc<TcpListener>,
}

impl Server {
    pub fn start(name: &str, record: &Record, answer_delay: u64) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        listener.set_nonblocking(true).unwrap();
        let server = Server {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            state: Arc::new(Mutex::new(ServerState { answer_delay, ..Default::default() })),
            listener: Arc::new(listener),
        };
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept());
        server
    }

    fn accept(self) {
        loop {
            if lock(&self.state).cut {
                sleep(ms(2));
                continue;
            }
            match self.listener.accept() {
                Ok((stream, from)) => {
                    let mut state = lock(&self.state);
                    let filler = state.fillers.iter().position(|f| f.local_addr().ok() == Some(from));
                    if let Some(index) = filler {
                        state.fillers.remove(index);
                        continue;
                    }
                    let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                    let _ = stream.set_read_timeout(Some(ms(10)));
                    state.last_connection += 1;
                    let conn = state.last_connection;
                    let reading = stream.try_clone().unwrap();
                    state.connections.insert(conn, ServerConnection { stream, dead: false, pending: Vec::new(), used_at: self.record.now() });
                    self.record.line(&format!("{} connection {conn} opened", self.name));
                    for (id, cause) in std::mem::take(&mut state.repeat) {
                        self.write_release(&mut state, conn, &id, cause);
                    }
                    let server = self.clone();
                    std::thread::spawn(move || server.read(conn, reading));
                }
                Err(_) => sleep(ms(2)),
            }
        }
    }

    fn read(self, conn: u64, mut stream: TcpStream) {
        let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
        loop {
            let state = lock(&self.state);
            let Some(connection) = state.connections.get(&conn) else { return };
            let wait = state.cut || connection.dead;
            drop(state);
            if wait {
                sleep(ms(5));
                continue;
            }
            match stream.read(&mut chunk) {
                Ok(0) => break,
                Ok(n) => buffer.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            }
            while lock(&self.state).cut {
                sleep(ms(5));
            }
            while let Some(message) = take_message(&mut buffer) {
                self.handle(conn, message);
            }
        }
        if lock(&self.state).connections.remove(&conn).is_some() {
            self.record.line(&format!("{} connection {conn} closed by the front node", self.name));
        }
    }

    fn handle(&self, conn: u64, message: Message) {
        let id = message.id();
        let mut state = lock(&self.state);
        if let Some(connection) = state.connections.get_mut(&conn) {
            connection.used_at = self.record.now();
        }
        match message.method() {
            "SETUP" => {
                let title = message.first.split(' ').nth(1).unwrap_or("").trim_start_matches("rtsp://media/").to_owned();
                self.record.line(&format!("{} connection {conn} SETUP {id} title {title}", self.name));
                state.setups.push((self.record.now(), id.clone()));
                if state.lose_answer_on == Some(conn) {
                    state.lose_answer_on = None;
                    state.lost_at = Some(self.record.now());
                    if state.progress_before_loss {
                        let headers = [("CSeq", "1".into()), ("Session", id.clone())];
                        self.write(&mut state, conn, &encode("RTSP/1.0 100 Trying", &headers, ""));
                        self.record.line(&format!("{} connection {conn} tells progress of {id}", self.name));
                    }
                    self.record.line(&format!(
                        "{} connection {conn}: the answer to {id} is lost, the connection is of no further use",
                        self.name
                    ));
                    state.connections.get_mut(&conn).unwrap().dead = true;
                    return;
                }
                state.connections.get_mut(&conn).unwrap().pending.push(id.clone());
                let (server, class, delay) = (self.clone(), message.header("X-Call-Class").to_owned(), state.answer_delay);
                std::thread::spawn(move || {
                    sleep(ms(delay));
                    while lock(&server.state).cut {
                        sleep(ms(2));
                    }
                    server.answer(conn, id, title, class);
                });
            }
            "TEARDOWN" => {
                if let Some(connection) = state.connections.get_mut(&conn) {
                    connection.pending.retain(|p| *p != id);
                }
                let stood = state.sessions.remove(&id).is_some();
                self.record.line(&format!("{} connection {conn} TEARDOWN {id} cause {:?} stood {stood}", self.name, message.cause()));
                let answer = encode("RTSP/1.0 200 OK", &[("CSeq", "2".into()), ("Session", id)], "");
                self.write(&mut state, conn, &answer);
            }
            "OPTIONS" => {
                let report = format!("inflight:{};x0:0.2;x1:0.2;util:0.2", state.sessions.len());
                let headers = [("CSeq", "3".into()), ("Session", id), ("X-Circuits", report)];
                self.write(&mut state, conn, &encode("RTSP/1.0 200 OK", &headers, ""));
            }
            "RTSP/1.0" => {}
            _ => self.record.line(&format!("{} connection {conn} {} {id}", self.name, message.method())),
        }
    }

    fn answer(&self, conn: u64, id: String, title: String, class: String) {
        let mut state = lock(&self.state);
        let Some(connection) = state.connections.get_mut(&conn) else { return };
        if !connection.pending.contains(&id) {
            return;
        }
        connection.pending.retain(|p| *p != id);
        let since = self.record.now();
        state.sessions.insert(id.clone(), Standing { conn, title, class, since });
        self.record.line(&format!("{} connection {conn} answers {id}: the session stands", self.name));
        let report = format!("inflight:{};x0:0.2;x1:0.2;util:0.2", state.sessions.len());
        let headers = [("CSeq", "1".into()), ("Session", id.clone()), ("X-Circuits", report)];
        let description = format!("{id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
        let mut bytes = encode("RTSP/1.0 200 OK", &headers, &description);
        if state.short_by > 0 {
            let (length, told) = (description.len(), description.len() - state.short_by);
            let text = String::from_utf8(bytes).unwrap();
            bytes = text.replace(&format!("Length: {length}"), &format!("Length: {told}")).into_bytes();
            self.record.line(&format!("{}: the answer to {id} is spoilt: {length} bytes of description, Content-Length {told}", self.name));
        }
        state.descriptions.insert(id.clone(), description);
        self.write(&mut state, conn, &bytes);
        let rung = [("CSeq", "4".into()), ("Session", id), ("X-Why", "profile".into()), ("Figure", "1".into())];
        self.write(&mut state, conn, &encode("ANNOUNCE rtsp://media/note RTSP/1.0", &rung, ""));
    }

    /// Closes connections that have been idle for a time, as the settings state it: nothing was read or written.
    pub fn close_idle_after(&self, keepalive: u64) {
        let server = self.clone();
        std::thread::spawn(move || loop {
            sleep(ms(100));
            let now = server.record.now();
            lock(&server.state).connections.retain(|conn, connection| {
                let idle = now >= connection.used_at + keepalive && connection.pending.is_empty();
                if idle {
                    server.record.line(&format!("{} closes connection {conn}, idle for {keepalive} ms", server.name));
                    if !connection.dead {
                        let _ = connection.stream.shutdown(Shutdown::Both);
                    }
                }
                !idle
            });
        });
    }

    /// Whether a connection that works will have been idle for `keepalive` within the next `ahead`, if it is not used.
    pub fn closes_one_within(&self, keepalive: u64, ahead: u64) -> bool {
        let now = self.record.now();
        lock(&self.state).connections.values().any(|c| !c.dead && c.used_at + keepalive <= now + ahead)
    }

    fn write(&self, state: &mut ServerState, conn: u64, bytes: &[u8]) {
        if state.cut {
            return state.held.push((conn, bytes.to_vec()));
        }
        if let Some(connection) = state.connections.get_mut(&conn) {
            connection.used_at = self.record.now();
        }
        if let Some(connection) = state.connections.get_mut(&conn).filter(|c| !c.dead) {
            let _ = connection.stream.write_all(bytes);
        }
    }

    fn write_release(&self, state: &mut ServerState, conn: u64, id: &str, cause: u32) {
        let lost = if state.connections[&conn].dead { " (lost)" } else { "" };
        self.record.line(&format!("{} connection {conn} releases {id} cause {cause}{lost}", self.name));
        let headers = [("CSeq", "2".into()), ("Session", id.to_owned()), ("Reason", format!("cause={cause}"))];
        let bytes = encode("TEARDOWN rtsp://media/over RTSP/1.0", &headers, "");
        self.write(state, conn, &bytes);
    }

    /// A session comes to its end. Its release goes out on the connection of its set-up, otherwise on any open one, and
    /// on the next one opened as well.
    pub fn end_session(&self, id: &str, cause: u32) {
        let mut state = lock(&self.state);
        let Some(standing) = state.sessions.remove(id) else { return };
        let conn = Some(standing.conn).filter(|c| state.connections.contains_key(c));
        match conn.or(state.connections.keys().next().copied()) {
            Some(conn) => self.write_release(&mut state, conn, id, cause),
            None => self.record.line(&format!("{} ends {id}: no connection is open", self.name)),
        }
        state.repeat.push((id.to_owned(), cause));
    }

    /// Tells how full the link is, in a note on one session.
    fn note_link_use(&self) {
        let mut state = lock(&self.state);
        let session = state.sessions.iter().nth(1).or(state.sessions.iter().next());
        let Some((id, conn)) = session.map(|(id, s)| (id.clone(), s.conn)) else { return };
        self.record.line(&format!("{} connection {conn} note on {id}", self.name));
        let headers = [("CSeq", "4".into()), ("Session", id), ("X-Why", "nic".into()), ("Figure", "0.2".into())];
        self.write(&mut state, conn, &encode("ANNOUNCE rtsp://media/note RTSP/1.0", &headers, ""));
    }

    /// Sends such a note at each interval.
    pub fn note_link_use_every(&self, interval: u64) {
        let server = self.clone();
        std::thread::spawn(move || loop {
            sleep(ms(interval));
            server.note_link_use();
        });
    }

    /// The answer to the next set-up on a connection is lost, and the connection is of no further use from then on.
    pub fn lose_next_answer_on(&self, conn: u64, progress: bool) {
        let mut state = lock(&self.state);
        (state.lose_answer_on, state.progress_before_loss) = (Some(conn), progress);
    }

    pub fn shorten_lengths_by(&self, bytes: usize) {
        lock(&self.state).short_by = bytes;
    }

    /// The description that the server made for a session.
    pub fn description(&self, id: &str) -> Option<String> {
        lock(&self.state).descriptions.get(id).cloned()
    }

    pub fn answer_lost_at(&self) -> Option<u64> {
        lock(&self.state).lost_at
    }

    /// Stands for a machine that is cut off: open connections stay open and silent, new ones never come up.
    pub fn cut_off(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        // Connections that nobody accepts fill the listener's queue; the next ones don't come up.
        for _ in 0..16 {
            match TcpStream::connect_timeout(&self.address, ms(100)) {
                Ok(stream) => state.fillers.push(stream),
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                    drop(state);
                    return self.record.line(&format!("{} is cut off", self.name));
                }
                Err(e) => cannot_run(&format!("at a full listener: {e}")),
            }
        }
        cannot_run("new connections still come up at a full listener")
    }

    pub fn cut_ends(&self) {
        let mut state = lock(&self.state);
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        state.cut = false;
        for (conn, bytes) in std::mem::take(&mut state.held) {
            self.write(&mut state, conn, &bytes);
        }
        drop(state);
        self.record.line(&format!("{} is no longer cut off", self.name));
    }

    pub fn sessions(&self) -> BTreeMap<String, Standing> {
        lock(&self.state).sessions.clone()
    }

    pub fn setups_since(&self, at: u64) -> Vec<(u64, String)> {
        lock(&self.state).setups.iter().filter(|(t, _)| *t >= at).cloned().collect()
    }

    pub fn open_connections(&self) -> Vec<u64> {
        lock(&self.state).connections.keys().copied().collect()
    }
}

// ---- the name service ----

#[derive(Clone)]
pub struct ListedServer {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub draining: bool,
    pub started: u64,
}

struct List {
    number: u32,
    servers: Vec<ListedServer>,
    answering: bool,
    /// When an answer with the list's number was first sent.
    told: BTreeMap<u32, u64>,
}

#[derive(Clone)]
pub struct NameService {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl NameService {
    pub fn start(number: u32, servers: Vec<ListedServer>, record: &Record) -> NameService {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let list = List { number, servers, answering: true, told: BTreeMap::new() };
        let service = NameService { address: socket.local_addr().unwrap(), list: Arc::new(Mutex::new(list)) };
        let (list, record, port) = (service.list.clone(), record.clone(), service.address.port());
        std::thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let mut list = lock(&list);
                if n < 12 || !list.answering {
                    continue;
                }
                let number = list.number;
                if !list.told.contains_key(&number) {
                    record.line(&format!("name service at port {port} tells list {number}"));
                    list.told.insert(number, record.now());
                }
                let _ = socket.send_to(&encode_list(&buffer[..n], &list), from);
            }
        });
        service
    }

    pub fn change(&self, edit: impl FnOnce(&mut Vec<ListedServer>)) -> u32 {
        let mut list = lock(&self.list);
        edit(&mut list.servers);
        list.number += 1;
        list.number
    }

    pub fn set_answering(&self, answering: bool) {
        lock(&self.list).answering = answering;
    }

    pub fn told_at(&self, number: u32) -> Option<u64> {
        lock(&self.list).told.range(number..).map(|(_, at)| *at).min()
    }

    pub fn list(&self) -> (u32, Vec<ListedServer>) {
        let list = lock(&self.list);
        (list.number, list.servers.clone())
    }
}

fn dns_name(out: &mut Vec<u8>, name: &str) {
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
}

fn dns_record(out: &mut Vec<u8>, name: &str, kind: u16, data: &[u8]) {
    dns_name(out, name);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 1]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

fn encode_list(query: &[u8], list: &List) -> Vec<u8> {
    let mut out = vec![query[0], query[1], 0x84, 0, 0, 1];
    out.extend((list.servers.len() as u16 * 3).to_be_bytes());
    out.extend([0, 1, 0, 0]);
    dns_name(&mut out, "_data._tcp.farm.lan");
    out.extend([0, 33, 0, 1]);
    for server in &list.servers {
        let target = format!("{}.{}.hosts", server.name, server.zone);
        let SocketAddr::V4(address) = server.address else { unreachable!() };
        let mut srv = vec![0, u8::from(server.draining), 0, 30];
        srv.extend(address.port().to_be_bytes());
        dns_name(&mut srv, &target);
        dns_record(&mut out, "_data._tcp.farm.lan", 33, &srv);
        dns_record(&mut out, &target, 1, &address.ip().octets());
        let mut txt = Vec::new();
        for text in [format!("kind={}", server.kind), format!("cell={}", server.cell), format!("started={}", server.started)] {
            txt.push(text.len() as u8);
            txt.extend(text.bytes());
        }
        dns_record(&mut out, &target, 16, &txt);
    }
    let mut soa = Vec::new();
    dns_name(&mut soa, "ns.farm.lan");
    dns_name(&mut soa, "ops.farm.lan");
    soa.extend(list.number.to_be_bytes());
    soa.extend([0; 16]);
    dns_record(&mut out, "farm.lan", 6, &soa);
    out
}

// ---- viewers ----

#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub id: String,
    /// The status of an answer, 0 for a release.
    pub status: u16,
    pub body: String,
}

/// A connection of viewers to the front node.
#[derive(Clone)]
pub struct Viewers {
    stream: Arc<Mutex<TcpStream>>,
    events: Arc<Mutex<Vec<Event>>>,
    record: Record,
}

impl Viewers {
    pub fn connect(address: SocketAddr, record: &Record) -> Viewers {
        let stream = TcpStream::connect(address).unwrap_or_else(|e| cannot_run(&format!("front node: {e}")));
        let _ = stream.set_nodelay(true);
        let mut reading = stream.try_clone().unwrap();
        let viewers = Viewers { stream: Arc::new(Mutex::new(stream)), events: Arc::default(), record: record.clone() };
        let reader = viewers.clone();
        std::thread::spawn(move || {
            let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
            while let Ok(n @ 1..) = reading.read(&mut chunk) {
                buffer.extend_from_slice(&chunk[..n]);
                while let Some(message) = take_message(&mut buffer) {
                    reader.handle(message);
                }
            }
            reader.record.line("viewers' connection ended");
        });
        viewers
    }

    fn handle(&self, message: Message) {
        let (id, status) = (message.id(), message.status());
        if status == 0 {
            self.record.line(&format!("viewer of {id} is told: {} cause {:?}", message.method(), message.cause()));
            let heard = encode("RTSP/1.0 200 OK", &[("CSeq", "2".into()), ("Session", id.clone())], "");
            let _ = lock(&self.stream).write_all(&heard);
        } else if status >= 200 && message.header("CSeq") != "3" {
            self.record.line(&format!("viewer of {id} is answered {status} (CSeq {})", message.header("CSeq")));
        }
        if status == 0 || status >= 200 && message.header("CSeq") == "1" {
            lock(&self.events).push(Event {
                at: self.record.now(),
                id,
                status,
                body: String::from_utf8_lossy(&message.body).into_owned(),
            });
        } else if message.header("CSeq") == "3" {
            lock(&self.events).push(Event { at: self.record.now(), id: "test".into(), status, body: String::new() });
        }
    }

    pub fn setup(&self, id: u64, title: u64, class: &str, wait: u64, home: u32, copies: u32) -> String {
        let id = format!("{id:016x}");
        let headers = [
            ("CSeq", "1".into()),
            ("Session", id.clone()),
            ("X-Call-Class", class.to_owned()),
            ("X-Ring-Limit", wait.to_string()),
            ("X-Dest", format!("home:{home};copies:{copies};top:3;viewer:{id}")),
        ];
        self.record.line(&format!("viewer sends SETUP {id} title {title:016x} class {class}"));
        let bytes = encode(&format!("SETUP rtsp://media/{title:016x} RTSP/1.0"), &headers, "offer\r\n");
        let _ = lock(&self.stream).write_all(&bytes);
        id
    }

    pub fn test(&self) {
        let headers = [("CSeq", "3".into()), ("Session", format!("{:016x}", 0xffff_u64))];
        let _ = lock(&self.stream).write_all(&encode("OPTIONS rtsp://media/ping RTSP/1.0", &headers, ""));
    }

    pub fn close(&self) {
        let _ = lock(&self.stream).shutdown(Shutdown::Both);
    }

    pub fn events(&self) -> Vec<Event> {
        lock(&self.events).clone()
    }

    pub fn answer(&self, id: &str) -> Option<Event> {
        self.events().into_iter().find(|e| e.id == id && e.status > 0)
    }

    pub fn release(&self, id: &str) -> Option<Event> {
        self.events().into_iter().find(|e| e.id == id && e.status == 0)
    }
}

/// Waits until a condition holds, for `limit` at most; returns whether it came to hold.
pub fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        sleep(ms(5));
    }
    true
}

// ---- the front node ----

/// Front nodes that run, by process id, with their folders.
static RUNNING: Mutex<Vec<(u32, PathBuf)>> = Mutex::new(Vec::new());

/// Ends the front nodes that were started.
pub fn end_processes() {
    for (id, directory) in lock(&RUNNING).drain(..) {
        unsafe { kill(id as i32, SIGKILL) };
        let _ = std::fs::remove_dir_all(directory);
    }
}

/// A process of the front node, started with the deploy file's `run` command from the project's root.
pub struct Node {
    process: Child,
    pub address: SocketAddr,
    directory: PathBuf,
    record: Record,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.process.wait();
        lock(&RUNNING).retain(|(id, _)| *id != self.process.id());
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Node {
    pub fn start(configuration: &str, record: &Record) -> Node {
        // Another process may take the free port first.
        let node = (0..5).find_map(|_| Node::try_start("n1", configuration, record));
        node.unwrap_or_else(|| cannot_run("no free port for the front node"))
    }

    /// Starts the process; `None` if its address is in use.
    fn try_start(name: &str, configuration: &str, record: &Record) -> Option<Node> {
        let address = {
            let free = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
            SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, free.local_addr().unwrap().port()))
        };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let directory = std::env::temp_dir().join(format!("front-node-{name}-{}-{unix}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap_or_else(|e| cannot_run(&e.to_string()));
        std::fs::write(directory.join("config.json"), configuration).unwrap();
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN is not set"));
        let log = std::fs::File::create(directory.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        // The front node ends with this process, however that ends (PR_SET_PDEATHSIG is 1).
        unsafe { command.pre_exec(|| if prctl(1, SIGKILL as u64) == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }) };
        let process = command
            .args(["-c", &run])
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_CONFIG", directory.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        lock(&RUNNING).push((process.id(), directory.clone()));
        record.line(&format!("front node {name} started: {run}"));
        let mut node = Node { process, address, directory, record: record.clone() };
        let in_use = |node: &Node| node.log().contains("Address already in use");
        let up = wait_for(ms(10_000), || node.log().contains("node up") || in_use(&node));
        if in_use(&node) {
            return None;
        }
        if !up || !node.is_running() {
            cannot_run(&format!("the front node is not up: {}", node.log().trim()));
        }
        let viewers = Viewers::connect(address, record);
        viewers.test();
        if !wait_for(ms(10_000), || viewers.answer("test").is_some_and(|e| e.status == 200)) {
            cannot_run("the front node does not pass a test");
        }
        viewers.close();
        record.line(&format!("front node {name} ready"));
        Some(node)
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reconfigure(&self, configuration: &str) {
        let path = self.directory.join("config.json");
        let new = self.directory.join("config.new");
        std::fs::write(&new, configuration).unwrap();
        std::fs::rename(&new, &path).unwrap();
        self.record.line("configuration replaced, SIGHUP sent");
        self.signal(SIGHUP);
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.process.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }
}

/// Waits for a time.
pub fn pause(milliseconds: u64) {
    sleep(ms(milliseconds));
}
