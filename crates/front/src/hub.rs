//! The one thread that owns the live desk. Coroutines send it events by a channel; it hands out what the desk
//! answers: messages to boxes' writers, answers to viewers' connections.
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

/// Events handled before what they lead to goes out.
const ROUND: usize = 256;

/// What the front keeps with a session.
pub struct SessionContext {
    pub id: SessionId,
    pub title: String,
    /// Position of its service group.
    pub group_index: usize,
    /// When its request was read.
    pub received_at: f64,
    /// Its title's true rates by rung, where they are reckoned with.
    pub title_rates: Option<Arc<[f64]>>,
    /// Where its answer goes.
    pub reply_to: may::sync::mpsc::Sender<ConnectionMessage>,
    /// The session's token for the box that it was last minted for.
    minted: Mutex<Option<(ServerId, String)>>,
}

impl SessionContext {
    pub fn new(
        id: SessionId,
        title: String,
        group: usize,
        at: f64,
        rates: Option<Arc<[f64]>>,
        reply_to: may::sync::mpsc::Sender<ConnectionMessage>,
    ) -> Self {
        SessionContext {
            id,
            title,
            group_index: group,
            received_at: at,
            title_rates: rates,
            reply_to,
            minted: Mutex::new(None),
        }
    }

    /// The session's token at a box: minted once for the SETUP and its answer alike.
    pub fn session_token(&self, shared: &Shared, server: ServerId, now: f64) -> Option<String> {
        let mut minted = self.minted.lock().unwrap_or_else(|e| e.into_inner());
        if let Some((at, token)) = &*minted {
            if *at == server {
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

pub enum HubEvent {
    SessionRequested {
        request: SessionRequest,
        context: SessionContext,
        /// The catalogue's version that the request is answered by.
        catalogue: Option<Arc<Version>>,
    },
    ViewerLeft(SessionId),
    /// A renewed manifest is asked for.
    ManifestRequested {
        id: SessionId,
        reply_to: may::sync::mpsc::Sender<ConnectionMessage>,
    },
    ConnectionOpened {
        server: ServerId,
        conn: u64,
        connection: BoxConnection,
    },
    ConnectionFailed {
        server: ServerId,
        conn: u64,
    },
    ConnectionClosed {
        server: ServerId,
        conn: u64,
        last_cseq: u32,
    },
    MessageReceived {
        server: ServerId,
        conn: u64,
        message: ServerMessage,
    },
    BoxList {
        full: bool,
        entries: Vec<(ServerEndpoint, String)>,
    },
}

/// A session that plays, as its manifest is made of it.
pub struct PlayingSession {
    pub context: Arc<SessionContext>,
    pub server: ServerId,
    pub rung: u8,
    pub media_url: Arc<str>,
}

pub enum SessionReply {
    Playing(PlayingSession),
    Busy { retry_after: Option<f64> },
    TornDown,
    Ended,
}

struct Hub {
    shared: Arc<Shared>,
    live: SessionManager<SessionContext>,
    media: HashMap<ServerId, Arc<str>>,
    lines: HashMap<ServerId, (u64, BoxConnection)>,
    advisor: Option<RequestAdvisor>,
    /// When differences were last handed over to be written, and whether there are others since.
    differed: (f64, bool),
}

/// How often differences are handed over, in milliseconds.
const DIFFER: f64 = 1_000.0;

pub fn start(
    shared: Arc<Shared>,
    news: Receiver<HubEvent>,
    terms: PolicySettings,
    waits: Timeouts,
    seed: u64,
) -> io::Result<()> {
    let live = SessionManager::new(terms, waits, seed, shared.clock.now());
    let advisor = shared.catalogue.as_ref().map(|k| RequestAdvisor::new(k.settings.probe_budget));
    let mut hub =
        Hub { shared, live, media: HashMap::new(), lines: HashMap::new(), advisor, differed: (0.0, false) };
    std::thread::Builder::new().name("hub".into()).spawn(move || {
        let _guard = Guard;
        hub.run(news)
    })?;
    Ok(())
}

/// Without its hub a front takes requests and answers none: better that the process ends and is started again.
struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!("the hub broke; the front ends");
            std::process::abort();
        }
    }
}

impl Hub {
    fn run(&mut self, news: Receiver<HubEvent>) {
        let clock: Clock = self.shared.clock;
        loop {
            let now = clock.now();
            let wait = (self.live.next_call_at(now) - now).clamp(0.0, 60_000.0);
            match news.recv_timeout(Duration::from_secs_f64(wait / 1_000.0)) {
                Ok(first) => {
                    self.event(first, clock.now());
                    for more in news.try_iter().take(ROUND) {
                        self.event(more, clock.now());
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.ask_news(clock.now());
            self.live.process_due(clock.now());
            for what in self.live.take_actions() {
                self.perform(what);
            }
        }
    }

    fn event(&mut self, news: HubEvent, now: f64) {
        match news {
            HubEvent::SessionRequested { request: mut ask, context: ticket, catalogue: known } => {
                if let Some(v) = known {
                    self.advise(&v, &ask, &ticket, now);
                }
                // What passed since it was read, in queues or in a stall, counts against its viewer's time.
                ask.time_left -= now - ticket.received_at;
                self.live.add_request(ticket.id, ask, ticket, now);
            }
            HubEvent::ViewerLeft(id) => self.live.viewer_left(id, now),
            HubEvent::ManifestRequested { id, reply_to: to } => {
                let plays = self.live.playing_session(id).and_then(|(server, rung, ticket)| {
                    Some(PlayingSession {
                        context: ticket,
                        server,
                        rung,
                        media_url: self.media.get(&server)?.clone(),
                    })
                });
                let _ = to.send(ConnectionMessage::Reply(
                    id,
                    plays.map_or(SessionReply::Ended, SessionReply::Playing),
                ));
            }
            HubEvent::ConnectionOpened { server, conn, connection: line } => {
                if self.live.connection_opened(server, conn, now) {
                    self.lines.insert(server, (conn, line));
                } else {
                    line.shut_down();
                }
            }
            HubEvent::ConnectionFailed { server, conn } => self.live.connection_failed(server, conn, now),
            HubEvent::ConnectionClosed { server, conn, last_cseq: begun } => {
                self.live.connection_closed(server, conn, begun, now);
                if self.lines.get(&server).is_some_and(|(c, _)| *c == conn) {
                    self.lines.remove(&server);
                }
            }
            HubEvent::MessageReceived { server, conn, message: told } => {
                self.live.message_received(server, conn, told, now)
            }
            HubEvent::BoxList { full: whole, entries: lines } => {
                let lines = lines.into_iter().map(|(line, media)| {
                    self.media.insert(line.entry.id, media.into());
                    line
                });
                let lines = lines.collect();
                if whole {
                    self.live.replace_server_list(lines, now)
                } else {
                    self.live.update_servers(lines, now)
                }
            }
        }
    }

    /// What the catalogue has to say of a request, and it of the catalogue.
    fn advise(&mut self, v: &Version, ask: &SessionRequest, ticket: &SessionContext, now: f64) {
        let Some(advisor) = &mut self.advisor else { return };
        let group = &self.shared.service_groups[ticket.group_index].name;
        let rungs = self.shared.ladder_kb_per_s.len();
        let told = ComparedRequest { title: &ticket.title, group, holders: &ask.holders, rungs };
        for d in advisor.record_request(v, &told, now) {
            let (difference, server) = (d.kind.name(), d.server.map(|s| s.0));
            tracing::info!(target: "walnutline::catalogue", title = ticket.title, difference, server, "differs");
        }
        self.differed.1 = true;
    }

    fn ask_news(&mut self, now: f64) {
        let (Some(advisor), Some(known)) = (&mut self.advisor, &self.shared.catalogue) else { return };
        if self.differed.1 && now - self.differed.0 > DIFFER {
            let taken = known.submit_differences(|| advisor.differences().counts().collect());
            self.differed = (now, !taken);
        }
        if advisor.may_probe(now) {
            if let Some(v) = known.current_version() {
                let servers = advisor.probe_targets(&v, |s| self.live.link_measured_at(s), now);
                self.live.probe_servers(servers, now);
            }
        }
    }

    fn perform(&mut self, what: IoAction<SessionContext>) {
        match what {
            IoAction::Connect { server, conn, address } => {
                boxes::connect(self.shared.clone(), server, conn, address)
            }
            IoAction::Close { server, conn } => {
                if let Some((_, line)) = self.lines.get(&server).filter(|(c, _)| *c == conn) {
                    line.shut_down();
                    self.lines.remove(&server);
                }
            }
            IoAction::Send { server, conn, cseq, request: what } => {
                if let Some((c, line)) = self.lines.get(&server) {
                    if *c == conn {
                        let _ = line.sender.send(OutgoingMessage::Request { cseq, request: what });
                    }
                }
            }
            IoAction::Answer { id, context: of, answer } => {
                let reply = match answer {
                    Answer::Playing { server, rung } => {
                        let media = self.media.get(&server).cloned().unwrap_or_else(|| "".into());
                        SessionReply::Playing(PlayingSession {
                            context: of.clone(),
                            server,
                            rung,
                            media_url: media,
                        })
                    }
                    Answer::Busy { retry_after } => SessionReply::Busy { retry_after },
                    Answer::TornDown => SessionReply::TornDown,
                };
                let _ = of.reply_to.send(ConnectionMessage::Reply(id, reply));
            }
            IoAction::Log(line) => tracing::info!(target: "walnutline::mode", "{line}"),
        }
    }
}
