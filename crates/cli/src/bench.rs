//! `walnutline bench path`: measures the time from request to answer through a front, and for the same boxes without
//! a front, in one run; then the cost of the parts of a request.
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

/// Sub-commands of `walnutline bench`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Measure requests per second and core, and the time from request to answer.
    Path {
        /// Requests per second.
        #[arg(long, default_value_t = 2_000)]
        rate: u32,
        /// Seconds of load; at most eight, as all proofs are signed beforehand.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=8))]
        seconds: u32,
        /// Number of viewer connections, each with a thread.
        #[arg(long, default_value_t = 8)]
        connections: u32,
        /// Number of threads of the front that run coroutines.
        #[arg(long, default_value_t = 1)]
        workers: u32,
    },
    /// Compare the catalogue's data structures with plain ones, and measure answers during a load.
    Catalogue(bench_catalogue::Args),
}

/// Number of simulated boxes.
const BOXES: u32 = 12;
/// Sessions end soon: the cost of a decision grows with the number of open sessions, which is not measured here.
const SESSION_DURATION_MS: f64 = 50.0;

/// Runs a sub-command of `walnutline bench`.
pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Path { rate, seconds, connections, workers } => {
            bench_path(rate, seconds, connections, workers)
        }
        Command::Catalogue(args) => bench_catalogue::run(args),
    }
}

fn bench_path(rate: u32, seconds: u32, connections: u32, workers: u32) -> Result<(), String> {
    let front = BenchFront::start(workers, "")?;
    println!(
        "{BOXES} stand-in boxes that answer at once, 1 front with {workers} worker, {rate} requests a second"
    );
    let direct = front.measure_direct(rate, seconds, connections)?;
    let cpu_before_s = front.cpu_seconds()?;
    let through_front = front.measure(rate, seconds, connections)?;
    let cpu_s = front.cpu_seconds()? - cpu_before_s;
    let quantile_us =
        |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    println!("time to answer, us        p50      p99    p99.9      max  requests");
    for (name, histogram) in [("straight to a box", &direct), ("through the front", &through_front)] {
        println!(
            "{name}   {:8.0} {:8.0} {:8.0} {:8.0} {:9}",
            quantile_us(histogram, 0.5),
            quantile_us(histogram, 0.99),
            quantile_us(histogram, 0.999),
            histogram.max() as f64 / 1_000.0,
            histogram.len()
        );
    }
    let added_us = |quantile| quantile_us(&through_front, quantile) - quantile_us(&direct, quantile);
    println!("the front adds {:.0} us at p50, {:.0} us at p99", added_us(0.5), added_us(0.99));
    let requests = through_front.len() as f64;
    println!(
        "the front's own time: {:.0} us a request; {:.0} requests a second on a core",
        cpu_s * 1e6 / requests,
        requests / cpu_s
    );
    measure_parts()
}

/// A front in a process of its own, with simulated boxes that answer at once; killed when dropped.
pub struct BenchFront {
    process: Child,
    address: SocketAddr,
    boxes: Vec<BoxProcess>,
    issuer_key: SigningKey,
    session_key: SigningKey,
    _directory: TempFolder,
}

impl Drop for BenchFront {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The current time, in milliseconds since the Unix epoch.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}

impl BenchFront {
    /// Starts the boxes, a list server and the front, and waits until the front is warm. `extra_settings` is appended
    /// to its settings document.
    pub fn start(workers: u32, extra_settings: &str) -> Result<Self, String> {
        may::config().set_workers(2).set_stack_size(0x8000);
        let directory = TempFolder::new()?;
        let script = walnutline_rehearsal::script::parse("bench", "boxes 12 in 3 racks\nfronts 1")?;
        let recorder = Arc::new(Recorder::create(&directory.0.join("records.jsonl"))?);
        // The boxes' capacity and, below, the retry budget are raised so that neither limits the load. All other limits
        // stay as in a rehearsal.
        let mut box_settings = deployment::box_settings(&script);
        (box_settings.max_streams, box_settings.link_kb_per_s, box_settings.uplink_kb_per_s) =
            (1_000_000, 1e10, 1e11);
        let (issuer_key, session_key) = (SigningKey::from_bytes(&[1; 32]), SigningKey::from_bytes(&[2; 32]));
        directory.write("k1.pub", &encode_base64url(issuer_key.verifying_key().as_bytes()))?;
        directory.write("f0.secret", &encode_base64url(session_key.as_bytes()))?;
        let (list_server, list_address) =
            ListServer::start(recorder.clone(), 0.0).map_err(|e| format!("list: {e}"))?;
        let document = deployment::front_document(
            &script,
            &box_settings,
            &deployment::audit_settings(),
            list_address,
            0,
        );
        directory.write(
            "f0.kdl",
            &(document.replace("free=5 share=0.2", "free=100000 share=1") + extra_settings),
        )?;
        let fleet = Arc::new(Fleet::new(BOXES, 3, box_settings, recorder));
        let front_keys = BTreeMap::from([(b"f0".to_vec(), (0, session_key.verifying_key()))]);
        let mut context = BoxContext::new(fleet, front_keys, BTreeMap::new(), 0.01, 500.0);
        (context.setup_duration_ms, context.session_duration_ms) = ((0.0, 0.0), Some(SESSION_DURATION_MS));
        let context = Arc::new(context);
        let mut boxes = Vec::new();
        for server in 0..BOXES {
            let process = BoxProcess::start(&context, server, false).map_err(|e| format!("box: {e}"))?;
            let entry = BoxEntry {
                id: server,
                name: format!("box-{server}"),
                state: BoxState::Ready,
                rack: server % 3,
                building: 0,
                kind: 0,
                weight: 1.0,
                started_at_ms: None,
                control_addr: process.control_addr,
                media_url: format!("http://{}", process.media_addr),
            };
            list_server.update(vec![entry]);
            boxes.push(process);
        }
        let address_file = directory.0.join("address");
        let process = Process::new(std::env::current_exe().map_err(|e| e.to_string())?)
            .args(["front", "--workers", &workers.to_string(), "--address-file"])
            .arg(&address_file)
            .arg(directory.0.join("f0.kdl"))
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| format!("front: {e}"))?;
        let mut front = BenchFront {
            process,
            address: ([127, 0, 0, 1], 0).into(),
            boxes,
            issuer_key,
            session_key,
            _directory: directory,
        };
        let deadline = Instant::now() + Duration::from_secs(10);
        while front.address.port() == 0 {
            if Instant::now() > deadline {
                return Err("the front is not up after 10 s".into());
            }
            std::thread::sleep(Duration::from_millis(10));
            if let Ok(text) = std::fs::read_to_string(&address_file) {
                front.address = text.parse().map_err(|_| format!("address {text:?}"))?;
            }
        }
        // Warms the front up: every box is connected and has reported its load.
        front.measure(400, 1, 2)?;
        Ok(front)
    }

    /// The front's processor time so far, in seconds.
    pub fn cpu_seconds(&self) -> Result<f64, String> {
        let path = format!("/proc/{}/stat", self.process.id());
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
        // `utime` and `stime` are fields 14 and 15 of the whole line, in ticks of 10 ms.
        let (user, system) = (ticks(11).ok_or("stat: no utime")?, ticks(12).ok_or("stat: no stime")?);
        Ok((user + system) / 100.0)
    }

    /// The front's process id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Sends manifest requests to the front, and measures the time to each answer in ns.
    pub fn measure(&self, rate: u32, seconds: u32, connections: u32) -> Result<Histogram<u64>, String> {
        let viewer_key = SigningKey::from_bytes(&[3; 32]);
        let claims = ViewerClaims {
            id: vec![1],
            manifest_path: "/m/bench.mpd".into(),
            service_group: "council-notice".into(),
            holders: (0..BOXES / 2).collect(),
            max_rung: None,
            tenant: None,
            not_before: None,
            expires_at: unix_ms() + 600_000.0,
            viewer_key: viewer_key.verifying_key().to_bytes(),
        };
        let token = token::mint(&claims, b"k1", &self.issuer_key);
        let run_started_ms = unix_ms();
        let request = |connection: u32, index: u32| {
            let proof_claims = ProofClaims {
                public_key: claims.viewer_key,
                id: format!("{run_started_ms}-{connection}-{index}"),
                method: "GET".into(),
                url: format!("http://{}{}", self.address, claims.manifest_path),
                issued_at: unix_ms(),
                token_hash: token_hash(&token),
            };
            let proof = proof::mint(&proof_claims, &viewer_key);
            let head = format!("GET {} HTTP/1.1\r\nHost: b\r\n", claims.manifest_path);
            format!("{head}CTA-Common-Access-Token: {token}\r\nDPoP: {proof}\r\n\r\n").into_bytes()
        };
        run_load(rate, seconds, connections, self.address, &request, &|stream, unparsed| {
            let head = read_response_head(stream, unparsed)?;
            if head.starts_with("HTTP/1.1 200 ") {
                Ok(())
            } else {
                Err(format!("answered {:?}", head.lines().next()))
            }
        })
    }

    /// Sends SETUPs to a box without the front, and measures the time to each answer in ns.
    fn measure_direct(&self, rate: u32, seconds: u32, connections: u32) -> Result<Histogram<u64>, String> {
        let box_process = &self.boxes[0];
        let encoded_setup = |connection: u32, index: u32| {
            let session = u64::from(connection) << 32 | u64::from(index);
            let path_prefix = format!("/s/{session}/");
            let claims = SessionClaims {
                session,
                server: box_process.server,
                path_prefix,
                expires_at: unix_ms() + 600_000.0,
            };
            let request = ControlRequest::Setup {
                title: "bench".into(),
                service_group: "council-notice".into(),
                rung: 0,
                front_session: session,
                token: token::mint_session(&claims, b"f0", &self.session_key),
            };
            rtsp::encode(&Message::Request { cseq: index + 1, request }, "127.0.0.1").expect("a plain host")
        };
        run_load(rate, seconds, connections, box_process.control_addr, &encoded_setup, &|stream, unparsed| {
            let mut buffer = [0; 4_096];
            let mut reader = MessageReader::default();
            reader.push(&std::mem::take(unparsed));
            loop {
                // Notices of the end of earlier sessions come on the same connection.
                while let Some(message) = reader.next_message().map_err(|e| e.to_string())? {
                    if let Message::Response { status, .. } = message {
                        return if status == 200 { Ok(()) } else { Err(format!("box answered {status}")) };
                    }
                }
                match stream.read(&mut buffer) {
                    Ok(length) if length > 0 => reader.push(&buffer[..length]),
                    other => return Err(format!("box: {other:?}")),
                }
            }
        })
    }
}

/// Builds the request with this index on this connection.
type BuildRequest<'a> = &'a (dyn Fn(u32, u32) -> Vec<u8> + Sync);
/// Reads the answer to the last request; bytes that follow it stay in the buffer.
type ReadAnswer<'a> = &'a (dyn Fn(&mut TcpStream, &mut Vec<u8>) -> Result<(), String> + Sync);

/// Sends requests at a steady rate and measures the time to each answer in ns. The time counts from when a request
/// was due, so that a delay of earlier answers is included.
fn run_load(
    rate: u32,
    seconds: u32,
    connections: u32,
    address: SocketAddr,
    build_request: BuildRequest,
    read_answer: ReadAnswer,
) -> Result<Histogram<u64>, String> {
    let requests_each = rate * seconds / connections;
    let interval = Duration::from_secs_f64(f64::from(connections) / f64::from(rate));
    let barrier = std::sync::Barrier::new(connections as usize);
    let histograms: Vec<Result<Histogram<u64>, String>> = std::thread::scope(|scope| {
        let start_connection = |connection: u32| {
            let barrier = &barrier;
            scope.spawn(move || {
                let requests: Vec<Vec<u8>> =
                    (0..requests_each).map(|index| build_request(connection, index)).collect();
                let stream =
                    TcpStream::connect(address).and_then(|stream| stream.set_nodelay(true).map(|()| stream));
                barrier.wait();
                let mut stream = stream.map_err(|e| format!("{address}: {e}"))?;
                let mut histogram = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
                let mut unparsed = Vec::new();
                let first_due_at =
                    Instant::now() + interval.mul_f64(f64::from(connection) / f64::from(connections));
                for (index, request) in requests.iter().enumerate() {
                    let due_at = first_due_at + interval * index as u32;
                    std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
                    stream.write_all(request).map_err(|e| e.to_string())?;
                    read_answer(&mut stream, &mut unparsed)?;
                    histogram.record(due_at.elapsed().as_nanos() as u64).map_err(|e| e.to_string())?;
                }
                Ok(histogram)
            })
        };
        let threads: Vec<_> = (0..connections).map(start_connection).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_else(|_| Err("a load thread panicked".into())))
            .collect()
    });
    let mut sum = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    for histogram in histograms {
        sum.add(histogram?).map_err(|e| e.to_string())?;
    }
    Ok(sum)
}

/// Reads one HTTP response and returns its head; bytes that follow it stay in `unparsed`.
fn read_response_head(stream: &mut TcpStream, unparsed: &mut Vec<u8>) -> Result<String, String> {
    let mut buffer = [0; 8_192];
    loop {
        if let Some(end) = unparsed.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&unparsed[..end + 4]).into_owned();
            let body_length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            let total_length =
                end + 4 + body_length.and_then(|length| length.parse::<usize>().ok()).unwrap_or(0);
            if unparsed.len() >= total_length {
                unparsed.drain(..total_length);
                return Ok(head);
            }
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => unparsed.extend_from_slice(&buffer[..length]),
            other => return Err(format!("front: {other:?}")),
        }
    }
}

/// Measures the parts of handling a request by themselves.
fn measure_parts() -> Result<(), String> {
    let (issuer_key, viewer_key) = (SigningKey::from_bytes(&[1; 32]), SigningKey::from_bytes(&[3; 32]));
    let claims = ViewerClaims {
        id: vec![1],
        manifest_path: "/m/bench.mpd".into(),
        service_group: "council-notice".into(),
        holders: (0..6).collect(),
        max_rung: None,
        tenant: None,
        not_before: None,
        expires_at: 2e12,
        viewer_key: viewer_key.verifying_key().to_bytes(),
    };
    let token = token::mint(&claims, b"k1", &issuer_key);
    let proof_claims = ProofClaims {
        public_key: claims.viewer_key,
        id: "a".into(),
        method: "GET".into(),
        url: "http://127.0.0.1:8080/m/bench.mpd".into(),
        issued_at: 1e12,
        token_hash: token_hash(&token),
    };
    let proof = proof::mint(&proof_claims, &viewer_key);
    let session_claims =
        SessionClaims { session: 1, server: 1, path_prefix: "/s/1/".into(), expires_at: 2e12 };
    let manifest = mpd::ManifestParams {
        title: "bench",
        base_url: "http://127.0.0.1:9/s/1/token/".into(),
        location: "http://127.0.0.1:8/s/1.mpd".into(),
        started_at_ms: 1e12,
        published_at_ms: 1e12,
        update_period_ms: 2_000.0,
        segment_duration_ms: 500.0,
        rungs: vec![(0, 200.0), (1, 400.0), (2, 700.0), (3, 1_200.0)],
    };
    let public_key = issuer_key.verifying_key();
    println!("parts, us each:");
    print_mean_time("check the viewer's token", || token::verify(&token, |_| Ok(public_key)).is_ok());
    print_mean_time("check its proof", || proof::verify(&proof).is_ok());
    print_mean_time("sign the session's token", || {
        !token::mint_session(&session_claims, b"f", &viewer_key).is_empty()
    });
    print_mean_time("write the manifest", || mpd::to_xml(&manifest).is_ok());
    Ok(())
}

/// Runs an operation many times and prints its mean time in us.
fn print_mean_time(name: &str, mut operation: impl FnMut() -> bool) {
    const RUNS: u32 = 2_000;
    let started_at = Instant::now();
    let succeeded = (0..RUNS).filter(|_| operation()).count();
    let mean_us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(RUNS);
    let remark = if succeeded == RUNS as usize { "" } else { "  (failed)" };
    println!("    {name:28} {mean_us:6.1}{remark}");
}
