//! Viewers' connections: one coroutine reads requests, one answers them in their order. A request that is taken
//! gets exactly one answer.
use crate::boxes::spawn;
use crate::connection_monitor::{ConnectionTimer, Monitored};
use crate::http::{self, Request, RequestError, Response};
use crate::hub::{HubEvent, SessionContext, SessionReply};
use crate::{response, Shared};
use may::net::{TcpListener, TcpStream};
use may::sync::{mpsc, Semphore};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use walnutline::ids::{GroupIndex, ServerId, SessionId, TitleId};
use walnutline_auth::authorization::Refusal;
use walnutline_auth::claims::ViewerClaims;
use walnutline_catalogue::advisor;
use walnutline_catalogue::version::Version;
use walnutline_sessions::session_manager::SessionRequest;

/// What the answering coroutine of a connection is told.
pub enum ConnectionMessage {
    Request(Request),
    Invalid(RequestError),
    Reply(SessionId, SessionReply),
    /// The viewer sends no more, or the connection broke: nobody waits for an answer any more.
    Disconnected,
}

/// Names sessions: above a start drawn anew by each process, so that boxes hear no name twice.
struct Names(AtomicU64);

impl Names {
    fn next(&self) -> SessionId {
        SessionId(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

pub fn start(shared: Arc<Shared>, listener: TcpListener, seed: u64) -> io::Result<()> {
    let start = fastrand::Rng::with_seed(seed ^ shared.clock.now().to_bits()).u64(..1 << 52) << 10;
    let names = Arc::new(Names(AtomicU64::new(start)));
    spawn(move || loop {
        match listener.accept() {
            Ok((stream, _)) => accepted(&shared, &names, stream),
            Err(e) => {
                // Out of descriptors or memory: trying again at once would only spin.
                tracing::warn!("accept: {e}");
                shared.monitor.wait_for_next_scan();
            }
        }
    });
    Ok(())
}

fn accepted(shared: &Arc<Shared>, names: &Arc<Names>, stream: TcpStream) {
    let open = shared.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
    let _ = stream.set_nodelay(true);
    let full = open > shared.viewer_limits.max_connections;
    match stream.inner().try_clone() {
        Ok(socket) if !full => {
            let (inbox, msgs) = mpsc::channel();
            let connection = Arc::new(Connection {
                shared: shared.clone(),
                names: names.clone(),
                socket,
                inbox,
                ahead: Semphore::new(shared.viewer_limits.max_pipelined),
                timer: ConnectionTimer::new(shared.clock.now()),
            });
            shared.monitor.register(&connection);
            let c = connection.clone();
            spawn(move || {
                c.answers(msgs);
                c.shared.open_connections.fetch_sub(1, Ordering::SeqCst);
            });
            spawn(move || connection.reads(stream));
        }
        _ => {
            // Best effort, without waiting: whoever floods the front is not to hold it up.
            let answer =
                http::encode_response(&response::busy("too many connections", 1_000.0), false, false);
            let _ = stream.inner().write(&answer);
            shared.open_connections.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

pub struct Connection {
    shared: Arc<Shared>,
    names: Arc<Names>,
    /// The socket once more, for answers and for closing it: it never blocks.
    socket: std::net::TcpStream,
    inbox: mpsc::Sender<ConnectionMessage>,
    /// Leave to read one more request.
    ahead: Semphore,
    timer: ConnectionTimer,
}

impl Monitored for Connection {
    fn take_expired(&self, now: f64) -> bool {
        self.timer.take_expired(now, &self.shared.viewer_limits)
    }

    fn shut_down(&self) {
        let _ = self.socket.shutdown(Shutdown::Read);
    }
}

impl Connection {
    fn reads(&self, mut stream: TcpStream) {
        let (mut buffer, mut bytes) = (Vec::new(), vec![0; 2_048]);
        loop {
            self.ahead.wait();
            let request = self.request(&mut stream, &mut buffer, &mut bytes);
            let last = !matches!(&request, Ok(Some(r)) if r.keep_alive);
            let msg = match request {
                Ok(None) => break,
                Ok(Some(r)) => ConnectionMessage::Request(r),
                Err(bad) => ConnectionMessage::Invalid(bad),
            };
            self.timer.request_received();
            let _ = self.inbox.send(msg);
            if last {
                break;
            }
        }
        // Until the answers are out, only the viewer's leaving is looked for.
        while matches!(stream.read(&mut bytes), Ok(n) if n > 0) {}
        let _ = self.inbox.send(ConnectionMessage::Disconnected);
    }

    /// The next request; `None` at the end of the connection.
    fn request(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        bytes: &mut [u8],
    ) -> Result<Option<Request>, RequestError> {
        loop {
            if !buffer.is_empty() {
                let now = self.shared.clock.now();
                if let Some((request, used)) = http::parse_request(buffer, &self.shared.viewer_limits, now)? {
                    buffer.drain(..used);
                    self.timer.set_receiving(!buffer.is_empty(), now);
                    return Ok(Some(request));
                }
            }
            let n = stream.read(bytes).unwrap_or(0);
            if self.timer.has_expired() {
                // Cut off by the watch: in the middle of a request it is told so.
                let why =
                    || RequestError { status: 408, reason: "the request did not come whole in time".into() };
                return if buffer.is_empty() { Ok(None) } else { Err(why()) };
            }
            if n == 0 {
                return Ok(None);
            }
            if buffer.is_empty() {
                self.timer.set_receiving(true, self.shared.clock.now());
            }
            buffer.extend_from_slice(&bytes[..n]);
        }
    }

    /// Writes all of an answer within the time that the settings give for it.
    fn put(&self, bytes: &[u8]) -> bool {
        let until = self.shared.clock.now() + self.shared.viewer_limits.write_timeout_ms;
        let mut rest = bytes;
        while !rest.is_empty() {
            match (&self.socket).write(rest) {
                Ok(n) if n > 0 => rest = &rest[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock && self.shared.clock.now() < until => {
                    self.shared.monitor.wait_for_next_scan();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return false,
            }
        }
        true
    }

    fn answers(&self, msgs: mpsc::Receiver<ConnectionMessage>) {
        let mut queue: VecDeque<Result<Request, RequestError>> = VecDeque::new();
        let mut out: Option<Waits> = None;
        while let Ok(msg) = msgs.recv() {
            let open = match msg {
                ConnectionMessage::Request(r) => {
                    queue.push_back(Ok(r));
                    true
                }
                ConnectionMessage::Invalid(b) => {
                    queue.push_back(Err(b));
                    true
                }
                ConnectionMessage::Reply(id, reply) => match out.take_if(|w| w.id == id) {
                    Some(waits) => {
                        let response = response::from_reply(&self.shared, &reply);
                        let sent = self.send(&response, &waits.request);
                        if sent == Sent::Failed {
                            self.left(&waits);
                        }
                        self.shared.open_requests.fetch_sub(1, Ordering::SeqCst);
                        sent == Sent::Open
                    }
                    None => true,
                },
                ConnectionMessage::Disconnected => {
                    // A viewer that only closed its sending half still gets an answer, though not a session.
                    if let Some(waits) = out.take() {
                        self.left(&waits);
                        self.send(&response::busy("the viewer left", 0.0), &waits.request);
                        self.shared.open_requests.fetch_sub(1, Ordering::SeqCst);
                    }
                    false
                }
            };
            if !open {
                break;
            }
            while out.is_none() {
                let Some(next) = queue.pop_front() else { break };
                let closes = match next {
                    Err(bad) => {
                        let response = Response::plain_text(bad.status, &bad.reason);
                        self.put(&http::encode_response(&response, false, false));
                        true
                    }
                    Ok(request) => match self.begin(&request) {
                        Begun::Waits { id, renews } => {
                            out = Some(Waits { id, renews, request });
                            false
                        }
                        Begun::Answered(response) => self.send(&response, &request) != Sent::Open,
                    },
                };
                if closes {
                    let _ = self.socket.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
        let _ = self.socket.shutdown(Shutdown::Both);
    }

    /// The viewer is gone before its answer reached it. One who asked for a renewed manifest keeps its session.
    fn left(&self, waits: &Waits) {
        if !waits.renews {
            let _ = self.shared.hub_events.send(HubEvent::ViewerLeft(waits.id));
        }
    }

    fn send(&self, response: &Response, request: &Request) -> Sent {
        let keep = request.keep_alive && !self.shared.stopping.load(Ordering::SeqCst);
        let bytes = http::encode_response(response, request.method == "HEAD", keep);
        let sent = self.put(&bytes);
        self.timer.response_sent(self.shared.clock.now());
        self.ahead.post();
        match (sent, keep) {
            (false, _) => Sent::Failed,
            (true, true) => Sent::Open,
            (true, false) => Sent::Last,
        }
    }

    fn begin(&self, request: &Request) -> Begun {
        let shared = &self.shared;
        if request.method != "GET" && request.method != "HEAD" {
            let mut r = Response::plain_text(405, "only GET and HEAD are taken");
            r.headers.push(("Allow", "GET, HEAD".into()));
            return Begun::Answered(r);
        }
        if let Some(id) = request.path.strip_prefix("/s/").and_then(|p| p.strip_suffix(".mpd")) {
            return self.renew(id, request);
        }
        if !(request.path.starts_with("/m/") && request.path.ends_with(".mpd")) {
            return Begun::Answered(Response::plain_text(404, "no such thing here"));
        }
        if shared.stopping.load(Ordering::SeqCst) {
            return Begun::Answered(response::busy("this front is stopping", 0.0));
        }
        let url = format!("{}{}", shared.public_url, request.path);
        let token = request.token.clone().or_else(|| http::query_parameter(&request.query, "CAT"));
        let what = (request.method.as_str(), request.path.as_str(), url.as_str());
        let now = shared.clock.now();
        let asked = shared
            .authorizer
            .authorize(what, token.as_deref(), request.proof.as_deref(), now)
            .and_then(|claims| self.ask(&claims, request));
        match asked {
            Ok((ask, title)) => {
                let id = self.names.next();
                let group = usize::from(ask.group.0);
                // The one version that all of this request is answered by.
                let known = shared.catalogue.as_ref().and_then(|k| k.current_version());
                let rates = known.as_ref().and_then(|v| self.rates(v, &title));
                let ask = SessionRequest { rates_kb_per_s: rates.clone(), ..ask };
                let ticket =
                    SessionContext::new(id, title, group, request.received_at, rates, self.inbox.clone());
                shared.open_requests.fetch_add(1, Ordering::SeqCst);
                let _ = shared.hub_events.send(HubEvent::SessionRequested {
                    request: ask,
                    context: ticket,
                    catalogue: known,
                });
                Begun::Waits { id, renews: false }
            }
            Err(refusal) => {
                tracing::debug!(path = request.path, reason = refusal.reason(), "not let in: {refusal:?}");
                Begun::Answered(response::refused(&refusal))
            }
        }
    }

    /// A request that was let in, as the desk takes it, and its title.
    fn ask(&self, claims: &ViewerClaims, request: &Request) -> Result<(SessionRequest, String), Refusal> {
        let groups = &self.shared.service_groups;
        let group =
            groups.iter().position(|g| g.name == claims.service_group).ok_or(Refusal::UnknownGroup)?;
        let of_query =
            |name: &str| http::query_parameter(&request.query, name).and_then(|v| v.parse::<f64>().ok());
        let patience = groups[group].wait_limit_ms;
        let top = of_query("top").map_or(u8::MAX, |t| t.clamp(0.0, 255.0) as u8);
        let title = title(&claims.manifest_path);
        let ask = SessionRequest {
            group: GroupIndex(group as u16),
            title: title_id(&title),
            holders: claims.holders.iter().map(|h| ServerId(*h)).collect(),
            rates_kb_per_s: None,
            highest_rung: top.min(claims.max_rung.unwrap_or(u8::MAX)).min(groups[group].highest_rung),
            time_left: of_query("wait").filter(|w| *w > 0.0).map_or(patience, |w| w.min(patience)),
        };
        Ok((ask, title))
    }

    /// The title's true rates, where the catalogue has them and they are to be reckoned with.
    fn rates(&self, v: &Version, title: &str) -> Option<Arc<[f64]>> {
        let wanted = self.shared.catalogue.as_ref().is_some_and(|k| k.settings.use_title_rates);
        advisor::title_rates(v, title, self.shared.ladder_kb_per_s.len()).filter(|_| wanted)
    }

    fn renew(&self, id: &str, request: &Request) -> Begun {
        let token = http::query_parameter(&request.query, "CAT");
        let own = token
            .ok_or(Refusal::NoToken)
            .and_then(|t| self.shared.authorizer.verify_session_token(&t, self.shared.clock.now()));
        match own {
            Ok(claims) if claims.session.to_string() == id => {
                let id = SessionId(claims.session);
                self.shared.open_requests.fetch_add(1, Ordering::SeqCst);
                let _ = self
                    .shared
                    .hub_events
                    .send(HubEvent::ManifestRequested { id, reply_to: self.inbox.clone() });
                Begun::Waits { id, renews: true }
            }
            Ok(_) => Begun::Answered(response::refused(&Refusal::OtherTitle)),
            Err(refusal) => Begun::Answered(response::refused(&refusal)),
        }
    }
}

enum Begun {
    Waits { id: SessionId, renews: bool },
    Answered(Response),
}

/// A request that waits for the hub's answer.
struct Waits {
    id: SessionId,
    /// It asks for a session's manifest anew.
    renews: bool,
    request: Request,
}

/// What became of an answer, and of the connection with it.
#[derive(PartialEq)]
enum Sent {
    Open,
    Last,
    Failed,
}

/// The title of a manifest's path, percent-decoded.
fn title(path: &str) -> String {
    let name = path.strip_prefix("/m/").and_then(|p| p.strip_suffix(".mpd")).unwrap_or(path);
    percent_encoding::percent_decode_str(name).decode_utf8_lossy().into_owned()
}

/// Titles are texts here and numbers to the decisions: the first 8 bytes of their SHA-256.
fn title_id(title: &str) -> TitleId {
    let hash = walnutline_dash::token_hash(title);
    TitleId(u64::from_le_bytes(std::array::from_fn(|n| hash[n])))
}
