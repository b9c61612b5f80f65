//! Stand-in boxes on sockets: RTSP 2.0 control for fronts, segments over HTTP for viewers.
use crate::fleet::{Fleet, Session};
use crate::net::{header_value, read_head, sleep, spawn};
use crate::record::Observation;
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
use walnutline_control::rtsp::{self, ControlRequest, Message, MessageReader};
use walnutline_dash::{token, VerifyingKey};
use walnutline_gate::keys::KeyLookupError;

/// A session for which no segment is asked in this time is over.
const UNWATCHED: f64 = 4_000.0;
/// Time between notices to a front that has sessions here.
const NOTICE_EVERY: f64 = 1_000.0;

/// What all boxes are told at the start: how fronts' keys are called, and each service group's scale.
pub struct BoxContext {
    pub fleet: Arc<Fleet>,
    pub front_keys: BTreeMap<Vec<u8>, (u32, VerifyingKey)>,
    pub group_rate_scales: BTreeMap<String, f64>,
    /// Titles' true rates over the ladder's, where they differ.
    pub title_rate_factors: BTreeMap<String, f64>,
    /// Bytes sent for a byte of the ladder's rates, and the length of a segment.
    pub bytes_scale: f64,
    pub segment_ms: f64,
    /// How long a SETUP takes a box, in milliseconds, at least and at most.
    pub setup_duration_ms: (f64, f64),
    /// Sessions end by themselves after that long, where it is set.
    pub session_duration_ms: Option<f64>,
    conns: AtomicU64,
}

impl BoxContext {
    pub fn new(
        fleet: Arc<Fleet>,
        front_keys: BTreeMap<Vec<u8>, (u32, VerifyingKey)>,
        scales: BTreeMap<String, f64>,
        bytes_scale: f64,
        segment: f64,
    ) -> Self {
        let setup_takes = (3.0, 15.0);
        BoxContext {
            fleet,
            front_keys,
            group_rate_scales: scales,
            title_rate_factors: BTreeMap::new(),
            bytes_scale,
            segment_ms: segment,
            setup_duration_ms: setup_takes,
            session_duration_ms: None,
            conns: AtomicU64::new(0),
        }
    }
}

/// One process of a box.
pub struct BoxProcess {
    pub server: u32,
    pub control_addr: SocketAddr,
    pub media_addr: SocketAddr,
    generation: u64,
    common: Arc<BoxContext>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

impl BoxProcess {
    pub fn start(common: &Arc<BoxContext>, server: u32, cold: bool) -> io::Result<Self> {
        let control = TcpListener::bind("127.0.0.1:0")?;
        let media = TcpListener::bind("127.0.0.1:0")?;
        let generation = common.fleet.start_process(server, cold);
        let open = Arc::new(Mutex::new(Vec::new()));
        let p = BoxProcess {
            server,
            control_addr: control.local_addr()?,
            media_addr: media.local_addr()?,
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
    pub fn kill(&self, reason: &str) {
        self.common.fleet.stop_process(self.server, reason);
        self.stopped.store(true, Ordering::SeqCst);
        for address in [self.control_addr, self.media_addr] {
            // Wakes the listener, which then closes.
            let _ = std::net::TcpStream::connect(address);
        }
        for stream in self.open.lock().map(|mut o| std::mem::take(&mut *o)).unwrap_or_default() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

struct Conn {
    common: Arc<BoxContext>,
    server: u32,
    generation: u64,
    no: u64,
}

type Writer = Arc<Mutex<TcpStream>>;

impl Conn {
    /// Stands still while its box hangs; `false` once the box is dead.
    fn awake(&self) -> bool {
        loop {
            let until = self.common.fleet.lock().boxes[self.server as usize].faults.hang_until;
            if !self.common.fleet.is_running(self.server, self.generation) {
                return false;
            }
            let left = until - self.common.fleet.recorder.now_ms();
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
        let mut inside = conn.common.fleet.lock();
        let b = &mut inside.boxes[conn.server as usize];
        if b.generation == conn.generation {
            let ended: Vec<u64> =
                b.sessions.values().filter(|s| s.connection == conn.no).map(|s| s.id).collect();
            for id in ended {
                b.sessions.remove(&id);
                conn.over(id, "front left");
            }
        }
    }

    fn over(&self, session: u64, reason: &str) {
        self.common.fleet.recorder.record(Observation::SessionEnded {
            server: self.server,
            session,
            reason: reason.into(),
        });
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
                let scale = self.common.group_rate_scales.get(&service_group).copied().unwrap_or(1.0)
                    * self.common.title_rate_factors.get(&title).copied().unwrap_or(1.0);
                let seen = Observation::SetupReceived {
                    server: self.server,
                    front,
                    session,
                    title,
                    group: service_group,
                    rung,
                };
                if !self.common.fleet.record_if_running(self.server, self.generation, seen) {
                    return;
                }
                let (conn, writer) = (self.clone(), writer.clone());
                spawn(move || conn.set_up(cseq, session, scale, rung, &writer));
            }
            ControlRequest::GetParameter(_) => {
                let f = self.common.fleet.delayed_load(self.server);
                let figures = [
                    (rtsp::STREAMS, f.streams),
                    (rtsp::LINK_USE, f.link_use),
                    (rtsp::UPLINK_USE, f.uplink_use),
                ];
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
                    self.common.fleet.recorder.record(Observation::RungSet {
                        server: self.server,
                        session: id,
                        rung,
                    });
                }
                self.reply(writer, cseq, if known.is_some() { 200 } else { 454 }, Vec::new());
            }
            ControlRequest::Teardown { session } => {
                let known = self.with_session(Some(&session), |s| s.id);
                if let Some(id) = known {
                    self.common.fleet.lock().boxes[self.server as usize].sessions.remove(&id);
                    self.over(id, "torn-down");
                }
                self.reply(writer, cseq, if known.is_some() { 200 } else { 454 }, Vec::new());
            }
            _ => {}
        }
    }

    /// BoxSelection front signed a session's token, if it is good for this session at this box.
    fn front_of(&self, token: &str, session: u64) -> Option<u32> {
        let front = Cell::new(None);
        let claims = token::verify_session(token, |id| {
            let (no, key) = self.common.front_keys.get(id).ok_or(KeyLookupError::Unknown)?;
            front.set(Some(*no));
            Ok(*key)
        });
        let good = |c: &walnutline_gate::claims::SessionClaims| {
            c.session == session
                && c.server == self.server
                && c.expires_at > self.common.fleet.recorder.now_ms()
        };
        claims.ok().filter(good).and(front.get())
    }

    fn with_session<T>(&self, name: Option<&str>, with: impl FnOnce(&mut Session) -> T) -> Option<T> {
        let mut inside = self.common.fleet.lock();
        let sessions = &mut inside.boxes[self.server as usize].sessions;
        sessions
            .values_mut()
            .find(|s| Some(s.rtsp_session.as_str()) == name && s.connection == self.no)
            .map(with)
    }

    fn set_up(&self, cseq: u32, id: u64, scale: f64, rung: u8, writer: &Writer) {
        let fleet = &self.common.fleet;
        let mut rng = StdRng::seed_from_u64(id ^ u64::from(self.server) << 40);
        let fell = {
            let now = fleet.recorder.now_ms();
            fleet.lock().setup_overloads_cold_box(self.server as usize, now)
        };
        if fell {
            fleet.stop_process(self.server, "fell over");
            return;
        }
        let (least, most) = self.common.setup_duration_ms;
        if most > 0.0 {
            sleep(rng.random_range(least..most));
        }
        if !self.awake() {
            return;
        }
        let now = fleet.recorder.now_ms();
        let name = format!("{:x}-{id:x}", self.generation);
        let (status, lost) = {
            let mut inside = fleet.lock();
            let kind = inside.kind.clone();
            let asked = inside.demanded_kb_per_s(self.server as usize);
            let b = &mut inside.boxes[self.server as usize];
            let mut within = |(share, until): (f64, f64)| now < until && rng.random_bool(share);
            let (failed, lost) = (within(b.faults.setup_errors), within(b.faults.lost_answers));
            let full =
                b.sessions.len() >= kind.max_streams || asked > kind.busy_link_use * kind.link_kb_per_s;
            let status = match () {
                _ if failed => 500,
                _ if full => rtsp::NOT_ENOUGH_BANDWIDTH,
                _ => 200,
            };
            if status == 200 {
                let s = Session {
                    rtsp_session: name.clone(),
                    id,
                    connection: self.no,
                    rung,
                    rate_scale: scale,
                    last_fetch_at_ms: now,
                };
                b.sessions.insert(id, s);
            }
            (status, lost)
        };
        if lost {
            return;
        }
        // Observation before it is sent: what a front does on it must not be recorded earlier.
        if !fleet.record_if_running(
            self.server,
            self.generation,
            Observation::SetupAnswered { server: self.server, session: id, status },
        ) {
            return;
        }
        let session = (status == 200).then_some(name.clone());
        self.say(writer, &Message::Response { cseq, status, session, parameters: Vec::new() });
        if let Some(lasts) = self.common.session_duration_ms.filter(|_| status == 200) {
            sleep(lasts);
            if fleet.lock().boxes[self.server as usize].sessions.remove(&id).is_some() {
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
            let now = self.common.fleet.recorder.now_ms();
            let mut requests = Vec::new();
            {
                let mut inside = self.common.fleet.lock();
                let late_until = inside.report_delay.1;
                let share = inside.delivered_share(self.server as usize, now);
                let b = &mut inside.boxes[self.server as usize];
                let own = b.sessions.values().any(|s| s.connection == self.no);
                if own && now >= late_until && (share < 0.98 || was_short) {
                    was_short = share < 0.98;
                    requests.push(ControlRequest::SetParameter {
                        session: None,
                        parameters: vec![(rtsp::DELIVERED_SHARE.into(), share)],
                    });
                }
                let idle = |s: &&Session| s.connection == self.no && now - s.last_fetch_at_ms > UNWATCHED;
                let ended: Vec<(u64, String)> =
                    b.sessions.values().filter(idle).map(|s| (s.id, s.rtsp_session.clone())).collect();
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
            if sent.is_err() || header_value(&head, "Connection") == Some("close") {
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
        let now = self.common.fleet.recorder.now_ms();
        let mut inside = self.common.fleet.lock();
        let share = inside.delivered_share(self.server as usize, now);
        let rates = inside.kind.rung_kb_per_s.clone();
        let s = inside.boxes[self.server as usize].sessions.get_mut(&id).ok_or(410u16)?;
        s.last_fetch_at_ms = now;
        let rate = rates.get(rung.min(s.rung) as usize).ok_or(404u16)? * s.rate_scale;
        let bytes = rate * self.common.segment_ms * self.common.bytes_scale;
        Ok((bytes as usize, self.common.segment_ms * (1.0 / share - 1.0)))
    }
}
