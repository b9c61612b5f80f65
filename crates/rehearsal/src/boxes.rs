//! Sockets of the simulated boxes: RTSP 2.0 control connections from fronts, HTTP connections from viewers that fetch
//! segments. The state of the boxes is in [`crate::fleet`].
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
use walnutline_auth::keys::KeyLookupError;
use walnutline_control::rtsp::{self, ControlRequest, Message, MessageReader};
use walnutline_dash::{token, VerifyingKey};

/// A session ends when no segment is requested for this time.
const SESSION_IDLE_TIMEOUT_MS: f64 = 4_000.0;
/// Interval of the requests that a box sends to a front that has sessions on it.
const NOTIFY_INTERVAL_MS: f64 = 1_000.0;

/// What all boxes of a rehearsal share.
pub struct BoxContext {
    pub fleet: Arc<Fleet>,
    /// Number and public key of each front, by the id of the key.
    pub front_keys: BTreeMap<Vec<u8>, (u32, VerifyingKey)>,
    /// Rates of a service group's sessions as a multiple of the ladder's; 1 for groups that are not in the map.
    pub group_rate_scales: BTreeMap<String, f64>,
    /// True rates of a title as a multiple of the ladder's; 1 for titles that are not in the map.
    pub title_rate_factors: BTreeMap<String, f64>,
    /// Bytes sent for each byte of the nominal rates.
    pub bytes_scale: f64,
    /// Nominal duration of a segment.
    pub segment_ms: f64,
    /// Shortest and longest time that a box takes for a SETUP.
    pub setup_duration_ms: (f64, f64),
    /// If set, a box ends each session after this time.
    pub session_duration_ms: Option<f64>,
    next_connection: AtomicU64,
}

impl BoxContext {
    /// A context in which a SETUP takes 3 to 15 ms and sessions do not end by themselves.
    pub fn new(
        fleet: Arc<Fleet>,
        front_keys: BTreeMap<Vec<u8>, (u32, VerifyingKey)>,
        group_rate_scales: BTreeMap<String, f64>,
        bytes_scale: f64,
        segment_ms: f64,
    ) -> Self {
        let setup_duration_ms = (3.0, 15.0);
        BoxContext {
            fleet,
            front_keys,
            group_rate_scales,
            title_rate_factors: BTreeMap::new(),
            bytes_scale,
            segment_ms,
            setup_duration_ms,
            session_duration_ms: None,
            next_connection: AtomicU64::new(0),
        }
    }
}

/// One process of a box, with its sockets.
pub struct BoxProcess {
    pub server: u32,
    pub control_addr: SocketAddr,
    pub media_addr: SocketAddr,
    generation: u64,
    context: Arc<BoxContext>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

impl BoxProcess {
    /// Starts a process that listens on two free ports of the loopback address.
    pub fn start(context: &Arc<BoxContext>, server: u32, cold: bool) -> io::Result<Self> {
        let control = TcpListener::bind("127.0.0.1:0")?;
        let media = TcpListener::bind("127.0.0.1:0")?;
        let generation = context.fleet.start_process(server, cold);
        let open_streams = Arc::new(Mutex::new(Vec::new()));
        let process = BoxProcess {
            server,
            control_addr: control.local_addr()?,
            media_addr: media.local_addr()?,
            generation,
            context: context.clone(),
            open_streams,
            stopped: Arc::default(),
        };
        process.accept(control, Connection::serve_control);
        process.accept(media, Connection::serve_media);
        Ok(process)
    }

    /// Accepts connections until the process is killed, and serves each in a coroutine.
    fn accept(&self, listener: TcpListener, serve: fn(Connection, TcpStream)) {
        let (context, open_streams, server, generation) =
            (self.context.clone(), self.open_streams.clone(), self.server, self.generation);
        let stopped = self.stopped.clone();
        spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { continue };
                if let Ok(mut streams) = open_streams.lock() {
                    streams.push(clone);
                }
                let id = context.next_connection.fetch_add(1, Ordering::SeqCst);
                let connection = Connection { context: context.clone(), server, generation, id };
                spawn(move || serve(connection, stream));
            }
        });
    }

    /// Kills the process: its sessions end, its ports are closed and its connections break.
    pub fn kill(&self, reason: &str) {
        self.context.fleet.stop_process(self.server, reason);
        self.stopped.store(true, Ordering::SeqCst);
        for address in [self.control_addr, self.media_addr] {
            // Wakes up `accept`, which then sees that the process is stopped.
            let _ = std::net::TcpStream::connect(address);
        }
        for stream in
            self.open_streams.lock().map(|mut streams| std::mem::take(&mut *streams)).unwrap_or_default()
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A connection to a process of a box.
struct Connection {
    context: Arc<BoxContext>,
    server: u32,
    generation: u64,
    id: u64,
}

/// The writing side of a control connection, shared by the coroutines that answer on it.
type Writer = Arc<Mutex<TcpStream>>;

impl Connection {
    /// Waits while the box hangs; returns whether its process is still running then.
    fn wait_while_hanging(&self) -> bool {
        loop {
            let until = self.context.fleet.lock().boxes[self.server as usize].faults.hang_until;
            if !self.context.fleet.is_running(self.server, self.generation) {
                return false;
            }
            let remaining_ms = until - self.context.fleet.recorder.now_ms();
            if remaining_ms <= 0.0 {
                return true;
            }
            sleep(remaining_ms.min(20.0));
        }
    }

    /// Serves a control connection until either side closes it.
    fn serve_control(self, mut stream: TcpStream) {
        let Ok(writer) = stream.try_clone().map(|s| Arc::new(Mutex::new(s))) else { return };
        let connection = Arc::new(self);
        let notifier = (connection.clone(), writer.clone());
        spawn(move || notifier.0.notify_front(&notifier.1));
        let (mut reader, mut bytes) = (MessageReader::default(), vec![0; 8_192]);
        'read: while let Ok(n) = stream.read(&mut bytes) {
            if n == 0 {
                break;
            }
            reader.push(&bytes[..n]);
            loop {
                match reader.next_message() {
                    Ok(Some(Message::Request { cseq, request })) => {
                        connection.handle_request(cseq, request, &writer)
                    }
                    Ok(Some(Message::Response { .. })) => {}
                    Ok(None) => break,
                    Err(error) => {
                        eprintln!("box {}: {error}", connection.server);
                        break 'read;
                    }
                }
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        // Sessions end with the control connection that they were set up on.
        let mut state = connection.context.fleet.lock();
        let simulated_box = &mut state.boxes[connection.server as usize];
        if simulated_box.generation == connection.generation {
            let ended: Vec<u64> = simulated_box
                .sessions
                .values()
                .filter(|s| s.connection == connection.id)
                .map(|s| s.id)
                .collect();
            for id in ended {
                simulated_box.sessions.remove(&id);
                connection.record_end(id, "front left");
            }
        }
    }

    /// Records the end of a session.
    fn record_end(&self, session: u64, reason: &str) {
        self.context.fleet.recorder.record(Observation::SessionEnded {
            server: self.server,
            session,
            reason: reason.into(),
        });
    }

    fn send(&self, writer: &Writer, message: &Message) {
        let bytes = rtsp::encode(message, "127.0.0.1").expect("a valid host");
        if let Ok(mut stream) = writer.lock() {
            let _ = stream.write_all(&bytes);
        }
    }

    fn respond(&self, writer: &Writer, cseq: u32, status: u16, parameters: Vec<(String, f64)>) {
        self.send(writer, &Message::Response { cseq, status, session: None, parameters });
    }

    /// Handles a request of a front. Requests that may have to wait are handled in a coroutine each.
    fn handle_request(self: &Arc<Self>, cseq: u32, request: ControlRequest, writer: &Writer) {
        match request {
            ControlRequest::Setup { title, service_group, rung, front_session, token } => {
                let front = self.front_of_token(&token, front_session);
                let Some(front) = front else {
                    return self.respond(writer, cseq, 401, Vec::new());
                };
                let session = front_session;
                let scale = self.context.group_rate_scales.get(&service_group).copied().unwrap_or(1.0)
                    * self.context.title_rate_factors.get(&title).copied().unwrap_or(1.0);
                let observation = Observation::SetupReceived {
                    server: self.server,
                    front,
                    session,
                    title,
                    group: service_group,
                    rung,
                };
                if !self.context.fleet.record_if_running(self.server, self.generation, observation) {
                    return;
                }
                let (connection, writer) = (self.clone(), writer.clone());
                spawn(move || connection.set_up(cseq, session, scale, rung, &writer));
            }
            ControlRequest::GetParameter(_) => {
                let load = self.context.fleet.delayed_load(self.server);
                let parameters = [
                    (rtsp::STREAMS, load.streams),
                    (rtsp::LINK_USE, load.link_use),
                    (rtsp::UPLINK_USE, load.uplink_use),
                ];
                let parameters = parameters.map(|(name, value)| (name.to_owned(), value)).to_vec();
                let (connection, writer) = (self.clone(), writer.clone());
                spawn(move || {
                    if connection.wait_while_hanging() {
                        connection.respond(&writer, cseq, 200, parameters);
                    }
                });
            }
            // A box that hangs receives these at once but carries them out only when it responds again.
            ControlRequest::SetParameter { .. } | ControlRequest::Teardown { .. } => {
                let (connection, writer) = (self.clone(), writer.clone());
                spawn(move || {
                    if connection.wait_while_hanging() {
                        connection.change_session(cseq, request, &writer);
                    }
                });
            }
            ControlRequest::Unsupported(_) => self.respond(writer, cseq, 501, Vec::new()),
        }
    }

    /// Carries out a SET_PARAMETER or TEARDOWN.
    fn change_session(&self, cseq: u32, request: ControlRequest, writer: &Writer) {
        match request {
            ControlRequest::SetParameter { session, parameters } => {
                let rung =
                    parameters.iter().find(|(name, _)| name == rtsp::RUNG).map(|(_, value)| *value as u8);
                let known = self.with_session(session.as_deref(), |s| {
                    if let Some(rung) = rung {
                        s.rung = rung;
                    }
                    s.id
                });
                if let (Some(id), Some(rung)) = (known, rung) {
                    self.context.fleet.recorder.record(Observation::RungSet {
                        server: self.server,
                        session: id,
                        rung,
                    });
                }
                self.respond(writer, cseq, if known.is_some() { 200 } else { 454 }, Vec::new());
            }
            ControlRequest::Teardown { session } => {
                let known = self.with_session(Some(&session), |s| s.id);
                if let Some(id) = known {
                    self.context.fleet.lock().boxes[self.server as usize].sessions.remove(&id);
                    self.record_end(id, "torn-down");
                }
                self.respond(writer, cseq, if known.is_some() { 200 } else { 454 }, Vec::new());
            }
            _ => {}
        }
    }

    /// The front that signed a session token, if the token is valid for this session on this box.
    fn front_of_token(&self, token: &str, session: u64) -> Option<u32> {
        let front = Cell::new(None);
        let claims = token::verify_session(token, |id| {
            let (number, key) = self.context.front_keys.get(id).ok_or(KeyLookupError::Unknown)?;
            front.set(Some(*number));
            Ok(*key)
        });
        let valid = |c: &walnutline_auth::claims::SessionClaims| {
            c.session == session
                && c.server == self.server
                && c.expires_at > self.context.fleet.recorder.now_ms()
        };
        claims.ok().filter(valid).and(front.get())
    }

    /// Applies a function to a session of this connection, found by its RTSP session id.
    fn with_session<T>(
        &self,
        rtsp_session: Option<&str>,
        apply: impl FnOnce(&mut Session) -> T,
    ) -> Option<T> {
        let mut state = self.context.fleet.lock();
        let sessions = &mut state.boxes[self.server as usize].sessions;
        sessions
            .values_mut()
            .find(|s| Some(s.rtsp_session.as_str()) == rtsp_session && s.connection == self.id)
            .map(apply)
    }

    /// Carries out a SETUP and answers it.
    fn set_up(&self, cseq: u32, id: u64, scale: f64, rung: u8, writer: &Writer) {
        let fleet = &self.context.fleet;
        let mut rng = StdRng::seed_from_u64(id ^ u64::from(self.server) << 40);
        let overloaded = {
            let now = fleet.recorder.now_ms();
            fleet.lock().setup_overloads_cold_box(self.server as usize, now)
        };
        if overloaded {
            fleet.stop_process(self.server, "fell over");
            return;
        }
        let (shortest, longest) = self.context.setup_duration_ms;
        if longest > 0.0 {
            sleep(rng.random_range(shortest..longest));
        }
        if !self.wait_while_hanging() {
            return;
        }
        let now = fleet.recorder.now_ms();
        let rtsp_session = format!("{:x}-{id:x}", self.generation);
        let (status, lost) = {
            let mut state = fleet.lock();
            let settings = state.box_settings.clone();
            let demand = state.demanded_kb_per_s(self.server as usize);
            let simulated_box = &mut state.boxes[self.server as usize];
            let mut occurs = |(share, until): (f64, f64)| now < until && rng.random_bool(share);
            let (failed, lost) =
                (occurs(simulated_box.faults.setup_errors), occurs(simulated_box.faults.lost_answers));
            let full = simulated_box.sessions.len() >= settings.max_streams
                || demand > settings.busy_link_use * settings.link_kb_per_s;
            let status = match () {
                _ if failed => 500,
                _ if full => rtsp::NOT_ENOUGH_BANDWIDTH,
                _ => 200,
            };
            if status == 200 {
                let s = Session {
                    rtsp_session: rtsp_session.clone(),
                    id,
                    connection: self.id,
                    rung,
                    rate_scale: scale,
                    last_fetch_at_ms: now,
                };
                simulated_box.sessions.insert(id, s);
            }
            (status, lost)
        };
        if lost {
            return;
        }
        // Recorded before it is sent: what the front does in response must not be recorded earlier.
        if !fleet.record_if_running(
            self.server,
            self.generation,
            Observation::SetupAnswered { server: self.server, session: id, status },
        ) {
            return;
        }
        let session = (status == 200).then_some(rtsp_session.clone());
        self.send(writer, &Message::Response { cseq, status, session, parameters: Vec::new() });
        if let Some(duration_ms) = self.context.session_duration_ms.filter(|_| status == 200) {
            sleep(duration_ms);
            if fleet.lock().boxes[self.server as usize].sessions.remove(&id).is_some() {
                self.record_end(id, "its end");
                self.send(
                    writer,
                    &Message::Request { cseq, request: ControlRequest::Teardown { session: rtsp_session } },
                );
            }
        }
    }

    /// At each interval, sends the front the delivered share while it is below 98 %, and once more after that; and a
    /// TEARDOWN for each session that has been idle for too long.
    fn notify_front(&self, writer: &Writer) {
        let (mut cseq, mut was_reduced) = (0, false);
        while self.wait_while_hanging() {
            sleep(NOTIFY_INTERVAL_MS);
            let now = self.context.fleet.recorder.now_ms();
            let mut requests = Vec::new();
            {
                let mut state = self.context.fleet.lock();
                let reports_late_until = state.report_delay.1;
                let share = state.delivered_share(self.server as usize, now);
                let simulated_box = &mut state.boxes[self.server as usize];
                let has_sessions = simulated_box.sessions.values().any(|s| s.connection == self.id);
                if has_sessions && now >= reports_late_until && (share < 0.98 || was_reduced) {
                    was_reduced = share < 0.98;
                    requests.push(ControlRequest::SetParameter {
                        session: None,
                        parameters: vec![(rtsp::DELIVERED_SHARE.into(), share)],
                    });
                }
                let idle = |s: &&Session| {
                    s.connection == self.id && now - s.last_fetch_at_ms > SESSION_IDLE_TIMEOUT_MS
                };
                let ended: Vec<(u64, String)> = simulated_box
                    .sessions
                    .values()
                    .filter(idle)
                    .map(|s| (s.id, s.rtsp_session.clone()))
                    .collect();
                for (id, session) in ended {
                    simulated_box.sessions.remove(&id);
                    self.record_end(id, "not watched");
                    requests.push(ControlRequest::Teardown { session });
                }
            }
            for request in requests {
                cseq += 1;
                self.send(writer, &Message::Request { cseq, request });
            }
        }
    }

    /// Serves an HTTP connection of a viewer.
    fn serve_media(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(head)) = read_head(&mut stream, &mut buffer) {
            if !self.wait_while_hanging() {
                break;
            }
            let path = head.split(' ').nth(1).unwrap_or("");
            let (status, body) = match self.segment(path) {
                Ok((bytes, delay_ms)) => {
                    sleep(delay_ms);
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

    /// Size of a segment and its delay in milliseconds beyond the nominal duration; an error is the HTTP status.
    fn segment(&self, path: &str) -> Result<(usize, f64), u16> {
        let mut parts = path.strip_prefix("/s/").ok_or(404u16)?.split('/');
        let mut next = || parts.next().ok_or(404u16);
        let (id, token, rung) = (next()?, next()?, next()?);
        let (id, rung): (u64, u8) = (id.parse().map_err(|_| 404u16)?, rung.parse().map_err(|_| 404u16)?);
        self.front_of_token(token, id).ok_or(403u16)?;
        let now = self.context.fleet.recorder.now_ms();
        let mut state = self.context.fleet.lock();
        let share = state.delivered_share(self.server as usize, now);
        let rates = state.box_settings.rung_kb_per_s.clone();
        let s = state.boxes[self.server as usize].sessions.get_mut(&id).ok_or(410u16)?;
        s.last_fetch_at_ms = now;
        let rate = rates.get(rung.min(s.rung) as usize).ok_or(404u16)? * s.rate_scale;
        let bytes = rate * self.context.segment_ms * self.context.bytes_scale;
        Ok((bytes as usize, self.context.segment_ms * (1.0 / share - 1.0)))
    }
}
