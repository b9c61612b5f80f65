//! Stand-in boxes on sockets: RTSP 2.0 control for fronts, segments over HTTP for viewers.
use crate::depot::{Depot, Session};
use crate::net::{header, read_head, sleep, spawn};
use crate::record::Seen;
use may::net::{TcpListener, TcpStream};
use may::sync::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use walnutline_auth::keys::KeyLookupError;
use walnutline_control::rtsp::{self, ControlRequest, Message, MessageReader};
use walnutline_dash::{token, VerifyingKey};

/// A session for which no segment is asked in this time is over.
const UNWATCHED: f64 = 4_000.0;
/// Time between notices to a front that has sessions here.
const NOTICE_EVERY: f64 = 1_000.0;

/// What all boxes are told at the start: how fronts' keys are called, and each service group's scale.
pub struct Common {
    pub depot: Arc<Depot>,
    pub front_keys: BTreeMap<Vec<u8>, (u32, VerifyingKey)>,
    pub scales: BTreeMap<String, f64>,
    /// Titles' true rates over the ladder's, where they differ.
    pub factors: BTreeMap<String, f64>,
    /// Bytes sent for a byte of the ladder's rates, and the length of a segment.
    pub bytes_scale: f64,
    pub segment: f64,
    /// How long a SETUP takes a box, in milliseconds, at least and at most.
    pub setup_takes: (f64, f64),
    /// Sessions end by themselves after that long, where it is set.
    pub sessions_last: Option<f64>,
    conns: AtomicU64,
}

impl Common {
    pub fn new(
        depot: Arc<Depot>,
        front_keys: BTreeMap<Vec<u8>, (u32, VerifyingKey)>,
        scales: BTreeMap<String, f64>,
        bytes_scale: f64,
        segment: f64,
    ) -> Self {
        let setup_takes = (3.0, 15.0);
        Common {
            depot,
            front_keys,
            scales,
            factors: BTreeMap::new(),
            bytes_scale,
            segment,
            setup_takes,
            sessions_last: None,
            conns: AtomicU64::new(0),
        }
    }
}

/// One process of a box.
pub struct Process {
    pub server: u32,
    pub control: SocketAddr,
    pub media: SocketAddr,
    generation: u64,
    common: Arc<Common>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

impl Process {
    pub fn start(common: &Arc<Common>, server: u32, cold: bool) -> io::Result<Self> {
        let control = TcpListener::bind("127.0.0.1:0")?;
        let media = TcpListener::bind("127.0.0.1:0")?;
        let generation = common.depot.start(server, cold);
        let open = Arc::new(Mutex::new(Vec::new()));
        let p = Process {
            server,
            control: control.local_addr()?,
            media: media.local_addr()?,
            generation,
            common: common.clone(),
            open,
            stopped: Arc::default(),
        };
        p.accept(control, Conn::control);
        p.accept(media, Conn::media);
        Ok(p)
    }

    fn accept(&self, listener: TcpListener, serve: fn(Conn, TcpStream)) {
        let (common, open, server, generation) =
            (self.common.clone(), self.open.clone(), self.server, self.generation);
        let stopped = self.stopped.clone();
        spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                let Ok(kept) = stream.try_clone() else { continue };
                if let Ok(mut open) = open.lock() {
                    open.push(kept);
                }
                let no = common.conns.fetch_add(1, Ordering::SeqCst);
                let conn = Conn { common: common.clone(), server, generation, no };
                spawn(move || serve(conn, stream));
            }
        });
    }

    /// The process dies: nothing listens any more, and all its connections break.
    pub fn kill(&self, why: &str) {
        self.common.depot.die(self.server, why);
        self.stopped.store(true, Ordering::SeqCst);
        for address in [self.control, self.media] {
            // Wakes the listener, which then closes.
            let _ = std::net::TcpStream::connect(address);
        }
        for stream in self.open.lock().map(|mut o| std::mem::take(&mut *o)).unwrap_or_default() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

struct Conn {
    common: Arc<Common>,
    server: u32,
    generation: u64,
    no: u64,
}

type Writer = Arc<Mutex<TcpStream>>;

impl Conn {
    /// Stands still while its box hangs; `false` once the box is dead.
    fn awake(&self) -> bool {
        loop {
            let until = self.common.depot.lock().boxes[self.server as usize].troubles.hang_until;
            if !self.common.depot.runs(self.server, self.generation) {
                return false;
            }
            let left = until - self.common.depot.seen.now();
            if left <= 0.0 {
                return true;
            }
            sleep(left.min(20.0));
        }
    }

    // ---- control ----

    fn control(self, mut stream: TcpStream) {
        let Ok(writer) = stream.try_clone().map(|s| Arc::new(Mutex::new(s))) else { return };
        let conn = Arc::new(self);
        let notices = (conn.clone(), writer.clone());
        spawn(move || notices.0.notices(&notices.1));
        let (mut reader, mut bytes) = (MessageReader::default(), vec![0; 8_192]);
        'read: while let Ok(n) = stream.read(&mut bytes) {
            if n == 0 {
                break;
            }
            reader.push(&bytes[..n]);
            loop {
                match reader.next_message() {
                    Ok(Some(Message::Request { cseq, request })) => conn.asked(cseq, request, &writer),
                    Ok(Some(Message::Response { .. })) => {}
                    Ok(None) => break,
                    Err(bad) => {
                        eprintln!("box {}: {bad}", conn.server);
                        break 'read;
                    }
                }
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        // The front is gone, and its sessions with it.
        let mut inside = conn.common.depot.lock();
        let b = &mut inside.boxes[conn.server as usize];
        if b.generation == conn.generation {
            let ended: Vec<u64> = b.sessions.values().filter(|s| s.conn == conn.no).map(|s| s.id).collect();
            for id in ended {
                b.sessions.remove(&id);
                conn.over(id, "front left");
            }
        }
    }

    fn over(&self, session: u64, why: &str) {
        self.common.depot.seen.saw(Seen::Over { server: self.server, session, why: why.into() });
    }

    fn say(&self, writer: &Writer, message: &Message) {
        let bytes = rtsp::encode(message, "127.0.0.1").expect("a plain host");
        if let Ok(mut stream) = writer.lock() {
            let _ = stream.write_all(&bytes);
        }
    }

    fn reply(&self, writer: &Writer, cseq: u32, status: u16, parameters: Vec<(String, f64)>) {
        self.say(writer, &Message::Response { cseq, status, session: None, parameters });
    }

    fn asked(self: &Arc<Self>, cseq: u32, request: ControlRequest, writer: &Writer) {
        match request {
            ControlRequest::Setup { title, service_group, rung, front_session, token } => {
                let front = self.front_of(&token, front_session);
                let Some(front) = front else {
                    return self.reply(writer, cseq, 401, Vec::new());
                };
                let session = front_session;
                let scale = self.common.scales.get(&service_group).copied().unwrap_or(1.0)
                    * self.common.factors.get(&title).copied().unwrap_or(1.0);
                let seen =
                    Seen::Setup { server: self.server, front, session, title, group: service_group, rung };
                if !self.common.depot.saw(self.server, self.generation, seen) {
                    return;
                }
                let (conn, writer) = (self.clone(), writer.clone());
                spawn(move || conn.set_up(cseq, session, scale, rung, &writer));
            }
            ControlRequest::GetParameter(_) => {
                let f = self.common.depot.report(self.server);
                let figures =
                    [(rtsp::STREAMS, f.streams), (rtsp::LINK_USE, f.link), (rtsp::UPLINK_USE, f.uplink)];
                let figures = figures.map(|(n, v)| (n.to_owned(), v)).to_vec();
                let (conn, writer) = (self.clone(), writer.clone());
                spawn(move || {
                    if conn.awake() {
                        conn.reply(&writer, cseq, 200, figures);
                    }
                });
            }
            // What comes to a box that hangs is seen as it comes, and done once it wakes.
            ControlRequest::SetParameter { .. } | ControlRequest::Teardown { .. } => {
                let (conn, writer) = (self.clone(), writer.clone());
                spawn(move || {
                    if conn.awake() {
                        conn.change(cseq, request, &writer);
                    }
                });
            }
            ControlRequest::Unsupported(_) => self.reply(writer, cseq, 501, Vec::new()),
        }
    }

    fn change(&self, cseq: u32, request: ControlRequest, writer: &Writer) {
        match request {
            ControlRequest::SetParameter { session, parameters } => {
                let rung = parameters.iter().find(|(n, _)| n == rtsp::RUNG).map(|(_, v)| *v as u8);
                let known = self.with_session(session.as_deref(), |s| {
                    if let Some(rung) = rung {
                        s.rung = rung;
                    }
                    s.id
                });
                if let (Some(id), Some(rung)) = (known, rung) {
                    self.common.depot.seen.saw(Seen::Rung { server: self.server, session: id, rung });
                }
                self.reply(writer, cseq, if known.is_some() { 200 } else { 454 }, Vec::new());
            }
            ControlRequest::Teardown { session } => {
                let known = self.with_session(Some(&session), |s| s.id);
                if let Some(id) = known {
                    self.common.depot.lock().boxes[self.server as usize].sessions.remove(&id);
                    self.over(id, "torn-down");
                }
                self.reply(writer, cseq, if known.is_some() { 200 } else { 454 }, Vec::new());
            }
            _ => {}
        }
    }

    /// Which front signed a session's token, if it is good for this session at this box.
    fn front_of(&self, token: &str, session: u64) -> Option<u32> {
        let front = Cell::new(None);
        let claims = token::verify_session(token, |id| {
            let (no, key) = self.common.front_keys.get(id).ok_or(KeyLookupError::Unknown)?;
            front.set(Some(*no));
            Ok(*key)
        });
        let good = |c: &walnutline_auth::claims::SessionClaims| {
            c.session == session && c.server == self.server && c.expires_at > self.common.depot.seen.now()
        };
        claims.ok().filter(good).and(front.get())
    }

    fn with_session<T>(&self, name: Option<&str>, with: impl FnOnce(&mut Session) -> T) -> Option<T> {
        let mut inside = self.common.depot.lock();
        let sessions = &mut inside.boxes[self.server as usize].sessions;
        sessions.values_mut().find(|s| Some(s.name.as_str()) == name && s.conn == self.no).map(with)
    }

    fn set_up(&self, cseq: u32, id: u64, scale: f64, rung: u8, writer: &Writer) {
        let depot = &self.common.depot;
        let mut rng = StdRng::seed_from_u64(id ^ u64::from(self.server) << 40);
        let fell = {
            let now = depot.seen.now();
            depot.lock().pushed_over(self.server as usize, now)
        };
        if fell {
            depot.die(self.server, "fell over");
            return;
        }
        let (least, most) = self.common.setup_takes;
        if most > 0.0 {
            sleep(rng.random_range(least..most));
        }
        if !self.awake() {
            return;
        }
        let now = depot.seen.now();
        let name = format!("{:x}-{id:x}", self.generation);
        let (status, lost) = {
            let mut inside = depot.lock();
            let kind = inside.kind.clone();
            let asked = inside.asked_kb(self.server as usize);
            let b = &mut inside.boxes[self.server as usize];
            let mut within = |(share, until): (f64, f64)| now < until && rng.random_bool(share);
            let (failed, lost) = (within(b.troubles.errors), within(b.troubles.lose));
            let full = b.sessions.len() >= kind.streams || asked > kind.busy_from * kind.link_kb;
            let status = match () {
                _ if failed => 500,
                _ if full => rtsp::NOT_ENOUGH_BANDWIDTH,
                _ => 200,
            };
            if status == 200 {
                let s = Session { name: name.clone(), id, conn: self.no, rung, scale, fetched: now };
                b.sessions.insert(id, s);
            }
            (status, lost)
        };
        if lost {
            return;
        }
        // Seen before it is sent: what a front does on it must not be recorded earlier.
        if !depot.saw(
            self.server,
            self.generation,
            Seen::SetupDone { server: self.server, session: id, status },
        ) {
            return;
        }
        let session = (status == 200).then_some(name.clone());
        self.say(writer, &Message::Response { cseq, status, session, parameters: Vec::new() });
        if let Some(lasts) = self.common.sessions_last.filter(|_| status == 200) {
            sleep(lasts);
            if depot.lock().boxes[self.server as usize].sessions.remove(&id).is_some() {
                self.over(id, "its end");
                self.say(
                    writer,
                    &Message::Request { cseq, request: ControlRequest::Teardown { session: name } },
                );
            }
        }
    }

    /// Tells its front, once a second, of the share delivered while it falls short and once after; and of
    /// sessions that nobody watches any more.
    fn notices(&self, writer: &Writer) {
        let (mut cseq, mut was_short) = (0, false);
        while self.awake() {
            sleep(NOTICE_EVERY);
            let now = self.common.depot.seen.now();
            let mut requests = Vec::new();
            {
                let mut inside = self.common.depot.lock();
                let late_until = inside.reports_late.1;
                let share = inside.share(self.server as usize, now);
                let b = &mut inside.boxes[self.server as usize];
                let own = b.sessions.values().any(|s| s.conn == self.no);
                if own && now >= late_until && (share < 0.98 || was_short) {
                    was_short = share < 0.98;
                    requests.push(ControlRequest::SetParameter {
                        session: None,
                        parameters: vec![(rtsp::DELIVERED_SHARE.into(), share)],
                    });
                }
                let idle = |s: &&Session| s.conn == self.no && now - s.fetched > UNWATCHED;
                let ended: Vec<(u64, String)> =
                    b.sessions.values().filter(idle).map(|s| (s.id, s.name.clone())).collect();
                for (id, session) in ended {
                    b.sessions.remove(&id);
                    self.over(id, "not watched");
                    requests.push(ControlRequest::Teardown { session });
                }
            }
            for request in requests {
                cseq += 1;
                self.say(writer, &Message::Request { cseq, request });
            }
        }
    }

    // ---- media ----

    fn media(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(head)) = read_head(&mut stream, &mut buffer) {
            if !self.awake() {
                break;
            }
            let path = head.split(' ').nth(1).unwrap_or("");
            let (status, body) = match self.segment(path) {
                Ok((bytes, wait)) => {
                    sleep(wait);
                    (200, bytes)
                }
                Err(status) => (status, 0),
            };
            let text = format!("HTTP/1.1 {status} -\r\nContent-Length: {body}\r\n\r\n");
            let sent = stream.write_all(text.as_bytes()).and_then(|()| stream.write_all(&vec![0x5a; body]));
            if sent.is_err() || header(&head, "Connection") == Some("close") {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Size of a segment and how much longer it takes than it should; or why it is not given.
    fn segment(&self, path: &str) -> Result<(usize, f64), u16> {
        let mut parts = path.strip_prefix("/s/").ok_or(404u16)?.split('/');
        let mut next = || parts.next().ok_or(404u16);
        let (id, token, rung) = (next()?, next()?, next()?);
        let (id, rung): (u64, u8) = (id.parse().map_err(|_| 404u16)?, rung.parse().map_err(|_| 404u16)?);
        self.front_of(token, id).ok_or(403u16)?;
        let now = self.common.depot.seen.now();
        let mut inside = self.common.depot.lock();
        let share = inside.share(self.server as usize, now);
        let rates = inside.kind.rung_kb.clone();
        let s = inside.boxes[self.server as usize].sessions.get_mut(&id).ok_or(410u16)?;
        s.fetched = now;
        let rate = rates.get(rung.min(s.rung) as usize).ok_or(404u16)? * s.scale;
        let bytes = rate * self.common.segment * self.common.bytes_scale;
        Ok((bytes as usize, self.common.segment * (1.0 / share - 1.0)))
    }
}
