//! Simulated viewers. They arrive at random times drawn from a seed, request a title with a token and proof of their
//! own, fetch segments at the rate they get, and may try again after a failure.
use crate::net::{header_value, read_body, read_head, sleep, spawn, TimedStream};
use crate::record::{GroupSettings, Observation, Recorder};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use walnutline_auth::claims::{ProofClaims, ViewerClaims};
use walnutline_dash::{encode_base64url, mpd, proof, token, token_hash, SigningKey};

// Behaviour of viewers. The values are within the required ranges.
/// Share of viewers that try again after an interruption, a busy reply or no answer.
const RETRY_PROBABILITY: f64 = 0.9;
/// Shortest and longest time until a viewer tries again.
const RETRY_DELAY_MS: (f64, f64) = (700.0, 2_500.0);
/// Most requests of one viewer.
const MAX_ATTEMPTS: u32 = 4;
/// Share of viewers that leave before their answer.
const EARLY_LEAVE_PROBABILITY: f64 = 0.01;
/// Delivered share below which a segment counts as reduced.
const MIN_DELIVERED_SHARE: f64 = 0.75;
/// Successive reduced segments after which a viewer abandons a session.
const MAX_REDUCED_SEGMENTS: u32 = 6;

/// A title that viewers request.
pub struct Title {
    pub name: String,
    /// The boxes that hold the title.
    pub holders: Vec<u32>,
}

/// The fronts that viewers send requests to.
#[derive(Default)]
pub struct FrontList {
    /// Number, address and share of the viewers.
    pub running: Vec<(u32, SocketAddr, f64)>,
}

/// A temporary increase of the arrival rate.
pub struct ViewerSurge {
    /// Unix time of its end.
    pub ends_at_ms: f64,
    /// The arrival rate during the surge as a multiple of the usual one.
    pub rate_factor: f64,
    /// The additional viewers request this many of the last titles.
    pub title_count: usize,
}

/// All viewers of a rehearsal.
pub struct ViewerPopulation {
    pub recorder: Arc<Recorder>,
    /// Service groups, each with its share of the viewers.
    pub groups: Vec<(GroupSettings, f64)>,
    /// Titles, the most popular first.
    pub titles: Vec<Title>,
    /// Key that signs the viewers' tokens.
    pub issuer_key: SigningKey,
    /// Id of that key in the tokens.
    pub key_id: Vec<u8>,
    pub fronts: Mutex<FrontList>,
    /// The latest surge, if there was one; it may have ended.
    pub surge: Mutex<Option<ViewerSurge>>,
    /// Shortest and longest session.
    pub session_ms: (f64, f64),
    /// Nominal duration of a segment.
    pub segment_ms: f64,
    /// Set to end the arrival of viewers.
    pub stopped: AtomicBool,
    /// Number of viewers that have arrived and not left yet.
    pub active_viewers: AtomicUsize,
    next_request: AtomicU64,
}

/// How an attempt of a viewer ended.
enum AttemptEnd {
    Played,
    /// Interrupted, rejected or not answered: the viewer may try again after the delay that the front advised, in
    /// milliseconds.
    Failed(f64),
    Left,
}

impl ViewerPopulation {
    /// A population without viewers and fronts.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        recorder: Arc<Recorder>,
        groups: Vec<(GroupSettings, f64)>,
        titles: Vec<Title>,
        issuer_key: SigningKey,
        key_id: Vec<u8>,
        session_ms: (f64, f64),
        segment_ms: f64,
    ) -> Self {
        ViewerPopulation {
            recorder,
            groups,
            titles,
            issuer_key,
            key_id,
            fronts: Mutex::default(),
            surge: Mutex::new(None),
            session_ms,
            segment_ms,
            stopped: AtomicBool::new(false),
            active_viewers: AtomicUsize::new(0),
            next_request: AtomicU64::new(0),
        }
    }

    /// Lets viewers arrive at a mean rate until `stopped` is set.
    pub fn run_arrivals(self: &Arc<Self>, viewers_per_second: f64, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut viewer = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            let now = self.recorder.now_ms();
            let (mut rate_factor, mut surge_titles) = (1.0, None);
            if let Some(surge) = self.surge.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
                if now < surge.ends_at_ms {
                    (rate_factor, surge_titles) = (surge.rate_factor, Some(surge.title_count));
                }
            }
            let gap = Exp::new(viewers_per_second * rate_factor / 1_000.0).expect("a rate above 0");
            sleep(gap.sample(&mut rng));
            // The additional viewers of a surge request its titles, the last ones, which few boxes hold.
            let title = match surge_titles {
                Some(count) if rng.random_bool(1.0 - 1.0 / rate_factor) => {
                    self.titles.len() - 1 - rng.random_range(0..count.clamp(1, self.titles.len()))
                }
                _ => {
                    let zipf = Zipf::new(self.titles.len() as f64, 0.8).expect("some titles");
                    zipf.sample(&mut rng) as usize - 1
                }
            };
            viewer += 1;
            let (population, seed, viewer) = (self.clone(), rng.next_u64(), viewer);
            self.active_viewers.fetch_add(1, Ordering::SeqCst);
            spawn(move || {
                population.run_viewer(viewer, title, StdRng::seed_from_u64(seed));
                population.active_viewers.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    /// One viewer: sends requests until it has played, left or used up its attempts.
    fn run_viewer(&self, viewer: u64, title: usize, mut rng: StdRng) {
        let key = SigningKey::from_bytes(&std::array::from_fn(|_| rng.random()));
        let group = self.pick_group(&mut rng);
        let mut remaining_ms = rng.random_range(self.session_ms.0..=self.session_ms.1);
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
        for _ in 0..MAX_ATTEMPTS {
            match self.run_attempt(viewer, &claims, group, &token, &key, &mut remaining_ms, &mut rng) {
                AttemptEnd::Played | AttemptEnd::Left => return,
                AttemptEnd::Failed(advised_ms) => {
                    if remaining_ms < 500.0
                        || !rng.random_bool(RETRY_PROBABILITY)
                        || self.stopped.load(Ordering::SeqCst)
                    {
                        return;
                    }
                    sleep(rng.random_range(RETRY_DELAY_MS.0..RETRY_DELAY_MS.1).max(advised_ms));
                }
            }
        }
    }

    /// Draws a service group by the groups' shares.
    fn pick_group(&self, rng: &mut StdRng) -> &GroupSettings {
        let mut position = rng.random_range(0.0..1.0);
        let found = self.groups.iter().find(|(_, share)| {
            position -= share;
            position < 0.0
        });
        &found.unwrap_or(&self.groups[0]).0
    }

    /// Sends one request and plays if it is accepted.
    #[allow(clippy::too_many_arguments)]
    fn run_attempt(
        &self,
        viewer: u64,
        claims: &ViewerClaims,
        group: &GroupSettings,
        token: &str,
        key: &SigningKey,
        remaining_ms: &mut f64,
        rng: &mut StdRng,
    ) -> AttemptEnd {
        let fronts = self.fronts.lock().unwrap_or_else(|e| e.into_inner()).running.clone();
        let mut position = rng.random_range(0.0..1.0) * fronts.iter().map(|f| f.2).sum::<f64>();
        let front = fronts.iter().find(|f| {
            position -= f.2;
            position < 0.0
        });
        let Some((front, address, _)) = front else { return AttemptEnd::Failed(0.0) };
        let Ok(mut stream) = TimedStream::connect(address) else {
            return AttemptEnd::Failed(0.0);
        };
        let url = format!("http://{address}{}", claims.manifest_path);
        let proof_claims = ProofClaims {
            public_key: claims.viewer_key,
            id: encode_base64url(&rng.random::<[u8; 12]>()),
            method: "GET".into(),
            url,
            issued_at: self.recorder.now_ms(),
            token_hash: token_hash(token),
        };
        let proof = proof::mint(&proof_claims, key);
        let request = self.next_request.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "GET {} HTTP/1.1\r\nHost: {address}\r\nCTA-Common-Access-Token: {token}\r\nDPoP: {proof}\r\n\r\n",
            claims.manifest_path
        );
        let observation = Observation::RequestSent {
            viewer,
            request,
            front: *front,
            title: claims.manifest_path.clone(),
            group: group.name.clone(),
            wait_limit_ms: group.wait_limit_ms,
        };
        self.recorder.record(observation);
        let sent_at = self.recorder.now_ms();
        if stream.write_all(text.as_bytes()).is_err() {
            self.recorder.record(Observation::NoAnswer { request });
            return AttemptEnd::Failed(0.0);
        }
        let leaves_early = rng.random_bool(EARLY_LEAVE_PROBABILITY);
        let timeout_ms = if leaves_early { rng.random_range(1.0..20.0) } else { group.wait_limit_ms };
        stream.set_read_timeout(timeout_ms);
        let mut buffer = Vec::new();
        let answer = read_head(&mut stream, &mut buffer).and_then(|head| match head {
            Some(head) => Ok(Some((read_body(&mut stream, &mut buffer, &head)?, head))),
            None => Ok(None),
        });
        stream.clear_read_timeout();
        let (body, head) = match answer {
            Ok(Some(answer)) => answer,
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                self.recorder.record(if leaves_early {
                    Observation::ViewerLeft { request }
                } else {
                    Observation::WaitLimitExceeded { request }
                });
                return if leaves_early { AttemptEnd::Left } else { AttemptEnd::Failed(0.0) };
            }
            _ => {
                self.recorder.record(Observation::NoAnswer { request });
                return AttemptEnd::Failed(0.0);
            }
        };
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let manifest = (status == 200).then(|| mpd::from_xml(&String::from_utf8_lossy(&body)));
        let manifest = manifest.and_then(|m| m.map_err(|e| eprintln!("viewer {viewer}: {e}")).ok());
        let session = manifest.as_ref().and_then(session_of);
        let server = session.as_ref().and_then(|(_, token)| server_of(token));
        self.recorder.record(Observation::Answered {
            request,
            status,
            session: session.as_ref().map(|s| s.0),
            server,
        });
        if sent_at + group.wait_limit_ms < self.recorder.now_ms() {
            self.recorder.record(Observation::WaitLimitExceeded { request });
        }
        let (Some(manifest), Some((id, _)), Some(server)) = (manifest, session, server) else {
            let advised_ms =
                header_value(&head, "Retry-After-Ms").and_then(|v| v.parse().ok()).unwrap_or(0.0);
            return AttemptEnd::Failed(advised_ms);
        };
        let mut stream = Some(stream);
        let end = self.play(&mut stream, &mut buffer, manifest, id, server, remaining_ms);
        let Some(stream) = stream else { return end };
        // Nothing may arrive on this connection beyond the answers.
        if !buffer.is_empty() || stream.has_unread_data() {
            self.recorder.record(Observation::ExtraData { request });
        }
        end
    }

    /// Plays segment by segment and renews the manifest at its update period.
    fn play(
        &self,
        front: &mut Option<TimedStream>,
        buffer: &mut Vec<u8>,
        mut manifest: mpd::Mpd,
        session: u64,
        server: u32,
        remaining_ms: &mut f64,
    ) -> AttemptEnd {
        let Some((host, base)) = split_url(&manifest.base_url) else { return AttemptEnd::Failed(0.0) };
        let Ok(mut media) = TimedStream::connect(&host) else {
            return AttemptEnd::Failed(0.0);
        };
        let update_period_ms = mpd::parse_duration_ms(&manifest.minimum_update_period).unwrap_or(2_000.0);
        let (mut renewed_at, mut media_buffer, mut reduced_segments) =
            (self.recorder.now_ms(), Vec::new(), 0);
        let mut number = 1;
        while *remaining_ms > 0.0 {
            let started_at = self.recorder.now_ms();
            let Some(representation) = manifest.period.adaptation_set.representations.last() else {
                return AttemptEnd::Failed(0.0);
            };
            media.set_read_timeout(self.segment_ms * 10.0);
            let request =
                format!("GET {base}{}/{number}.m4s HTTP/1.1\r\nHost: {host}\r\n\r\n", representation.id);
            let response =
                media.write_all(request.as_bytes()).and_then(|()| read_head(&mut media, &mut media_buffer));
            let Ok(Some(head)) = response else { return AttemptEnd::Failed(0.0) };
            if read_body(&mut media, &mut media_buffer, &head).is_err() || !head.contains(" 200 ") {
                return AttemptEnd::Failed(0.0);
            }
            let fetch_ms = self.recorder.now_ms() - started_at;
            let share = (self.segment_ms / fetch_ms.max(self.segment_ms)).min(1.0);
            self.recorder.record(Observation::SegmentPlayed { session, server, delivered_share: share });
            number += 1;
            *remaining_ms -= self.segment_ms;
            reduced_segments = if share < MIN_DELIVERED_SHARE { reduced_segments + 1 } else { 0 };
            if reduced_segments >= MAX_REDUCED_SEGMENTS {
                return AttemptEnd::Failed(0.0);
            }
            sleep(self.segment_ms - fetch_ms);
            if self.recorder.now_ms() - renewed_at >= update_period_ms {
                renewed_at = self.recorder.now_ms();
                match front.as_mut().map(|f| renew(f, buffer, &manifest.location)) {
                    Some(Ok(Some(next))) => manifest = next,
                    // The front is down or late: playback goes on without the connection to it.
                    Some(Err(_)) => *front = None,
                    _ => {}
                }
            }
        }
        AttemptEnd::Played
    }
}

/// Fetches the renewed manifest; `None` if the front sends no valid one, as after the end of the session.
fn renew(front: &mut TimedStream, buffer: &mut Vec<u8>, location: &str) -> io::Result<Option<mpd::Mpd>> {
    let (host, path) =
        split_url(location).ok_or_else(|| io::Error::other("manifest without a valid location"))?;
    front.set_read_timeout(1_000.0);
    front.write_all(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes())?;
    let head = read_head(front, buffer)?.ok_or(ErrorKind::UnexpectedEof)?;
    let body = read_body(front, buffer, &head)?;
    front.clear_read_timeout();
    Ok(if head.contains(" 200 ") { mpd::from_xml(&String::from_utf8_lossy(&body)).ok() } else { None })
}

/// Host and path of an `http` URL.
fn split_url(url: &str) -> Option<(SocketAddr, String)> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    Some((host.parse().ok()?, format!("/{path}")))
}

/// Number and token of a manifest's session, from a base URL `.../s/SESSION/TOKEN/`.
fn session_of(manifest: &mpd::Mpd) -> Option<(u64, String)> {
    let (_, path) = split_url(&manifest.base_url)?;
    let mut parts = path.strip_prefix("/s/")?.split('/');
    Some((parts.next()?.parse().ok()?, parts.next()?.to_owned()))
}

/// The box that a session token is for. The signature is not checked, as a viewer does not have the key.
fn server_of(token: &str) -> Option<u32> {
    token::decode_session_unverified(token).map(|c| c.server)
}
