//! `walnutline bench path`: the time from request to answer through a front, beside the same boxes asked straight,
//! in one run; and where the time goes.
use crate::bench_catalogue;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command as Process, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use walnutline_auth::claims::{ProofClaims, SessionClaims, ViewerClaims};
use walnutline_control::box_list::{BoxEntry, BoxState};
use walnutline_control::rtsp::{self, ControlRequest, Message, MessageReader};
use walnutline_dash::{encode_base64url, mpd, proof, token, token_hash, SigningKey};
use walnutline_rehearsal::boxes::{BoxContext, BoxProcess};
use walnutline_rehearsal::deployment::{self, TempFolder};
use walnutline_rehearsal::fleet::Fleet;
use walnutline_rehearsal::list_server::ListServer;
use walnutline_rehearsal::record::Recorder;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Requests a second on a core, and the time from request to answer.
    Path {
        /// Requests a second.
        #[arg(long, default_value_t = 2_000)]
        rate: u32,
        /// Seconds of load; proofs are made before, so at most eight.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=8))]
        seconds: u32,
        /// Viewers' connections, each with a thread.
        #[arg(long, default_value_t = 8)]
        connections: u32,
        /// Threads of the front that run coroutines.
        #[arg(long, default_value_t = 1)]
        workers: u32,
    },
    /// The catalogue's structures beside plain ones, and answers while a load is under way.
    Catalogue(bench_catalogue::Args),
}

const BOXES: u32 = 12;
/// Sessions end soon: cost of a decision grows with the sessions in hand, which is measured elsewhere.
const SESSIONS_LAST: f64 = 50.0;

pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Path { rate, seconds, connections, workers } => path(rate, seconds, connections, workers),
        Command::Catalogue(args) => bench_catalogue::run(args),
    }
}

fn path(rate: u32, seconds: u32, connections: u32, workers: u32) -> Result<(), String> {
    let bench = Bench::with(workers, "")?;
    println!(
        "{BOXES} stand-in boxes that answer at once, 1 front with {workers} worker, {rate} requests a second"
    );
    let straight = bench.straight(rate, seconds, connections)?;
    let before = bench.front_cpu()?;
    let through = bench.through(rate, seconds, connections)?;
    let cpu = bench.front_cpu()? - before;
    let us = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    println!("time to answer, us        p50      p99    p99.9      max  requests");
    for (name, h) in [("straight to a box", &straight), ("through the front", &through)] {
        println!(
            "{name}   {:8.0} {:8.0} {:8.0} {:8.0} {:9}",
            us(h, 0.5),
            us(h, 0.99),
            us(h, 0.999),
            h.max() as f64 / 1_000.0,
            h.len()
        );
    }
    let adds = |q| us(&through, q) - us(&straight, q);
    println!("the front adds {:.0} us at p50, {:.0} us at p99", adds(0.5), adds(0.99));
    let n = through.len() as f64;
    println!(
        "the front's own time: {:.0} us a request; {:.0} requests a second on a core",
        cpu * 1e6 / n,
        n / cpu
    );
    parts()
}

pub struct Bench {
    front: Child,
    address: SocketAddr,
    boxes: Vec<BoxProcess>,
    issuer: SigningKey,
    key: SigningKey,
    _folder: TempFolder,
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = self.front.kill();
        let _ = self.front.wait();
    }
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}

impl Bench {
    /// A front with a depot that answers at once; `more` is added to its document.
    pub fn with(workers: u32, more: &str) -> Result<Self, String> {
        may::config().set_workers(2).set_stack_size(0x8000);
        let folder = TempFolder::new()?;
        let script = walnutline_rehearsal::script::parse("bench", "boxes 12 in 3 racks\nfronts 1")?;
        let seen = Arc::new(Recorder::create(&folder.0.join("records.jsonl"))?);
        let mut kind = deployment::box_settings(&script);
        (kind.max_streams, kind.link_kb_per_s, kind.uplink_kb_per_s) = (1_000_000, 1e10, 1e11);
        let (issuer, key) = (SigningKey::from_bytes(&[1; 32]), SigningKey::from_bytes(&[2; 32]));
        folder.write("k1.pub", &encode_base64url(issuer.verifying_key().as_bytes()))?;
        folder.write("f0.secret", &encode_base64url(key.as_bytes()))?;
        let (listing, list) = ListServer::start(seen.clone(), 0.0).map_err(|e| format!("list: {e}"))?;
        // The terms' limits stay; only what a depot carries is out of the way.
        let document = deployment::front_document(&script, &kind, &deployment::audit_settings(), list, 0);
        folder.write("f0.kdl", &(document.replace("free=5 share=0.2", "free=100000 share=1") + more))?;
        let depot = Arc::new(Fleet::new(BOXES, 3, kind, seen));
        let keys = BTreeMap::from([(b"f0".to_vec(), (0, key.verifying_key()))]);
        let mut common = BoxContext::new(depot, keys, BTreeMap::new(), 0.01, 500.0);
        (common.setup_duration_ms, common.session_duration_ms) = ((0.0, 0.0), Some(SESSIONS_LAST));
        let common = Arc::new(common);
        let mut started = Vec::new();
        for server in 0..BOXES {
            let p = BoxProcess::start(&common, server, false).map_err(|e| format!("box: {e}"))?;
            let line = BoxEntry {
                id: server,
                name: format!("box-{server}"),
                state: BoxState::Ready,
                rack: server % 3,
                building: 0,
                kind: 0,
                weight: 1.0,
                started_at_ms: None,
                control_addr: p.control_addr,
                media_url: format!("http://{}", p.media_addr),
            };
            listing.update(vec![line]);
            started.push(p);
        }
        let at = folder.0.join("address");
        let front = Process::new(std::env::current_exe().map_err(|e| e.to_string())?)
            .args(["front", "--workers", &workers.to_string(), "--address-file"])
            .arg(&at)
            .arg(folder.0.join("f0.kdl"))
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| format!("front: {e}"))?;
        let mut bench = Bench {
            front,
            address: ([127, 0, 0, 1], 0).into(),
            boxes: started,
            issuer,
            key,
            _folder: folder,
        };
        let until = Instant::now() + Duration::from_secs(10);
        while bench.address.port() == 0 {
            if Instant::now() > until {
                return Err("the front is not up after 10 s".into());
            }
            std::thread::sleep(Duration::from_millis(10));
            if let Ok(text) = std::fs::read_to_string(&at) {
                bench.address = text.parse().map_err(|_| format!("address {text:?}"))?;
            }
        }
        // Warm: every box connected and heard of.
        bench.through(400, 1, 2)?;
        Ok(bench)
    }

    /// The front's processor time so far, in seconds.
    pub fn front_cpu(&self) -> Result<f64, String> {
        let path = format!("/proc/{}/stat", self.front.id());
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
        // Fields 14 and 15 of the whole line, in ticks of a hundredth of a second.
        let (user, system) = (ticks(11).ok_or("stat: no utime")?, ticks(12).ok_or("stat: no stime")?);
        Ok((user + system) / 100.0)
    }

    /// The front's process.
    pub fn pid(&self) -> u32 {
        self.front.id()
    }

    pub fn through(&self, rate: u32, seconds: u32, connections: u32) -> Result<Histogram<u64>, String> {
        let viewer = SigningKey::from_bytes(&[3; 32]);
        let claims = ViewerClaims {
            id: vec![1],
            manifest_path: "/m/bench.mpd".into(),
            service_group: "council-notice".into(),
            holders: (0..BOXES / 2).collect(),
            max_rung: None,
            tenant: None,
            not_before: None,
            expires_at: now() + 600_000.0,
            viewer_key: viewer.verifying_key().to_bytes(),
        };
        let token = token::mint(&claims, b"k1", &self.issuer);
        let begun = now();
        let request = |no: u32, n: u32| {
            let made = ProofClaims {
                public_key: claims.viewer_key,
                id: format!("{begun}-{no}-{n}"),
                method: "GET".into(),
                url: format!("http://{}{}", self.address, claims.manifest_path),
                issued_at: now(),
                token_hash: token_hash(&token),
            };
            let proof = proof::mint(&made, &viewer);
            let head = format!("GET {} HTTP/1.1\r\nHost: b\r\n", claims.manifest_path);
            format!("{head}CTA-Common-Access-Token: {token}\r\nDPoP: {proof}\r\n\r\n").into_bytes()
        };
        load(rate, seconds, connections, self.address, &request, &|stream, rest| {
            let head = answer(stream, rest)?;
            if head.starts_with("HTTP/1.1 200 ") {
                Ok(())
            } else {
                Err(format!("answered {:?}", head.lines().next()))
            }
        })
    }

    fn straight(&self, rate: u32, seconds: u32, connections: u32) -> Result<Histogram<u64>, String> {
        let server = &self.boxes[0];
        let encoded_setup = |no: u32, n: u32| {
            let session = u64::from(no) << 32 | u64::from(n);
            let path = format!("/s/{session}/");
            let claims = SessionClaims {
                session,
                server: server.server,
                path_prefix: path,
                expires_at: now() + 600_000.0,
            };
            let request = ControlRequest::Setup {
                title: "bench".into(),
                service_group: "council-notice".into(),
                rung: 0,
                front_session: session,
                token: token::mint_session(&claims, b"f0", &self.key),
            };
            rtsp::encode(&Message::Request { cseq: n + 1, request }, "127.0.0.1").expect("a plain host")
        };
        load(rate, seconds, connections, server.control_addr, &encoded_setup, &|stream, rest| {
            let mut bytes = [0; 4_096];
            let mut reader = MessageReader::default();
            reader.push(&std::mem::take(rest));
            loop {
                // The box also says when earlier sessions end.
                while let Some(m) = reader.next_message().map_err(|e| e.to_string())? {
                    if let Message::Response { status, .. } = m {
                        return if status == 200 { Ok(()) } else { Err(format!("box answered {status}")) };
                    }
                }
                match stream.read(&mut bytes) {
                    Ok(n) if n > 0 => reader.push(&bytes[..n]),
                    other => return Err(format!("box: {other:?}")),
                }
            }
        })
    }
}

type Requests<'a> = &'a (dyn Fn(u32, u32) -> Vec<u8> + Sync);
type Answered<'a> = &'a (dyn Fn(&mut TcpStream, &mut Vec<u8>) -> Result<(), String> + Sync);

/// Sends at a steady rate whatever the answers take: each time counts from when its request was due.
fn load(
    rate: u32,
    seconds: u32,
    connections: u32,
    to: SocketAddr,
    request: Requests,
    answered: Answered,
) -> Result<Histogram<u64>, String> {
    let each = rate * seconds / connections;
    let gap = Duration::from_secs_f64(f64::from(connections) / f64::from(rate));
    let barrier = std::sync::Barrier::new(connections as usize);
    let histograms: Vec<Result<Histogram<u64>, String>> = std::thread::scope(|scope| {
        let one = |no: u32| {
            let barrier = &barrier;
            scope.spawn(move || {
                let requests: Vec<Vec<u8>> = (0..each).map(|n| request(no, n)).collect();
                let stream = TcpStream::connect(to).and_then(|s| s.set_nodelay(true).map(|()| s));
                barrier.wait();
                let mut stream = stream.map_err(|e| format!("{to}: {e}"))?;
                let mut h = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
                let mut rest = Vec::new();
                let began = Instant::now() + gap.mul_f64(f64::from(no) / f64::from(connections));
                for (n, bytes) in requests.iter().enumerate() {
                    let due = began + gap * n as u32;
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    stream.write_all(bytes).map_err(|e| e.to_string())?;
                    answered(&mut stream, &mut rest)?;
                    h.record(due.elapsed().as_nanos() as u64).map_err(|e| e.to_string())?;
                }
                Ok(h)
            })
        };
        let threads: Vec<_> = (0..connections).map(one).collect();
        threads.into_iter().map(|t| t.join().unwrap_or_else(|_| Err("a thread broke".into()))).collect()
    });
    let mut sum = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for h in histograms {
        sum.add(h?).map_err(|e| e.to_string())?;
    }
    Ok(sum)
}

/// One HTTP answer; its head.
fn answer(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Result<String, String> {
    let mut bytes = [0; 8_192];
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end + 4]).into_owned();
            let len = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
            let whole = end + 4 + len.and_then(|l| l.parse::<usize>().ok()).unwrap_or(0);
            if rest.len() >= whole {
                rest.drain(..whole);
                return Ok(head);
            }
        }
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => rest.extend_from_slice(&bytes[..n]),
            other => return Err(format!("front: {other:?}")),
        }
    }
}

/// What the parts of a request's way cost by themselves, on this machine in this run.
fn parts() -> Result<(), String> {
    let (issuer, viewer) = (SigningKey::from_bytes(&[1; 32]), SigningKey::from_bytes(&[3; 32]));
    let claims = ViewerClaims {
        id: vec![1],
        manifest_path: "/m/bench.mpd".into(),
        service_group: "council-notice".into(),
        holders: (0..6).collect(),
        max_rung: None,
        tenant: None,
        not_before: None,
        expires_at: 2e12,
        viewer_key: viewer.verifying_key().to_bytes(),
    };
    let text = token::mint(&claims, b"k1", &issuer);
    let made = ProofClaims {
        public_key: claims.viewer_key,
        id: "a".into(),
        method: "GET".into(),
        url: "http://127.0.0.1:8080/m/bench.mpd".into(),
        issued_at: 1e12,
        token_hash: token_hash(&text),
    };
    let proof_text = proof::mint(&made, &viewer);
    let session = SessionClaims { session: 1, server: 1, path_prefix: "/s/1/".into(), expires_at: 2e12 };
    let told = mpd::ManifestParams {
        title: "bench",
        base_url: "http://127.0.0.1:9/s/1/token/".into(),
        location: "http://127.0.0.1:8/s/1.mpd".into(),
        started_at_ms: 1e12,
        published_at_ms: 1e12,
        update_period_ms: 2_000.0,
        segment_duration_ms: 500.0,
        rungs: vec![(0, 200.0), (1, 400.0), (2, 700.0), (3, 1_200.0)],
    };
    let key = issuer.verifying_key();
    println!("parts, us each:");
    time("check the viewer's token", || token::verify(&text, |_| Ok(key)).is_ok());
    time("check its proof", || proof::verify(&proof_text).is_ok());
    time("sign the session's token", || !token::mint_session(&session, b"f", &viewer).is_empty());
    time("write the manifest", || mpd::to_xml(&told).is_ok());
    Ok(())
}

fn time(name: &str, mut once: impl FnMut() -> bool) {
    const TIMES: u32 = 2_000;
    let began = Instant::now();
    let good = (0..TIMES).filter(|_| once()).count();
    let us = began.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES);
    let fault = if good == TIMES as usize { "" } else { "  (failed)" };
    println!("    {name:28} {us:6.1}{fault}");
}
