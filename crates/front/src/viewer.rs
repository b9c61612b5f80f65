//! Viewers' connections.
//!
//! Each connection has two coroutines: one reads requests, the other answers them in order. Every request that was
//! read gets exactly one answer.
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

/// The wait that a busy reply asks for when the limit on connections is reached.
const CONNECTION_LIMIT_RETRY_AFTER_MS: f64 = 1_000.0;

/// A message to the coroutine that answers a connection's requests.
pub enum ConnectionMessage {
    /// The viewer sent a request.
    Request(Request),
    /// The viewer sent something that is not a valid request.
    Invalid(RequestError),
    /// The hub's reply to a request.
    Reply(SessionId, SessionReply),
    /// The viewer closed its sending side, or the connection broke.
    Disconnected,
}

/// Generates session ids. Each process starts at a random number, so that two processes are most unlikely to give a
/// box the same id.
struct SessionIds(AtomicU64);

impl SessionIds {
    fn next(&self) -> SessionId {
        SessionId(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Starts to accept viewers' connections.
pub fn start(shared: Arc<Shared>, listener: TcpListener, seed: u64) -> io::Result<()> {
    let first_id = fastrand::Rng::with_seed(seed ^ shared.clock.now().to_bits()).u64(..1 << 52) << 10;
    let session_ids = Arc::new(SessionIds(AtomicU64::new(first_id)));
    spawn(move || loop {
        match listener.accept() {
            Ok((stream, _)) => start_connection(&shared, &session_ids, stream),
            Err(e) => {
                // Out of descriptors or memory: an immediate retry would fail too and keep the processor busy.
                tracing::warn!("accept: {e}");
                shared.monitor.wait_for_next_scan();
            }
        }
    });
    Ok(())
}

fn start_connection(shared: &Arc<Shared>, session_ids: &Arc<SessionIds>, stream: TcpStream) {
    let open_count = shared.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
    let _ = stream.set_nodelay(true);
    let over_limit = open_count > shared.viewer_limits.max_connections;
    match stream.inner().try_clone() {
        Ok(socket) if !over_limit => {
            let (sender, messages) = mpsc::channel();
            let connection = Arc::new(Connection {
                shared: shared.clone(),
                session_ids: session_ids.clone(),
                socket,
                sender,
                pipeline_slots: Semphore::new(shared.viewer_limits.max_pipelined),
                timer: ConnectionTimer::new(shared.clock.now()),
            });
            shared.monitor.register(&connection);
            let responder = connection.clone();
            spawn(move || {
                responder.answer_requests(messages);
                responder.shared.open_connections.fetch_sub(1, Ordering::SeqCst);
            });
            spawn(move || connection.read_requests(stream));
        }
        _ => {
            // One write that does not block: a flood of connections must not hold up the accept loop.
            let busy = response::busy("too many connections", CONNECTION_LIMIT_RETRY_AFTER_MS);
            let _ = stream.inner().write(&http::encode_response(&busy, false, false));
            shared.open_connections.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

/// A viewer's connection, shared by its two coroutines.
pub struct Connection {
    shared: Arc<Shared>,
    session_ids: Arc<SessionIds>,
    /// A non-blocking duplicate of the socket, for writing answers and for closing the connection.
    socket: std::net::TcpStream,
    sender: mpsc::Sender<ConnectionMessage>,
    /// Limits the requests that are read and not yet answered.
    pipeline_slots: Semphore,
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
    fn read_requests(&self, mut stream: TcpStream) {
        let (mut buffer, mut bytes) = (Vec::new(), vec![0; 2_048]);
        loop {
            self.pipeline_slots.wait();
            let request = self.read_request(&mut stream, &mut buffer, &mut bytes);
            let last = !matches!(&request, Ok(Some(r)) if r.keep_alive);
            let message = match request {
                Ok(None) => break,
                Ok(Some(request)) => ConnectionMessage::Request(request),
                Err(error) => ConnectionMessage::Invalid(error),
            };
            self.timer.request_received();
            let _ = self.sender.send(message);
            if last {
                break;
            }
        }
        // Further data is ignored; reading on only detects that the viewer leaves before its answers are written.
        while matches!(stream.read(&mut bytes), Ok(n) if n > 0) {}
        let _ = self.sender.send(ConnectionMessage::Disconnected);
    }

    /// Reads the next request; `None` at the end of the connection.
    fn read_request(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        bytes: &mut [u8],
    ) -> Result<Option<Request>, RequestError> {
        loop {
            if !buffer.is_empty() {
                let now = self.shared.clock.now();
                let parsed = http::parse_request(buffer, &self.shared.viewer_limits, now)?;
                if let Some((request, request_len)) = parsed {
                    buffer.drain(..request_len);
                    self.timer.set_receiving(!buffer.is_empty(), now);
                    return Ok(Some(request));
                }
            }
            let n = stream.read(bytes).unwrap_or(0);
            if self.timer.has_expired() {
                // The monitor shut the socket down. An idle viewer gets no answer, one in mid-request gets a 408.
                let timed_out =
                    || RequestError { status: 408, reason: "the request did not come whole in time".into() };
                return if buffer.is_empty() { Ok(None) } else { Err(timed_out()) };
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

    /// Writes all bytes within the write time-out; returns whether it could.
    fn write_all(&self, bytes: &[u8]) -> bool {
        let deadline = self.shared.clock.now() + self.shared.viewer_limits.write_timeout_ms;
        let mut rest = bytes;
        while !rest.is_empty() {
            match (&self.socket).write(rest) {
                Ok(n) if n > 0 => rest = &rest[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock && self.shared.clock.now() < deadline => {
                    self.shared.monitor.wait_for_next_scan();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return false,
            }
        }
        true
    }

    fn answer_requests(&self, messages: mpsc::Receiver<ConnectionMessage>) {
        let mut queue: VecDeque<Result<Request, RequestError>> = VecDeque::new();
        let mut pending: Option<PendingRequest> = None;
        while let Ok(message) = messages.recv() {
            let stays_open = match message {
                ConnectionMessage::Request(request) => {
                    queue.push_back(Ok(request));
                    true
                }
                ConnectionMessage::Invalid(error) => {
                    queue.push_back(Err(error));
                    true
                }
                ConnectionMessage::Reply(id, reply) => match pending.take_if(|p| p.id == id) {
                    Some(answered) => {
                        let response = response::from_reply(&self.shared, &reply);
                        let sent = self.send(&response, &answered.request);
                        if sent == SendResult::Failed {
                            self.report_viewer_left(&answered);
                        }
                        self.shared.open_requests.fetch_sub(1, Ordering::SeqCst);
                        sent == SendResult::KeepAlive
                    }
                    None => true,
                },
                ConnectionMessage::Disconnected => {
                    // A viewer may have closed only its sending side: it still gets an answer, but no session.
                    if let Some(unanswered) = pending.take() {
                        self.report_viewer_left(&unanswered);
                        self.send(&response::busy("the viewer left", 0.0), &unanswered.request);
                        self.shared.open_requests.fetch_sub(1, Ordering::SeqCst);
                    }
                    false
                }
            };
            if !stays_open {
                break;
            }
            while pending.is_none() {
                let Some(next) = queue.pop_front() else { break };
                let closes = match next {
                    Err(error) => {
                        let response = Response::plain_text(error.status, &error.reason);
                        self.write_all(&http::encode_response(&response, false, false));
                        true
                    }
                    Ok(request) => match self.handle_request(&request) {
                        Handled::Pending { id, renewal } => {
                            pending = Some(PendingRequest { id, renewal, request });
                            false
                        }
                        Handled::Answered(response) => {
                            self.send(&response, &request) != SendResult::KeepAlive
                        }
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

    /// Tells the hub that the viewer left before its answer reached it. The session of a renewal plays already and is
    /// not affected.
    fn report_viewer_left(&self, request: &PendingRequest) {
        if !request.renewal {
            let _ = self.shared.hub_events.send(HubEvent::ViewerLeft(request.id));
        }
    }

    /// Writes the answer to a request and makes room for another one.
    fn send(&self, response: &Response, request: &Request) -> SendResult {
        let keep_alive = request.keep_alive && !self.shared.stopping.load(Ordering::SeqCst);
        let bytes = http::encode_response(response, request.method == "HEAD", keep_alive);
        let written = self.write_all(&bytes);
        self.timer.response_sent(self.shared.clock.now());
        self.pipeline_slots.post();
        match (written, keep_alive) {
            (false, _) => SendResult::Failed,
            (true, true) => SendResult::KeepAlive,
            (true, false) => SendResult::Close,
        }
    }

    /// Answers a request at once, or authorizes it and passes it to the hub.
    fn handle_request(&self, request: &Request) -> Handled {
        let shared = &self.shared;
        if request.method != "GET" && request.method != "HEAD" {
            let mut response = Response::plain_text(405, "only GET and HEAD are taken");
            response.headers.push(("Allow", "GET, HEAD".into()));
            return Handled::Answered(response);
        }
        if let Some(id) = request.path.strip_prefix("/s/").and_then(|p| p.strip_suffix(".mpd")) {
            return self.renew_manifest(id, request);
        }
        if !(request.path.starts_with("/m/") && request.path.ends_with(".mpd")) {
            return Handled::Answered(Response::plain_text(404, "no such thing here"));
        }
        if shared.stopping.load(Ordering::SeqCst) {
            return Handled::Answered(response::busy("this front is stopping", 0.0));
        }
        let url = format!("{}{}", shared.public_url, request.path);
        let token = request.token.clone().or_else(|| http::query_parameter(&request.query, "CAT"));
        let target = (request.method.as_str(), request.path.as_str(), url.as_str());
        let now = shared.clock.now();
        let authorized = shared
            .authorizer
            .authorize(target, token.as_deref(), request.proof.as_deref(), now)
            .and_then(|claims| self.session_request(&claims, request));
        match authorized {
            Ok((session_request, title)) => {
                let id = self.session_ids.next();
                let group_index = usize::from(session_request.group.0);
                // One version for the whole request, even if a newer one comes into force meanwhile.
                let catalogue = shared.catalogue.as_ref().and_then(|c| c.current_version());
                let rates = catalogue.as_ref().and_then(|v| self.title_rates(v, &title));
                let session_request = SessionRequest { rates_kb_per_s: rates.clone(), ..session_request };
                let context = SessionContext::new(
                    id,
                    title,
                    group_index,
                    request.received_at,
                    rates,
                    self.sender.clone(),
                );
                shared.open_requests.fetch_add(1, Ordering::SeqCst);
                let event = HubEvent::SessionRequested { request: session_request, context, catalogue };
                let _ = shared.hub_events.send(event);
                Handled::Pending { id, renewal: false }
            }
            Err(refusal) => {
                tracing::debug!(path = request.path, reason = refusal.reason(), "not let in: {refusal:?}");
                Handled::Answered(response::refused(&refusal))
            }
        }
    }

    /// Converts an authorized request to the session manager's form; also returns its title.
    fn session_request(
        &self,
        claims: &ViewerClaims,
        request: &Request,
    ) -> Result<(SessionRequest, String), Refusal> {
        let groups = &self.shared.service_groups;
        let group =
            groups.iter().position(|g| g.name == claims.service_group).ok_or(Refusal::UnknownGroup)?;
        let number =
            |name: &str| http::query_parameter(&request.query, name).and_then(|v| v.parse::<f64>().ok());
        let wait_limit = groups[group].wait_limit_ms;
        let requested_top = number("top").map_or(u8::MAX, |t| t.clamp(0.0, 255.0) as u8);
        let title = title_from_path(&claims.manifest_path);
        let session_request = SessionRequest {
            group: GroupIndex(group as u16),
            title: title_id(&title),
            holders: claims.holders.iter().map(|h| ServerId(*h)).collect(),
            rates_kb_per_s: None,
            highest_rung: requested_top
                .min(claims.max_rung.unwrap_or(u8::MAX))
                .min(groups[group].highest_rung),
            time_left: number("wait").filter(|w| *w > 0.0).map_or(wait_limit, |w| w.min(wait_limit)),
        };
        Ok((session_request, title))
    }

    /// The title's own rate at each rung, where the catalogue has them and the settings use them.
    fn title_rates(&self, version: &Version, title: &str) -> Option<Arc<[f64]>> {
        let used = self.shared.catalogue.as_ref().is_some_and(|c| c.settings.use_title_rates);
        advisor::title_rates(version, title, self.shared.ladder_kb_per_s.len()).filter(|_| used)
    }

    /// Handles a request for the current manifest of a session, which its session token authorizes.
    fn renew_manifest(&self, id: &str, request: &Request) -> Handled {
        let token = http::query_parameter(&request.query, "CAT");
        let verified = token
            .ok_or(Refusal::NoToken)
            .and_then(|t| self.shared.authorizer.verify_session_token(&t, self.shared.clock.now()));
        match verified {
            Ok(claims) if claims.session.to_string() == id => {
                let id = SessionId(claims.session);
                self.shared.open_requests.fetch_add(1, Ordering::SeqCst);
                let event = HubEvent::ManifestRequested { id, reply_to: self.sender.clone() };
                let _ = self.shared.hub_events.send(event);
                Handled::Pending { id, renewal: true }
            }
            Ok(_) => Handled::Answered(response::refused(&Refusal::OtherTitle)),
            Err(refusal) => Handled::Answered(response::refused(&refusal)),
        }
    }
}

/// What was done with a request.
enum Handled {
    /// The hub will reply to it.
    Pending { id: SessionId, renewal: bool },
    /// It is answered at once, with this response.
    Answered(Response),
}

/// A request that waits for the hub's reply.
struct PendingRequest {
    id: SessionId,
    /// Whether it asks for the current manifest of a session that plays already.
    renewal: bool,
    request: Request,
}

/// Outcome of writing an answer.
#[derive(PartialEq)]
enum SendResult {
    /// It was written, and the connection stays open.
    KeepAlive,
    /// It was written, and the connection closes.
    Close,
    /// It could not be written completely.
    Failed,
}

/// The title in a manifest's path, percent-decoded.
fn title_from_path(path: &str) -> String {
    let name = path.strip_prefix("/m/").and_then(|p| p.strip_suffix(".mpd")).unwrap_or(path);
    percent_encoding::percent_decode_str(name).decode_utf8_lossy().into_owned()
}

/// The number that identifies a title in the placement decisions: the first 8 bytes of its SHA-256 hash.
fn title_id(title: &str) -> TitleId {
    let hash = walnutline_dash::token_hash(title);
    TitleId(u64::from_le_bytes(std::array::from_fn(|n| hash[n])))
}
