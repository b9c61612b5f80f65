//! Runs the front node's binary on loopback, with a test server, a test name service and viewer connections. The
//! server either answers automatically, or is scripted: then the test decides what is answered, delayed or reset.
#![allow(dead_code)]
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Configuration that each test node starts from.
pub const NODE_CONFIGURATION: &str = include_str!("../../../platform/tests/node.json");
/// Mode of the automatic server: it answers requests.
pub const SERVER_ANSWERS: u8 = 0;
/// Mode of the automatic server: it closes its listener and all connections at the next connection.
pub const SERVER_STOPS: u8 = 1;
/// Mode of the automatic server: it keeps its connections open but answers and accepts nothing.
pub const SERVER_SILENT: u8 = 2;
/// How long a test waits for a message, datagram or log line.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// A running front node with the one server and the name service that it is configured with.
pub struct TestNode {
    pub process: Child,
    pub address: SocketAddr,
    pub configuration_path: PathBuf,
    /// Socket of the name service, on which the node's queries arrive.
    pub name_service: UdpSocket,
    pub server_address: SocketAddr,
    /// One of `SERVER_ANSWERS`, `SERVER_STOPS` and `SERVER_SILENT`; read by an automatic server only.
    pub server_mode: Arc<AtomicU8>,
    /// What an automatic server has read except OPTIONS, with the connection that it came on.
    pub server_requests: Receiver<(TcpStream, String)>,
    /// Lines that the node logs after its start.
    pub log_lines: Receiver<String>,
    max_descriptors: usize,
    _directory: tempfile::TempDir,
}

impl TestNode {
    /// Starts a node whose server answers every SETUP and probe automatically.
    pub fn start() -> TestNode {
        TestNode::start_configured(|text| text)
    }

    /// The same, with the configuration that `edit_configuration` returns.
    pub fn start_configured(edit_configuration: impl Fn(String) -> String) -> TestNode {
        TestNode::start_with_descriptors(128, edit_configuration)
    }

    /// The same, with a limit on its descriptors, which the configuration has to state as well.
    pub fn start_with_descriptors(
        max_descriptors: usize,
        edit_configuration: impl Fn(String) -> String,
    ) -> TestNode {
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let (request_sender, server_requests) = channel();
        let server_address = server.local_addr().unwrap();
        let server_mode = Arc::new(AtomicU8::new(SERVER_ANSWERS));
        let mode = server_mode.clone();
        std::thread::spawn(move || run_automatic_server(server, &request_sender, &mode));
        TestNode::start_with(
            server_address,
            server_mode,
            server_requests,
            max_descriptors,
            edit_configuration,
        )
    }

    /// Starts a node with a scripted server, a limit on its descriptors, and the configuration that
    /// `edit_configuration` returns.
    pub fn with_scripted_server(
        max_descriptors: usize,
        edit_configuration: impl Fn(String) -> String,
    ) -> (TestNode, ScriptedServer) {
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let server_address = server.local_addr().unwrap();
        let server_mode = Arc::new(AtomicU8::new(SERVER_ANSWERS));
        let node = TestNode::start_with(
            server_address,
            server_mode,
            channel().1,
            max_descriptors,
            edit_configuration,
        );
        (node, ScriptedServer::new(server))
    }

    fn start_with(
        server_address: SocketAddr,
        server_mode: Arc<AtomicU8>,
        server_requests: Receiver<(TcpStream, String)>,
        max_descriptors: usize,
        edit_configuration: impl Fn(String) -> String,
    ) -> TestNode {
        let name_service = UdpSocket::bind("127.0.0.1:0").unwrap();
        name_service.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        let directory = tempfile::tempdir().unwrap();
        let configuration_path = directory.path().join("config.json");
        let text = NODE_CONFIGURATION
            .replace("\"sockets\":256", "\"sockets\":128")
            .replace("127.0.0.1:5061", &server_address.to_string())
            .replace("127.0.0.1:1053", &name_service.local_addr().unwrap().to_string())
            // The last change in the list removes s-00000003. With the second server renamed to that, only the first
            // one is left.
            .replace("\"instanceId\":\"s-00000002\",", "\"instanceId\":\"s-00000003\",");
        std::fs::write(&configuration_path, edit_configuration(text)).unwrap();
        let (process, address, log_lines) = spawn_node(&configuration_path, "127.0.0.1:0", max_descriptors);
        TestNode {
            process,
            address,
            configuration_path,
            name_service,
            server_address,
            server_mode,
            server_requests,
            log_lines,
            max_descriptors,
            _directory: directory,
        }
    }

    /// Kills the process and starts a new one that listens on the same address.
    pub fn restart(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
        (self.process, self.address, self.log_lines) =
            spawn_node(&self.configuration_path, &self.address.to_string(), self.max_descriptors);
    }

    /// Starts the automatic server again, on this listener.
    pub fn restart_server(&mut self, server: TcpListener) {
        self.server_mode.store(SERVER_ANSWERS, Ordering::SeqCst);
        let (request_sender, server_requests) = channel();
        self.server_requests = server_requests;
        let mode = self.server_mode.clone();
        std::thread::spawn(move || run_automatic_server(server, &request_sender, &mode));
    }

    /// The exit status of the process, if it exits by itself within that time.
    pub fn exit_status_within(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.process.try_wait().unwrap() {
                None if Instant::now() < deadline => std::thread::sleep(Duration::from_millis(5)),
                status => return status,
            }
        }
    }

    /// Opens a viewer connection to the node.
    pub fn connect_viewer(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        stream
    }

    /// Sends the process a signal, named as for `kill`: `-TERM`. After `-STOP`, returns once the process has stopped.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.process.id().to_string()]).status().unwrap();
        assert!(status.success());
        while name == "-STOP" && !self.has_stopped() {
            std::thread::yield_now();
        }
    }

    /// Whether every thread of the process has stopped.
    fn has_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.process.id())).unwrap();
        threads.into_iter().all(|thread| {
            let status = std::fs::read_to_string(thread.unwrap().path().join("status")).unwrap();
            status.lines().any(|line| line.starts_with("State:\tT"))
        })
    }
}

/// Starts a node and waits until it listens. Returns the process, its address, and the log lines that follow.
fn spawn_node(
    configuration_path: &Path,
    listen: &str,
    max_descriptors: usize,
) -> (Child, SocketAddr, Receiver<String>) {
    // `ulimit` enforces `max_descriptors`. With 128 the process gets as many as its configuration states.
    let mut process = Command::new("sh")
        .args(["-c", &format!("ulimit -n {max_descriptors}; exec \"$0\" --json-log node")])
        .arg(env!("CARGO_BIN_EXE_walnutline"))
        .envs([("NODE_NAME", "n1"), ("NODE_LISTEN", listen), ("RUST_LOG", "info,may=off")])
        .env("NODE_CONFIG", configuration_path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
    // The node logs the port that the system chose.
    let address =
        log.find_map(|line| Some(line.split_once("\"listen\":\"")?.1.split('"').next()?.to_owned()));
    let address = address.expect("the node logs its address").parse().unwrap();
    let (line_sender, log_lines) = channel();
    // The receiver may be dropped first, when a test ends before its node.
    std::thread::spawn(move || log.for_each(|line| drop(line_sender.send(line))));
    (process, address, log_lines)
}

impl Drop for TestNode {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn run_automatic_server(
    server: TcpListener,
    requests: &std::sync::mpsc::Sender<(TcpStream, String)>,
    mode: &Arc<AtomicU8>,
) {
    let mut connections = Vec::new();
    for stream in server.incoming().map(Result::unwrap) {
        match mode.load(Ordering::SeqCst) {
            SERVER_STOPS => break,
            // Accepts nothing more until the test process ends.
            SERVER_SILENT => loop {
                std::thread::park();
            },
            _ => {}
        }
        let (requests, mode) = (requests.clone(), mode.clone());
        connections.push(stream.try_clone().unwrap());
        std::thread::spawn(move || answer_requests(stream, &requests, &mode));
    }
    drop(server);
    connections.iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
}

fn answer_requests(
    mut stream: TcpStream,
    requests: &std::sync::mpsc::Sender<(TcpStream, String)>,
    mode: &AtomicU8,
) {
    let mut unparsed = String::new();
    while let Some(message) = read_message(&mut stream, &mut unparsed) {
        if mode.load(Ordering::SeqCst) == SERVER_SILENT {
            continue;
        }
        let session =
            message.lines().find(|line| line.starts_with("Session")).unwrap_or("Session: ").to_owned();
        let answer = if message.starts_with("SETUP") {
            format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\n{session}\r\nContent-Length: 5\r\n\r\nb=2\r\n")
        } else if message.starts_with("OPTIONS") {
            let report = "X-Circuits: inflight:1;x0:0.2";
            format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\n{session}\r\n{report}\r\nContent-Length: 0\r\n\r\n")
        } else {
            String::new()
        };
        let _ = stream.write_all(answer.as_bytes());
        if !message.starts_with("OPTIONS") {
            let _ = requests.send((stream.try_clone().unwrap(), message));
        }
    }
}

/// Reads the next whole message; bytes that follow it stay in `unparsed`. Returns none if the connection ends or the
/// read times out.
pub fn read_message(stream: &mut TcpStream, unparsed: &mut String) -> Option<String> {
    loop {
        if let Some(head_length) = unparsed.find("\r\n\r\n").map(|end| end + 4) {
            let body_length = unparsed[..head_length]
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: "))
                .unwrap_or("0");
            let total_length = head_length + body_length.parse::<usize>().unwrap();
            if unparsed.len() >= total_length {
                let next = unparsed.split_off(total_length);
                return Some(std::mem::replace(unparsed, next));
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => unparsed.push_str(&String::from_utf8_lossy(&buffer[..n])),
            _ => return None,
        }
    }
}

/// A SETUP as a viewer sends it, for the session with this id and with a wait limit of 3 s.
pub fn setup_request(id: u64) -> String {
    format!(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Call-Class: board-loop\r\n\
         X-Ring-Limit: 3000\r\nX-Dest: home:0;copies:1;top:4;viewer:00000000b4d65521\r\nContent-Length: 5\r\n\r\na=1\r\n"
    )
}

/// Reads the first message of a connection.
pub fn receive_first(stream: &mut TcpStream) -> String {
    read_message(stream, &mut String::new()).expect("a message")
}

/// A connection, with the bytes that were read after the last whole message.
pub struct Connection {
    pub stream: TcpStream,
    pub unparsed: String,
}

impl Connection {
    /// Wraps a stream, and sets its read time-out to `RECEIVE_TIMEOUT`.
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection { stream, unparsed: String::new() }
    }

    /// Sends the text.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The next message, within `RECEIVE_TIMEOUT`.
    pub fn receive(&mut self) -> String {
        read_message(&mut self.stream, &mut self.unparsed).expect("a message")
    }

    /// The next message, if one comes within that time.
    pub fn receive_within(&mut self, timeout: Duration) -> Option<String> {
        self.stream.set_read_timeout(Some(timeout)).unwrap();
        let message = read_message(&mut self.stream, &mut self.unparsed);
        self.stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
        message
    }

    /// Whether the peer has closed the connection, and everything that it sent has been read.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).unwrap();
        !matches!(&peeked, Ok(n) if *n > 0)
            && !matches!(&peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Closes the connection with a reset, which discards what has not been sent.
    pub fn reset(self) {
        let socket = socket2::Socket::from(self.stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// A server that answers probes automatically and leaves all other requests to the test.
pub struct ScriptedServer {
    pub listener: TcpListener,
    connections: Vec<Connection>,
    answered_probes: usize,
}

impl ScriptedServer {
    /// A server that accepts connections on this listener while the test receives requests.
    pub fn new(listener: TcpListener) -> ScriptedServer {
        ScriptedServer { listener, connections: Vec::new(), answered_probes: 0 }
    }

    /// Reads all connections, answers probes, and returns the first other request with its connection. The server
    /// reads that connection again only after `add_connection`.
    pub fn receive_request(&mut self) -> (Connection, String) {
        self.receive_request_within(RECEIVE_TIMEOUT).expect("a request from the node")
    }

    /// As `receive_request`, but returns none if no request comes within that time.
    pub fn receive_request_within(&mut self, timeout: Duration) -> Option<(Connection, String)> {
        let deadline = Instant::now() + timeout;
        self.listener.set_nonblocking(true).unwrap();
        while Instant::now() < deadline {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).unwrap();
                self.connections.push(Connection::new(stream));
            }
            for index in 0..self.connections.len() {
                let Some(message) = self.connections[index].receive_within(Duration::from_millis(2)) else {
                    continue;
                };
                if message.starts_with("OPTIONS") {
                    self.answered_probes += 1;
                    let report = "X-Circuits: inflight:1;x0:0.2";
                    let session = session_header(&message);
                    let answer = format!(
                        "RTSP/1.0 200 OK\r\nCSeq: 3\r\n{session}\r\n{report}\r\nContent-Length: 0\r\n\r\n"
                    );
                    let _ = self.connections[index].stream.write_all(answer.as_bytes());
                } else if !message.starts_with("RTSP/1.0") {
                    return Some((self.connections.swap_remove(index), message));
                }
            }
        }
        None
    }

    /// Whether a probe has arrived, which means that a connection has been established.
    pub fn has_answered_probe(&self) -> bool {
        self.answered_probes > 0
    }

    /// Adds a connection to those that the server reads.
    pub fn add_connection(&mut self, connection: Connection) {
        self.connections.push(connection);
    }
}

/// Fills the accept queue of a server that accepts nothing: further connections get no answer until the returned
/// sockets are dropped.
pub fn fill_accept_queue(server: SocketAddr) -> Vec<socket2::Socket> {
    let connect = |_| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&server.into());
        socket
    };
    (0..300).map(connect).collect()
}

/// The Session header line of a message, or one without an id if the message has none.
pub fn session_header(message: &str) -> &str {
    message.lines().find(|line| line.starts_with("Session")).unwrap_or("Session: ")
}

/// A response of a server, for the session with this id.
pub fn response(status: u16, cseq: u32, id: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {id:016x}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// A TEARDOWN of a session, with the cause of its end if one is given.
pub fn teardown_request(id: u64, cause: Option<u32>) -> String {
    let reason = cause.map_or(String::new(), |cause| format!("Reason: cause={cause}\r\n"));
    format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\n{reason}Content-Length: 0\r\n\r\n")
}

/// The queries of the node that have arrived so far, with their senders.
pub fn pending_queries(name_service: &UdpSocket) -> Vec<(Vec<u8>, SocketAddr)> {
    name_service.set_nonblocking(true).unwrap();
    let mut buffer = [0; 512];
    let queries = std::iter::from_fn(|| {
        name_service.recv_from(&mut buffer).ok().map(|(length, sender)| (buffer[..length].to_vec(), sender))
    });
    queries.collect()
}
