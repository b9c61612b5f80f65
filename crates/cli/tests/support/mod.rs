//! A front as a process, boxes that do as they are told, a list, and viewers, all on loopback.
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

/// Longest that anything here is waited for.
pub const LONG: Duration = Duration::from_secs(20);
/// The viewers' patience and start target that the document states.
pub const PATIENCE: Duration = Duration::from_millis(3_000);
pub const START_TARGET: Duration = Duration::from_millis(1_000);

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

/// Values that another thread waits on.
pub struct Log<T> {
    all: Mutex<Vec<(Instant, T)>>,
    more: Condvar,
}

impl<T: Clone + std::fmt::Debug> Log<T> {
    pub fn new() -> Arc<Self> {
        Arc::new(Log { all: Mutex::new(Vec::new()), more: Condvar::new() })
    }

    pub fn add(&self, value: T) {
        self.all.lock().unwrap().push((Instant::now(), value));
        self.more.notify_all();
    }

    pub fn all(&self) -> Vec<(Instant, T)> {
        self.all.lock().unwrap().clone()
    }

    /// The first that fits, once it is there.
    pub fn wait(&self, what: &str, fits: impl Fn(&T) -> bool) -> (Instant, T) {
        let until = Instant::now() + LONG;
        let mut all = self.all.lock().unwrap();
        loop {
            if let Some(found) = all.iter().find(|(_, v)| fits(v)) {
                return found.clone();
            }
            let left = until.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "waited for {what}; there is {all:?}");
            all = self.more.wait_timeout(all, left).unwrap().0;
        }
    }
}

/// What a box does on a SETUP.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Does {
    Plays,
    Busy,
    Errs,
    Never,
    /// Plays, but says so only after that long.
    Late(u64),
    /// Breaks the connection without an answer.
    Resets,
    /// Plays, says so, and breaks the connection.
    PlaysAndResets,
    /// Closes its port for good, and the connection.
    Dies,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Saw {
    Setup { session: u64, token: String, rung: u8 },
    Done { session: u64, status: u16 },
    Teardown { session: String },
    Probe,
}

/// A box whose every move is told. All boxes of a test write to one log, with their numbers.
pub struct TestBox {
    pub id: u32,
    pub control: SocketAddr,
    does: Arc<Mutex<Does>>,
}

pub type BoxLog = Arc<Log<(u32, Saw)>>;

impl TestBox {
    pub fn start(id: u32, does: Does, log: &BoxLog) -> TestBox {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let control = listener.local_addr().unwrap();
        let does = Arc::new(Mutex::new(does));
        let (d, log) = (does.clone(), log.clone());
        std::thread::spawn(move || {
            let dead = Arc::new(AtomicUsize::new(0));
            while let Ok((stream, _)) = listener.accept() {
                if dead.load(Ordering::SeqCst) > 0 {
                    return;
                }
                let (d, log, dead) = (d.clone(), log.clone(), dead.clone());
                std::thread::spawn(move || serve(id, stream, &d, &log, &dead));
            }
        });
        TestBox { id, control, does }
    }

    pub fn does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    pub fn line(&self) -> BoxEntry {
        BoxEntry {
            id: self.id,
            name: format!("box-{}", self.id),
            state: BoxState::Ready,
            rack: self.id % 2,
            building: 0,
            kind: 0,
            weight: 1.0,
            started_at_ms: None,
            control_addr: self.control,
            media_url: format!("http://127.0.0.1:1/{}", self.id),
        }
    }
}

fn serve(id: u32, mut stream: TcpStream, does: &Mutex<Does>, log: &BoxLog, dead: &AtomicUsize) {
    let mut reader = MessageReader::default();
    let mut bytes = [0; 4_096];
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let say = |m: &Message| drop(writer.lock().unwrap().write_all(&rtsp::encode(m, "b").unwrap()));
    while let Ok(n) = stream.read(&mut bytes) {
        if n == 0 {
            return;
        }
        reader.push(&bytes[..n]);
        while let Ok(Some(message)) = reader.next_message() {
            let Message::Request { cseq, request } = message else { continue };
            let reply = |status| Message::Response { cseq, status, session: None, parameters: Vec::new() };
            match request {
                ControlRequest::Setup { front_session: session, token, rung, .. } => {
                    log.add((id, Saw::Setup { session, token, rung }));
                    let does = *does.lock().unwrap();
                    let plays = Message::Response {
                        cseq,
                        status: 200,
                        session: Some(format!("s{session}")),
                        parameters: Vec::new(),
                    };
                    let done = |status| log.add((id, Saw::Done { session, status }));
                    match does {
                        Does::Never => {}
                        Does::Busy => {
                            done(453);
                            say(&reply(453));
                        }
                        Does::Errs => {
                            done(500);
                            say(&reply(500));
                        }
                        Does::Plays | Does::PlaysAndResets => {
                            done(200);
                            say(&plays);
                        }
                        Does::Late(ms) => {
                            let (writer, log) = (writer.clone(), log.clone());
                            std::thread::spawn(move || {
                                std::thread::sleep(Duration::from_millis(ms));
                                log.add((id, Saw::Done { session, status: 200 }));
                                let _ = writer.lock().unwrap().write_all(&rtsp::encode(&plays, "b").unwrap());
                            });
                        }
                        Does::Resets | Does::Dies => {}
                    }
                    if matches!(does, Does::Resets | Does::PlaysAndResets | Does::Dies) {
                        if does == Does::Dies {
                            dead.fetch_add(1, Ordering::SeqCst);
                            // Wakes the listener, which then closes.
                            let _ = TcpStream::connect(stream.local_addr().unwrap());
                        }
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    }
                }
                ControlRequest::GetParameter(_) => {
                    log.add((id, Saw::Probe));
                    let parameters = vec![(rtsp::LINK_USE.to_owned(), 0.1), (rtsp::STREAMS.to_owned(), 1.0)];
                    say(&Message::Response { cseq, status: 200, session: None, parameters });
                }
                ControlRequest::Teardown { session } => {
                    log.add((id, Saw::Teardown { session }));
                    say(&reply(200));
                }
                _ => say(&reply(200)),
            }
        }
    }
}

/// A list that says one thing to whoever asks and keeps the stream open.
pub fn list_of(boxes: &[&TestBox]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let data = box_list::to_json(&BoxList { boxes: boxes.iter().map(|b| b.line()).collect() });
    let event = Event { id: Some(1), name: box_list::FULL_LIST_EVENT.into(), data };
    let text = format!("HTTP/1.0 200 OK\r\n\r\n{}", event_stream::encode(&event));
    std::thread::spawn(move || {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read(&mut [0; 2_048]);
            let _ = stream.write_all(text.as_bytes());
            open.push(stream);
        }
    });
    address
}

static COUNT: AtomicU32 = AtomicU32::new(0);

/// A front as a process; killed when dropped.
pub struct Front {
    pub address: SocketAddr,
    pub child: Child,
    pub folder: PathBuf,
}

pub fn issuer() -> SigningKey {
    SigningKey::from_bytes(&[1; 32])
}

pub fn document(list: SocketAddr) -> String {
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
    pub fn start(list: SocketAddr) -> Front {
        Front::with(&document(list))
    }

    pub fn with(document: &str) -> Front {
        let unique = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("walnutline-path-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
        write("k1.pub", &encode_base64url(issuer().verifying_key().as_bytes()));
        write("f1.secret", &encode_base64url(&[2; 32]));
        write("f.kdl", document);
        let at = folder.join("address");
        let mut child = Command::new(env!("CARGO_BIN_EXE_walnutline"))
            .arg("front")
            .arg(folder.join("f.kdl"))
            .arg("--address-file")
            .arg(&at)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let address = until("the front is up", || {
            assert!(child.try_wait().unwrap().is_none(), "the front ended");
            std::fs::read_to_string(&at).ok()
        });
        Front { address: address.parse().unwrap(), child, folder }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(done.unwrap().success());
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Looks again until there is something.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + LONG;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "waited for: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub struct Phone {
    pub key: SigningKey,
    proofs: AtomicU32,
}

impl Phone {
    pub fn new(n: u8) -> Phone {
        Phone { key: SigningKey::from_bytes(&[n; 32]), proofs: AtomicU32::new(0) }
    }

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

    pub fn token(&self, title: &str, holders: &[u32]) -> String {
        mint(&self.claims(title, holders))
    }

    pub fn proof(&self, front: SocketAddr, title: &str, token: &str) -> String {
        let n = self.proofs.fetch_add(1, Ordering::SeqCst);
        let made = ProofClaims {
            public_key: self.key.verifying_key().to_bytes(),
            id: format!("p{n}"),
            method: "GET".into(),
            url: format!("http://{front}/m/{title}.mpd"),
            issued_at: unix_ms(),
            token_hash: token_hash(token),
        };
        proof::mint(&made, &self.key)
    }

    /// A whole request for a title.
    pub fn request(&self, front: SocketAddr, title: &str, holders: &[u32]) -> String {
        let token = self.token(title, holders);
        request(title, &token, &self.proof(front, title, &token))
    }

    pub fn asks(&self, front: SocketAddr, title: &str, holders: &[u32]) -> Answer {
        ask(front, &self.request(front, title, holders))
    }
}

pub fn mint(claims: &ViewerClaims) -> String {
    token::mint(claims, b"k1", &issuer())
}

pub fn request(title: &str, token: &str, proof: &str) -> String {
    format!(
        "GET /m/{title}.mpd HTTP/1.1\r\nHost: f\r\nCTA-Common-Access-Token: {token}\r\nDPoP: {proof}\r\n\r\n"
    )
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub took: Duration,
}

impl Answer {
    pub fn manifest(&self) -> mpd::Mpd {
        assert_eq!(self.status, 200, "{self:?}");
        mpd::from_xml(&self.body).unwrap()
    }

    /// The box that the manifest names.
    pub fn server(&self) -> u32 {
        let base = self.manifest().base_url;
        base.strip_prefix("http://127.0.0.1:1/").unwrap().split('/').next().unwrap().parse().unwrap()
    }
}

pub fn connect(front: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(front).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// One request on a connection of its own. That nothing comes after the answer is seen at its close.
pub fn ask(front: SocketAddr, text: &str) -> Answer {
    let mut stream = connect(front);
    let began = Instant::now();
    stream.write_all(text.as_bytes()).unwrap();
    let mut rest = Vec::new();
    let answer = read_answer(&mut stream, &mut rest, began);
    stream.write_all(b"BAD\r\n\r\n").unwrap();
    let mut after = String::from_utf8(rest).unwrap();
    let _ = stream.read_to_string(&mut after);
    let more = after.matches("HTTP/1.1 ").count();
    assert!(more <= 1 && (more == 0 || after.starts_with("HTTP/1.1 400")), "answered again: {after}");
    answer
}

pub fn read_answer(stream: &mut TcpStream, rest: &mut Vec<u8>, began: Instant) -> Answer {
    let mut bytes = [0; 4_096];
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8(rest[..end + 4].to_vec()).unwrap();
            let len = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap();
            let whole = end + 4 + len.parse::<usize>().unwrap();
            if rest.len() >= whole {
                let body = String::from_utf8(rest[end + 4..whole].to_vec()).unwrap();
                rest.drain(..whole);
                let status = head.split(' ').nth(1).unwrap().parse().unwrap();
                return Answer { status, head, body, took: began.elapsed() };
            }
        }
        let n = stream.read(&mut bytes).unwrap();
        assert!(n > 0, "no answer: {:?}", String::from_utf8_lossy(rest));
        rest.extend_from_slice(&bytes[..n]);
    }
}

/// SETUPs in their order, each with when it was answered: none may begin while another is out, though one that
/// timed out at the front is out no more.
pub fn setups(log: &BoxLog) -> Vec<(Instant, u32, u64)> {
    let of = |(at, (id, saw)): (Instant, (u32, Saw))| match saw {
        Saw::Setup { session, .. } => Some((at, id, session)),
        _ => None,
    };
    log.all().into_iter().filter_map(of).collect()
}

/// Waits until the front has heard of its boxes: each has a control connection on which it answers.
pub fn ready(front: &Front, boxes: &[&TestBox]) {
    let phone = Phone::new(99);
    for b in boxes {
        until("a box is in use", || {
            (phone.asks(front.address, "warm-up", &[b.id]).status == 200).then_some(())
        });
    }
}
