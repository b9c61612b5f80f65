//! Runs a front as a process on loopback, with scripted boxes, a list server and viewers.
#![allow(dead_code)]
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use walnutline_auth::claims::{ProofClaims, ViewerClaims};
use walnutline_control::box_list::{self, BoxEntry, BoxList, BoxState};
use walnutline_control::event_stream::{self, Event};
use walnutline_control::rtsp::{self, ControlRequest, Message, MessageReader};
use walnutline_dash::{encode_base64url, mpd, proof, token, token_hash, SigningKey};

/// How long a test waits for any single event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The `setup-timeout` in the settings document.
pub const SETUP_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The `start-target` in the settings document.
pub const START_TARGET: Duration = Duration::from_millis(1_000);

/// The current time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

/// Time-stamped events that other threads can wait for.
pub struct EventLog<T> {
    events: Mutex<Vec<(Instant, T)>>,
    added: Condvar,
}

impl<T: Clone + std::fmt::Debug> EventLog<T> {
    pub fn new() -> Arc<Self> {
        Arc::new(EventLog { events: Mutex::new(Vec::new()), added: Condvar::new() })
    }

    /// Adds an event that happens now.
    pub fn add(&self, event: T) {
        self.events.lock().unwrap().push((Instant::now(), event));
        self.added.notify_all();
    }

    /// All events so far, oldest first.
    pub fn events(&self) -> Vec<(Instant, T)> {
        self.events.lock().unwrap().clone()
    }

    /// Waits for an event that matches, and returns the first one.
    pub fn wait_for(&self, description: &str, matches: impl Fn(&T) -> bool) -> (Instant, T) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut events = self.events.lock().unwrap();
        loop {
            if let Some(found) = events.iter().find(|(_, event)| matches(event)) {
                return found.clone();
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            assert!(!remaining.is_zero(), "timed out waiting for {description}; events: {events:?}");
            events = self.added.wait_timeout(events, remaining).unwrap().0;
        }
    }
}

/// How a box responds to a SETUP.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BoxBehaviour {
    /// Answers 200.
    Accept,
    /// Answers 453.
    Busy,
    /// Answers 500.
    Error,
    NoAnswer,
    /// Answers 200 after this delay.
    AcceptAfterMs(u64),
    CloseWithoutAnswer,
    /// Answers 200 and closes the connection.
    AcceptThenClose,
    /// Closes its port for good, and the connection without an answer.
    StopListening,
}

/// What a box receives and answers.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxEvent {
    SetupReceived { session: u64, token: String, rung: u8 },
    SetupAnswered { session: u64, status: u16 },
    TeardownReceived { session: String },
    ProbeReceived,
}

/// A box whose behaviour the test sets. All boxes of a test write to one log, with their ids.
pub struct TestBox {
    pub id: u32,
    pub control_address: SocketAddr,
    behaviour: Arc<Mutex<BoxBehaviour>>,
}

/// Events of all boxes of a test, each with the id of its box.
pub type BoxLog = Arc<EventLog<(u32, BoxEvent)>>;

impl TestBox {
    /// Starts a box on a free port.
    pub fn start(id: u32, behaviour: BoxBehaviour, log: &BoxLog) -> TestBox {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let control_address = listener.local_addr().unwrap();
        let behaviour = Arc::new(Mutex::new(behaviour));
        let (shared_behaviour, log) = (behaviour.clone(), log.clone());
        std::thread::spawn(move || {
            let stopped = Arc::new(AtomicUsize::new(0));
            while let Ok((stream, _)) = listener.accept() {
                if stopped.load(Ordering::SeqCst) > 0 {
                    return;
                }
                let (behaviour, log, stopped) = (shared_behaviour.clone(), log.clone(), stopped.clone());
                std::thread::spawn(move || serve_connection(id, stream, &behaviour, &log, &stopped));
            }
        });
        TestBox { id, control_address, behaviour }
    }

    /// Sets how the box responds to SETUPs from now on.
    pub fn set_behaviour(&self, behaviour: BoxBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Its entry in the box list.
    pub fn list_entry(&self) -> BoxEntry {
        BoxEntry {
            id: self.id,
            name: format!("box-{}", self.id),
            state: BoxState::Ready,
            rack: self.id % 2,
            building: 0,
            kind: 0,
            weight: 1.0,
            started_at_ms: None,
            control_addr: self.control_address,
            media_url: format!("http://127.0.0.1:1/{}", self.id),
        }
    }
}

/// Answers requests on one control connection until it ends.
fn serve_connection(
    id: u32,
    mut stream: TcpStream,
    behaviour: &Mutex<BoxBehaviour>,
    log: &BoxLog,
    stopped: &AtomicUsize,
) {
    let mut reader = MessageReader::default();
    let mut buffer = [0; 4_096];
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let send =
        |message: &Message| drop(writer.lock().unwrap().write_all(&rtsp::encode(message, "b").unwrap()));
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            return;
        }
        reader.push(&buffer[..length]);
        while let Ok(Some(message)) = reader.next_message() {
            let Message::Request { cseq, request } = message else { continue };
            let response = |status| Message::Response { cseq, status, session: None, parameters: Vec::new() };
            match request {
                ControlRequest::Setup { front_session: session, token, rung, .. } => {
                    log.add((id, BoxEvent::SetupReceived { session, token, rung }));
                    let behaviour = *behaviour.lock().unwrap();
                    let accepted = Message::Response {
                        cseq,
                        status: 200,
                        session: Some(format!("s{session}")),
                        parameters: Vec::new(),
                    };
                    let log_answer = |status| log.add((id, BoxEvent::SetupAnswered { session, status }));
                    match behaviour {
                        BoxBehaviour::NoAnswer => {}
                        BoxBehaviour::Busy => {
                            log_answer(453);
                            send(&response(453));
                        }
                        BoxBehaviour::Error => {
                            log_answer(500);
                            send(&response(500));
                        }
                        BoxBehaviour::Accept | BoxBehaviour::AcceptThenClose => {
                            log_answer(200);
                            send(&accepted);
                        }
                        BoxBehaviour::AcceptAfterMs(delay_ms) => {
                            let (writer, log) = (writer.clone(), log.clone());
                            std::thread::spawn(move || {
                                std::thread::sleep(Duration::from_millis(delay_ms));
                                log.add((id, BoxEvent::SetupAnswered { session, status: 200 }));
                                let _ =
                                    writer.lock().unwrap().write_all(&rtsp::encode(&accepted, "b").unwrap());
                            });
                        }
                        BoxBehaviour::CloseWithoutAnswer | BoxBehaviour::StopListening => {}
                    }
                    if matches!(
                        behaviour,
                        BoxBehaviour::CloseWithoutAnswer
                            | BoxBehaviour::AcceptThenClose
                            | BoxBehaviour::StopListening
                    ) {
                        if behaviour == BoxBehaviour::StopListening {
                            stopped.fetch_add(1, Ordering::SeqCst);
                            // Wakes the accept loop, which then closes the listener.
                            let _ = TcpStream::connect(stream.local_addr().unwrap());
                        }
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    }
                }
                ControlRequest::GetParameter(_) => {
                    log.add((id, BoxEvent::ProbeReceived));
                    let parameters = vec![(rtsp::LINK_USE.to_owned(), 0.1), (rtsp::STREAMS.to_owned(), 1.0)];
                    send(&Message::Response { cseq, status: 200, session: None, parameters });
                }
                ControlRequest::Teardown { session } => {
                    log.add((id, BoxEvent::TeardownReceived { session }));
                    send(&response(200));
                }
                _ => send(&response(200)),
            }
        }
    }
}

/// Starts a list server that sends the same box list on every connection and keeps the connections open.
pub fn start_list_server(boxes: &[&TestBox]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let data =
        box_list::to_json(&BoxList { boxes: boxes.iter().map(|test_box| test_box.list_entry()).collect() });
    let event = Event { id: Some(1), name: box_list::FULL_LIST_EVENT.into(), data };
    let text = format!("HTTP/1.0 200 OK\r\n\r\n{}", event_stream::encode(&event));
    std::thread::spawn(move || {
        let mut connections = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 2_048]);
            let _ = stream.write_all(text.as_bytes());
            connections.push(stream);
        }
    });
    address
}

/// Number of fronts started, for unique directory names.
static FRONT_COUNT: AtomicU32 = AtomicU32::new(0);

/// A front in a process of its own, which is killed when this is dropped.
pub struct Front {
    pub address: SocketAddr,
    pub process: Child,
    pub directory: PathBuf,
}

/// The key that signs viewer tokens.
pub fn issuer_key() -> SigningKey {
    SigningKey::from_bytes(&[1; 32])
}

/// The settings document of a front that takes its boxes from this list server.
pub fn settings_document(list: SocketAddr) -> String {
    format!(
        r#"listen "127.0.0.1:0"
list "http://{list}/boxes"
seed 5
fronts 1
ladder {{
    rung kb=200 utility=0.3
    rung kb=400 utility=1
}}
service-group "council-notice" start-target=1000 setup-timeout=3000 utility=3 repeat="safe"
service-group "paid" start-target=1000 setup-timeout=3000 utility=1 repeat="once"
kind "box" streams=40
links link-kb=40000 uplink-kb=160000
reports via="probe" delay=800 {{
    columns "streams" "link"
}}
setups most=3
come-back most=800
waits connect=500 probe=300 silence=30000 way-back=100
viewers connections=1000 header-bytes=4096 headers=32 header-time=2000 idle=60000 pipelined=4 write-time=5000
tokens proof-age=10000 clock-skew=2000 proofs=100000 {{
    issuer-key "k1" file="k1.pub"
    session-key "f1" file="f1.secret"
}}
manifest segment=500 update=2000 token-lasts=3600000
"#
    )
}

impl Front {
    /// Starts a front with the usual settings document.
    pub fn start(list: SocketAddr) -> Front {
        Front::start_with(&settings_document(list))
    }

    /// Starts a front with this settings document and waits until it listens.
    pub fn start_with(document: &str) -> Front {
        let unique = FRONT_COUNT.fetch_add(1, Ordering::SeqCst);
        let directory = std::env::temp_dir().join(format!("walnutline-path-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let write = |name: &str, text: &str| std::fs::write(directory.join(name), text).unwrap();
        write("k1.pub", &encode_base64url(issuer_key().verifying_key().as_bytes()));
        write("f1.secret", &encode_base64url(&[2; 32]));
        write("f.kdl", document);
        let address_file = directory.join("address");
        let mut process = Command::new(env!("CARGO_BIN_EXE_walnutline"))
            .arg("front")
            .arg(directory.join("f.kdl"))
            .arg("--address-file")
            .arg(&address_file)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let address = wait_until("the front to listen", || {
            assert!(process.try_wait().unwrap().is_none(), "the front exited");
            std::fs::read_to_string(&address_file).ok()
        });
        Front { address: address.parse().unwrap(), process, directory }
    }

    /// Sends the process a signal, named as for `kill`: `-TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.process.id().to_string()).status();
        assert!(status.unwrap().success());
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Polls until there is a value, and returns it.
pub fn wait_until<T>(description: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {description}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A viewer with a key of its own, which signs a new proof for each request.
pub struct TestViewer {
    pub key: SigningKey,
    proof_count: AtomicU32,
}

impl TestViewer {
    /// A viewer whose key is 32 times this byte.
    pub fn new(key_byte: u8) -> TestViewer {
        TestViewer { key: SigningKey::from_bytes(&[key_byte; 32]), proof_count: AtomicU32::new(0) }
    }

    /// The claims of its token for a title, valid for one minute.
    pub fn claims(&self, title: &str, holders: &[u32]) -> ViewerClaims {
        ViewerClaims {
            id: vec![7],
            manifest_path: format!("/m/{title}.mpd"),
            service_group: "council-notice".into(),
            holders: holders.to_vec(),
            max_rung: None,
            tenant: None,
            not_before: None,
            expires_at: unix_ms() + 60_000.0,
            viewer_key: self.key.verifying_key().to_bytes(),
        }
    }

    /// A signed token for a title.
    pub fn token(&self, title: &str, holders: &[u32]) -> String {
        mint_token(&self.claims(title, holders))
    }

    /// A new proof of possession for a request with this token.
    pub fn proof(&self, front: SocketAddr, title: &str, token: &str) -> String {
        let number = self.proof_count.fetch_add(1, Ordering::SeqCst);
        let claims = ProofClaims {
            public_key: self.key.verifying_key().to_bytes(),
            id: format!("p{number}"),
            method: "GET".into(),
            url: format!("http://{front}/m/{title}.mpd"),
            issued_at: unix_ms(),
            token_hash: token_hash(token),
        };
        proof::mint(&claims, &self.key)
    }

    /// The text of a request for a title, with a new token and proof.
    pub fn manifest_request(&self, front: SocketAddr, title: &str, holders: &[u32]) -> String {
        let token = self.token(title, holders);
        manifest_request(title, &token, &self.proof(front, title, &token))
    }

    /// Sends a request for a title on a new connection, and returns the response.
    pub fn fetch_manifest(&self, front: SocketAddr, title: &str, holders: &[u32]) -> HttpResponse {
        send_request(front, &self.manifest_request(front, title, holders))
    }
}

/// Signs a viewer token with the issuer's key.
pub fn mint_token(claims: &ViewerClaims) -> String {
    token::mint(claims, b"k1", &issuer_key())
}

/// The text of a request for a title.
pub fn manifest_request(title: &str, token: &str, proof: &str) -> String {
    format!(
        "GET /m/{title}.mpd HTTP/1.1\r\nHost: f\r\nCTA-Common-Access-Token: {token}\r\nDPoP: {proof}\r\n\r\n"
    )
}

/// A whole HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// From the sending of the request to the end of the response.
    pub duration: Duration,
}

impl HttpResponse {
    /// The manifest in its body; fails unless the status is 200.
    pub fn manifest(&self) -> mpd::Mpd {
        assert_eq!(self.status, 200, "{self:?}");
        mpd::from_xml(&self.body).unwrap()
    }

    /// The id of the box that the manifest names.
    pub fn box_id(&self) -> u32 {
        let base_url = self.manifest().base_url;
        base_url.strip_prefix("http://127.0.0.1:1/").unwrap().split('/').next().unwrap().parse().unwrap()
    }
}

/// Opens a connection to the front, with a read time-out.
pub fn connect(front: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(front).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends a request on a new connection. A malformed request follows, which makes the front close the connection: by
/// then no second response to the first request may have come.
pub fn send_request(front: SocketAddr, request: &str) -> HttpResponse {
    let mut stream = connect(front);
    let started = Instant::now();
    stream.write_all(request.as_bytes()).unwrap();
    let mut unparsed = Vec::new();
    let response = read_response(&mut stream, &mut unparsed, started);
    stream.write_all(b"BAD\r\n\r\n").unwrap();
    let mut following = String::from_utf8(unparsed).unwrap();
    let _ = stream.read_to_string(&mut following);
    let count = following.matches("HTTP/1.1 ").count();
    assert!(
        count <= 1 && (count == 0 || following.starts_with("HTTP/1.1 400")),
        "a second response: {following}"
    );
    response
}

/// Reads the next response to a request sent at `started`; bytes that follow it stay in `unparsed`.
pub fn read_response(stream: &mut TcpStream, unparsed: &mut Vec<u8>, started: Instant) -> HttpResponse {
    let mut buffer = [0; 4_096];
    loop {
        if let Some(end) = unparsed.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8(unparsed[..end + 4].to_vec()).unwrap();
            let body_length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
            let total_length = end + 4 + body_length.parse::<usize>().unwrap();
            if unparsed.len() >= total_length {
                let body = String::from_utf8(unparsed[end + 4..total_length].to_vec()).unwrap();
                unparsed.drain(..total_length);
                let status = head.split(' ').nth(1).unwrap().parse().unwrap();
                return HttpResponse { status, head, body, duration: started.elapsed() };
            }
        }
        let length = stream.read(&mut buffer).unwrap();
        assert!(
            length > 0,
            "connection closed before a whole response: {:?}",
            String::from_utf8_lossy(unparsed)
        );
        unparsed.extend_from_slice(&buffer[..length]);
    }
}

/// The SETUPs that boxes have received, oldest first: time, box and session of each.
pub fn setups_received(log: &BoxLog) -> Vec<(Instant, u32, u64)> {
    let setup = |(received_at, (id, event)): (Instant, (u32, BoxEvent))| match event {
        BoxEvent::SetupReceived { session, .. } => Some((received_at, id, session)),
        _ => None,
    };
    log.events().into_iter().filter_map(setup).collect()
}

/// Waits until the front places sessions on each of these boxes.
pub fn wait_until_in_use(front: &Front, boxes: &[&TestBox]) {
    let viewer = TestViewer::new(99);
    for test_box in boxes {
        wait_until("a box to be in use", || {
            (viewer.fetch_manifest(front.address, "warm-up", &[test_box.id]).status == 200).then_some(())
        });
    }
}
