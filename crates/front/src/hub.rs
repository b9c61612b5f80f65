//! The thread that owns the session manager.
//!
//! Coroutines and other threads send it a [`HubEvent`] over a channel. After each batch of events the hub performs
//! the session manager's actions: it opens and closes connections to boxes, passes requests to their writers and
//! sends replies to viewers' connections.
use crate::boxes::{self, BoxConnection, OutgoingMessage};
use crate::clock::Clock;
use crate::viewer::ConnectionMessage;
use crate::Shared;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use walnutline::ids::{ServerId, SessionId};
use walnutline::settings::PolicySettings;
use walnutline_auth::claims::SessionClaims;
use walnutline_catalogue::advisor::RequestAdvisor;
use walnutline_catalogue::differences::ComparedRequest;
use walnutline_catalogue::version::Version;
use walnutline_sessions::session_manager::{
    Answer, IoAction, ServerEndpoint, ServerMessage, SessionManager, SessionRequest, Timeouts,
};

/// Maximum number of events, after the first, that are handled before the resulting actions are performed.
const MAX_BATCH_EVENTS: usize = 256;

/// How often the counts of differences from the catalogue are passed on to be written.
const DIFFERENCES_INTERVAL_MS: f64 = 1_000.0;

/// Longest wait for an event.
const MAX_WAIT_MS: f64 = 60_000.0;

/// What the front stores with a session; the session manager passes it through unread.
pub struct SessionContext {
    pub id: SessionId,
    pub title: String,
    /// Index of the session's service group.
    pub group_index: usize,
    /// When the request was received, in Unix milliseconds.
    pub received_at: f64,
    /// The title's own rate at each rung, where the catalogue has them and the settings use them.
    pub title_rates: Option<Arc<[f64]>>,
    /// The viewer's connection, for the reply.
    pub reply_to: may::sync::mpsc::Sender<ConnectionMessage>,
    /// The last session token minted, and the box that it is for.
    minted: Mutex<Option<(ServerId, String)>>,
}

impl SessionContext {
    /// Creates the context of a new session, for which no token is minted yet.
    pub fn new(
        id: SessionId,
        title: String,
        group_index: usize,
        received_at: f64,
        title_rates: Option<Arc<[f64]>>,
        reply_to: may::sync::mpsc::Sender<ConnectionMessage>,
    ) -> Self {
        SessionContext {
            id,
            title,
            group_index,
            received_at,
            title_rates,
            reply_to,
            minted: Mutex::new(None),
        }
    }

    /// The session's token for a box. SETUP and the manifest get the same token, so it is minted once for each box.
    /// `None` while no session key is in force.
    pub fn session_token(&self, shared: &Shared, server: ServerId, now: f64) -> Option<String> {
        let mut minted = self.minted.lock().unwrap_or_else(|e| e.into_inner());
        if let Some((minted_for, token)) = &*minted {
            if *minted_for == server {
                return Some(token.clone());
            }
        }
        let claims = SessionClaims {
            session: self.id.0,
            server: server.0,
            path_prefix: format!("/s/{}/", self.id.0),
            expires_at: now + shared.manifest.session_token_lifetime_ms,
        };
        let token = shared.authorizer.mint_session_token(&claims, now)?;
        *minted = Some((server, token.clone()));
        Some(token)
    }
}

/// An event for the hub. `conn` numbers the connections to a box, as [`IoAction::Connect`] does.
pub enum HubEvent {
    /// A viewer's request was authorized.
    SessionRequested {
        request: SessionRequest,
        context: SessionContext,
        /// The catalogue's version that the whole request is handled with.
        catalogue: Option<Arc<Version>>,
    },
    /// The viewer left before it received its answer.
    ViewerLeft(SessionId),
    /// A viewer asked for the current manifest of its session.
    ManifestRequested { id: SessionId, reply_to: may::sync::mpsc::Sender<ConnectionMessage> },
    /// A connection to a box is open.
    ConnectionOpened { server: ServerId, conn: u64, connection: BoxConnection },
    /// A connection to a box could not be opened.
    ConnectionFailed { server: ServerId, conn: u64 },
    /// An open connection to a box ended.
    ConnectionClosed {
        server: ServerId,
        conn: u64,
        /// CSeq of the last request that the writer had begun to write; no later one reached the box.
        last_cseq: u32,
    },
    /// A message of a box was received.
    MessageReceived { server: ServerId, conn: u64, message: ServerMessage },
    /// An event of the list of boxes was received. Each entry comes with the box's media URL.
    BoxList {
        /// Whether the event holds the complete list, and not only changed entries.
        full: bool,
        entries: Vec<(ServerEndpoint, String)>,
    },
}

/// A session that plays, with what its manifest is built from.
pub struct PlayingSession {
    pub context: Arc<SessionContext>,
    pub server: ServerId,
    pub rung: u8,
    /// Base URL of the box's media.
    pub media_url: Arc<str>,
}

/// The final reply to a viewer's request.
pub enum SessionReply {
    /// The session plays; the viewer gets its manifest.
    Playing(PlayingSession),
    /// No box can take the session now. `retry_after` is in milliseconds.
    Busy { retry_after: Option<f64> },
    /// Setting up failed, and a SETUP may have taken effect, so the session is not set up elsewhere.
    TornDown,
    /// The session whose manifest was requested has ended.
    Ended,
}

struct Hub {
    shared: Arc<Shared>,
    session_manager: SessionManager<SessionContext>,
    /// Media URL of each box, from the list.
    media_urls: HashMap<ServerId, Arc<str>>,
    /// Open control connections with their numbers.
    connections: HashMap<ServerId, (u64, BoxConnection)>,
    advisor: Option<RequestAdvisor>,
    /// When counts of differences were last passed on, and whether requests were compared since.
    differences_submitted: (f64, bool),
}

/// Starts the hub's thread.
pub fn start(
    shared: Arc<Shared>,
    events: Receiver<HubEvent>,
    policy: PolicySettings,
    timeouts: Timeouts,
    seed: u64,
) -> io::Result<()> {
    let session_manager = SessionManager::new(policy, timeouts, seed, shared.clock.now());
    let advisor = shared.catalogue.as_ref().map(|c| RequestAdvisor::new(c.settings.probe_budget));
    let mut hub = Hub {
        shared,
        session_manager,
        media_urls: HashMap::new(),
        connections: HashMap::new(),
        advisor,
        differences_submitted: (0.0, false),
    };
    std::thread::Builder::new().name("hub".into()).spawn(move || {
        let _guard = AbortOnPanic;
        hub.run(events)
    })?;
    Ok(())
}

/// Ends the process when the hub's thread panics, so that it can be started again: without the hub, the front would
/// accept requests and answer none.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!("the hub broke; the front ends");
            std::process::abort();
        }
    }
}

impl Hub {
    fn run(&mut self, events: Receiver<HubEvent>) {
        let clock: Clock = self.shared.clock;
        loop {
            let now = clock.now();
            let wait = (self.session_manager.next_call_at(now) - now).clamp(0.0, MAX_WAIT_MS);
            match events.recv_timeout(Duration::from_secs_f64(wait / 1_000.0)) {
                Ok(first) => {
                    self.handle_event(first, clock.now());
                    for event in events.try_iter().take(MAX_BATCH_EVENTS) {
                        self.handle_event(event, clock.now());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.run_advisor(clock.now());
            self.session_manager.process_due(clock.now());
            for action in self.session_manager.take_actions() {
                self.perform(action);
            }
        }
    }

    fn handle_event(&mut self, event: HubEvent, now: f64) {
        match event {
            HubEvent::SessionRequested { mut request, context, catalogue } => {
                if let Some(version) = catalogue {
                    self.compare_with_catalogue(&version, &request, &context, now);
                }
                // Time spent in queues or in a stall since the request was received counts as waiting too.
                request.time_left -= now - context.received_at;
                self.session_manager.add_request(context.id, request, context, now);
            }
            HubEvent::ViewerLeft(id) => self.session_manager.viewer_left(id, now),
            HubEvent::ManifestRequested { id, reply_to } => {
                let playing = self.session_manager.playing_session(id).and_then(|(server, rung, context)| {
                    let media_url = self.media_urls.get(&server)?.clone();
                    Some(PlayingSession { context, server, rung, media_url })
                });
                let reply = playing.map_or(SessionReply::Ended, SessionReply::Playing);
                let _ = reply_to.send(ConnectionMessage::Reply(id, reply));
            }
            HubEvent::ConnectionOpened { server, conn, connection } => {
                if self.session_manager.connection_opened(server, conn, now) {
                    self.connections.insert(server, (conn, connection));
                } else {
                    connection.shut_down();
                }
            }
            HubEvent::ConnectionFailed { server, conn } => {
                self.session_manager.connection_failed(server, conn, now)
            }
            HubEvent::ConnectionClosed { server, conn, last_cseq } => {
                self.session_manager.connection_closed(server, conn, last_cseq, now);
                if self.connections.get(&server).is_some_and(|(c, _)| *c == conn) {
                    self.connections.remove(&server);
                }
            }
            HubEvent::MessageReceived { server, conn, message } => {
                self.session_manager.message_received(server, conn, message, now)
            }
            HubEvent::BoxList { full, entries } => {
                let endpoints = entries.into_iter().map(|(endpoint, media_url)| {
                    self.media_urls.insert(endpoint.entry.id, media_url.into());
                    endpoint
                });
                let endpoints = endpoints.collect();
                if full {
                    self.session_manager.replace_server_list(endpoints, now)
                } else {
                    self.session_manager.update_servers(endpoints, now)
                }
            }
        }
    }

    /// Records the request with the advisor and logs where it and the catalogue differ.
    fn compare_with_catalogue(
        &mut self,
        version: &Version,
        request: &SessionRequest,
        context: &SessionContext,
        now: f64,
    ) {
        let Some(advisor) = &mut self.advisor else { return };
        let group = &self.shared.service_groups[context.group_index].name;
        let rungs = self.shared.ladder_kb_per_s.len();
        let compared = ComparedRequest { title: &context.title, group, holders: &request.holders, rungs };
        for found in advisor.record_request(version, &compared, now) {
            let (difference, server) = (found.kind.name(), found.server.map(|s| s.0));
            tracing::info!(target: "walnutline::catalogue", title = context.title, difference, server, "differs");
        }
        self.differences_submitted.1 = true;
    }

    /// Passes on counts of differences and probes the boxes that the advisor names.
    fn run_advisor(&mut self, now: f64) {
        let (Some(advisor), Some(catalogue)) = (&mut self.advisor, &self.shared.catalogue) else { return };
        if self.differences_submitted.1 && now - self.differences_submitted.0 > DIFFERENCES_INTERVAL_MS {
            let accepted = catalogue.submit_differences(|| advisor.differences().counts().collect());
            self.differences_submitted = (now, !accepted);
        }
        if advisor.may_probe(now) {
            if let Some(version) = catalogue.current_version() {
                let measured_at = |server| self.session_manager.link_measured_at(server);
                let servers = advisor.probe_targets(&version, measured_at, now);
                self.session_manager.probe_servers(servers, now);
            }
        }
    }

    fn perform(&mut self, action: IoAction<SessionContext>) {
        match action {
            IoAction::Connect { server, conn, address } => {
                boxes::connect(self.shared.clone(), server, conn, address)
            }
            IoAction::Close { server, conn } => {
                if let Some((_, connection)) = self.connections.get(&server).filter(|(c, _)| *c == conn) {
                    connection.shut_down();
                    self.connections.remove(&server);
                }
            }
            IoAction::Send { server, conn, cseq, request } => {
                if let Some((open_conn, connection)) = self.connections.get(&server) {
                    if *open_conn == conn {
                        let _ = connection.sender.send(OutgoingMessage::Request { cseq, request });
                    }
                }
            }
            IoAction::Answer { id, context, answer } => {
                let reply = match answer {
                    Answer::Playing { server, rung } => {
                        let media_url = self.media_urls.get(&server).cloned().unwrap_or_else(|| "".into());
                        SessionReply::Playing(PlayingSession {
                            context: context.clone(),
                            server,
                            rung,
                            media_url,
                        })
                    }
                    Answer::Busy { retry_after } => SessionReply::Busy { retry_after },
                    Answer::TornDown => SessionReply::TornDown,
                };
                let _ = context.reply_to.send(ConnectionMessage::Reply(id, reply));
            }
            IoAction::Log(line) => tracing::info!(target: "walnutline::mode", "{line}"),
        }
    }
}
