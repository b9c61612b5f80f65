//! Stand-in viewers: they come by a seeded distribution, ask with a token and proof of their own, watch segments at
//! the rate they get, come again or stay away.
use crate::net::{header_value, read_body, read_head, sleep, spawn, TimedStream};
use crate::record::{GroupSettings, Observation, Recorder};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use walnutline_dash::{encode_base64url, mpd, proof, token, token_hash, SigningKey};
use walnutline_gate::claims::{ProofClaims, ViewerClaims};

/// Habits, from the briefs' ranges: how many come again after a break or busy reply, and when; how often; how
/// many leave before their answer; the share under which a viewer begins to leave.
const COMES_AGAIN: f64 = 0.9;
const AGAIN_AFTER: (f64, f64) = (700.0, 2_500.0);
const TRIES: u32 = 4;
const LEAVES_EARLY: f64 = 0.01;
const TOO_SHORT: f64 = 0.75;
const SHORT_FOR: u32 = 6;

pub struct Title {
    pub name: String,
    pub holders: Vec<u32>,
}

/// FrontList that viewers may ask, with the share of the viewers that each gets.
#[derive(Default)]
pub struct FrontList {
    pub running: Vec<(u32, SocketAddr, f64)>,
}

pub struct ViewerSurge {
    pub ends_at_ms: f64,
    pub rate_factor: f64,
    pub title_count: usize,
}

pub struct ViewerPopulation {
    pub recorder: Arc<Recorder>,
    pub groups: Vec<(GroupSettings, f64)>,
    pub titles: Vec<Title>,
    pub issuer_key: SigningKey,
    pub key_id: Vec<u8>,
    pub fronts: Mutex<FrontList>,
    pub surge: Mutex<Option<ViewerSurge>>,
    pub session_ms: (f64, f64),
    pub segment_ms: f64,
    pub stopped: AtomicBool,
    pub active_viewers: AtomicUsize,
    reqs: AtomicU64,
}

enum End {
    Played,
    /// Broken off, turned away or not answered: may come again.
    Again(f64),
    Left,
}

impl ViewerPopulation {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seen: Arc<Recorder>,
        groups: Vec<(GroupSettings, f64)>,
        titles: Vec<Title>,
        issuer: SigningKey,
        key_id: Vec<u8>,
        sessions: (f64, f64),
        segment: f64,
    ) -> Self {
        ViewerPopulation {
            recorder: seen,
            groups,
            titles,
            issuer_key: issuer,
            key_id,
            fronts: Mutex::default(),
            surge: Mutex::new(None),
            session_ms: sessions,
            segment_ms: segment,
            stopped: AtomicBool::new(false),
            active_viewers: AtomicUsize::new(0),
            reqs: AtomicU64::new(0),
        }
    }

    /// Lets viewers come at a mean rate a second until closed.
    pub fn run_arrivals(self: &Arc<Self>, a_second: f64, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut viewer = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            let now = self.recorder.now_ms();
            let (mut times, mut few) = (1.0, None);
            if let Some(c) = self.surge.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
                if now < c.ends_at_ms {
                    (times, few) = (c.rate_factor, Some(c.title_count));
                }
            }
            let gap = Exp::new(a_second * times / 1_000.0).expect("a rate above 0");
            sleep(gap.sample(&mut rng));
            // Of a crowd, all beyond the usual come for its titles, the last ones: few hold them.
            let title = match few {
                Some(few) if rng.random_bool(1.0 - 1.0 / times) => {
                    self.titles.len() - 1 - rng.random_range(0..few.clamp(1, self.titles.len()))
                }
                _ => {
                    let zipf = Zipf::new(self.titles.len() as f64, 0.8).expect("some titles");
                    zipf.sample(&mut rng) as usize - 1
                }
            };
            viewer += 1;
            let (me, seed, viewer) = (self.clone(), rng.next_u64(), viewer);
            self.active_viewers.fetch_add(1, Ordering::SeqCst);
            spawn(move || {
                me.visit(viewer, title, StdRng::seed_from_u64(seed));
                me.active_viewers.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    fn visit(&self, viewer: u64, title: usize, mut rng: StdRng) {
        let key = SigningKey::from_bytes(&std::array::from_fn(|_| rng.random()));
        let group = self.pick_group(&mut rng);
        let mut length = rng.random_range(self.session_ms.0..=self.session_ms.1);
        let title = &self.titles[title];
        let claims = ViewerClaims {
            id: viewer.to_be_bytes().to_vec(),
            manifest_path: format!("/m/{}.mpd", title.name),
            service_group: group.name.clone(),
            holders: title.holders.clone(),
            max_rung: None,
            tenant: None,
            not_before: None,
            expires_at: self.recorder.now_ms() + 600_000.0,
            viewer_key: key.verifying_key().to_bytes(),
        };
        let token = token::mint(&claims, &self.key_id, &self.issuer_key);
        for _ in 0..TRIES {
            match self.try_once(viewer, &claims, group, &token, &key, &mut length, &mut rng) {
                End::Played | End::Left => return,
                End::Again(advised) => {
                    if length < 500.0 || !rng.random_bool(COMES_AGAIN) || self.stopped.load(Ordering::SeqCst)
                    {
                        return;
                    }
                    sleep(rng.random_range(AGAIN_AFTER.0..AGAIN_AFTER.1).max(advised));
                }
            }
        }
    }

    fn pick_group(&self, rng: &mut StdRng) -> &GroupSettings {
        let mut at = rng.random_range(0.0..1.0);
        let found = self.groups.iter().find(|(_, share)| {
            at -= share;
            at < 0.0
        });
        &found.unwrap_or(&self.groups[0]).0
    }

    #[allow(clippy::too_many_arguments)]
    fn try_once(
        &self,
        viewer: u64,
        claims: &ViewerClaims,
        group: &GroupSettings,
        token: &str,
        key: &SigningKey,
        length: &mut f64,
        rng: &mut StdRng,
    ) -> End {
        let fronts = self.fronts.lock().unwrap_or_else(|e| e.into_inner()).running.clone();
        let mut at = rng.random_range(0.0..1.0) * fronts.iter().map(|f| f.2).sum::<f64>();
        let front = fronts.iter().find(|f| {
            at -= f.2;
            at < 0.0
        });
        let Some((front, address, _)) = front else { return End::Again(0.0) };
        let Ok(mut stream) = TimedStream::connect(address) else {
            return End::Again(0.0);
        };
        let url = format!("http://{address}{}", claims.manifest_path);
        let made = ProofClaims {
            public_key: claims.viewer_key,
            id: encode_base64url(&rng.random::<[u8; 12]>()),
            method: "GET".into(),
            url,
            issued_at: self.recorder.now_ms(),
            token_hash: token_hash(token),
        };
        let proof = proof::mint(&made, key);
        let req = self.reqs.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "GET {} HTTP/1.1\r\nHost: {address}\r\nCTA-Common-Access-Token: {token}\r\nDPoP: {proof}\r\n\r\n",
            claims.manifest_path
        );
        let asked = Observation::RequestSent {
            viewer,
            request: req,
            front: *front,
            title: claims.manifest_path.clone(),
            group: group.name.clone(),
            wait_limit_ms: group.wait_limit_ms,
        };
        self.recorder.record(asked);
        let asked_at = self.recorder.now_ms();
        if stream.write_all(text.as_bytes()).is_err() {
            self.recorder.record(Observation::NoAnswer { request: req });
            return End::Again(0.0);
        }
        let early = rng.random_bool(LEAVES_EARLY);
        let wait = if early { rng.random_range(1.0..20.0) } else { group.wait_limit_ms };
        stream.set_read_timeout(wait);
        let mut buffer = Vec::new();
        let answer = read_head(&mut stream, &mut buffer).and_then(|head| match head {
            Some(head) => Ok(Some((read_body(&mut stream, &mut buffer, &head)?, head))),
            None => Ok(None),
        });
        stream.clear_read_timeout();
        let (body, head) = match answer {
            Ok(Some(answer)) => answer,
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                self.recorder.record(if early {
                    Observation::ViewerLeft { request: req }
                } else {
                    Observation::WaitLimitExceeded { request: req }
                });
                return if early { End::Left } else { End::Again(0.0) };
            }
            _ => {
                self.recorder.record(Observation::NoAnswer { request: req });
                return End::Again(0.0);
            }
        };
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let manifest = (status == 200).then(|| mpd::from_xml(&String::from_utf8_lossy(&body)));
        let plays = manifest.and_then(|m| m.map_err(|e| eprintln!("viewer {viewer}: {e}")).ok());
        let session = plays.as_ref().and_then(session_of);
        let server = session.as_ref().and_then(|(_, token)| server_of(token));
        self.recorder.record(Observation::Answered {
            request: req,
            status,
            session: session.as_ref().map(|s| s.0),
            server,
        });
        if asked_at + group.wait_limit_ms < self.recorder.now_ms() {
            self.recorder.record(Observation::WaitLimitExceeded { request: req });
        }
        let (Some(plays), Some((id, _)), Some(server)) = (plays, session, server) else {
            let advised = header_value(&head, "Retry-After-Ms").and_then(|v| v.parse().ok()).unwrap_or(0.0);
            return End::Again(advised);
        };
        let mut stream = Some(stream);
        let end = self.watch(&mut stream, &mut buffer, plays, id, server, length);
        let Some(stream) = stream else { return end };
        // Whatever else came on this connection was not asked for.
        if !buffer.is_empty() || stream.has_unread_data() {
            self.recorder.record(Observation::ExtraData { request: req });
        }
        end
    }

    /// Watches segment by segment, renewing the manifest as it says.
    fn watch(
        &self,
        front: &mut Option<TimedStream>,
        buffer: &mut Vec<u8>,
        mut plays: mpd::Mpd,
        session: u64,
        server: u32,
        length: &mut f64,
    ) -> End {
        let Some((host, base)) = split_url(&plays.base_url) else { return End::Again(0.0) };
        let Ok(mut media) = TimedStream::connect(&host) else {
            return End::Again(0.0);
        };
        let update = mpd::read_duration(&plays.minimum_update_period).unwrap_or(2_000.0);
        let (mut renewed, mut in_buffer, mut short) = (self.recorder.now_ms(), Vec::new(), 0);
        let mut number = 1;
        while *length > 0.0 {
            let began = self.recorder.now_ms();
            let Some(rep) = plays.period.adaptation_set.representations.last() else {
                return End::Again(0.0);
            };
            media.set_read_timeout(self.segment_ms * 10.0);
            let ask = format!("GET {base}{}/{number}.m4s HTTP/1.1\r\nHost: {host}\r\n\r\n", rep.id);
            let got = media.write_all(ask.as_bytes()).and_then(|()| read_head(&mut media, &mut in_buffer));
            let Ok(Some(head)) = got else { return End::Again(0.0) };
            if read_body(&mut media, &mut in_buffer, &head).is_err() || !head.contains(" 200 ") {
                return End::Again(0.0);
            }
            let took = self.recorder.now_ms() - began;
            let share = (self.segment_ms / took.max(self.segment_ms)).min(1.0);
            self.recorder.record(Observation::SegmentPlayed { session, server, delivered_share: share });
            number += 1;
            *length -= self.segment_ms;
            short = if share < TOO_SHORT { short + 1 } else { 0 };
            if short >= SHORT_FOR {
                return End::Again(0.0);
            }
            sleep(self.segment_ms - took);
            if self.recorder.now_ms() - renewed >= update {
                renewed = self.recorder.now_ms();
                match front.as_mut().map(|f| renew(f, buffer, &plays.location)) {
                    Some(Ok(Some(next))) => plays = next,
                    // The front is away or late: the picture goes on without it, this connection does not.
                    Some(Err(_)) => *front = None,
                    _ => {}
                }
            }
        }
        End::Played
    }
}

/// Fetches the renewed manifest; none once the session is over.
fn renew(front: &mut TimedStream, buffer: &mut Vec<u8>, location: &str) -> io::Result<Option<mpd::Mpd>> {
    let (host, path) = split_url(location).ok_or_else(|| io::Error::other("no location"))?;
    front.set_read_timeout(1_000.0);
    front.write_all(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes())?;
    let head = read_head(front, buffer)?.ok_or(ErrorKind::UnexpectedEof)?;
    let body = read_body(front, buffer, &head)?;
    front.clear_read_timeout();
    Ok(if head.contains(" 200 ") { mpd::from_xml(&String::from_utf8_lossy(&body)).ok() } else { None })
}

fn split_url(url: &str) -> Option<(SocketAddr, String)> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    Some((host.parse().ok()?, format!("/{path}")))
}

/// The session that a manifest is for, and its token: `.../s/SESSION/TOKEN/`.
fn session_of(m: &mpd::Mpd) -> Option<(u64, String)> {
    let (_, path) = split_url(&m.base_url)?;
    let mut parts = path.strip_prefix("/s/")?.split('/');
    Some((parts.next()?.parse().ok()?, parts.next()?.to_owned()))
}

/// The box that a session's token is for, read without a key: a viewer has none.
fn server_of(token: &str) -> Option<u32> {
    token::decode_session_unverified(token).map(|c| c.server)
}
