//! A day played: a depot of stand-ins, real fronts as processes, the script's troubles in their time, a verdict.
use crate::audit;
use crate::boxes::{BoxContext, BoxProcess};
use crate::catalogue::CatalogueUse;
use crate::deployment::{audit_settings, box_settings, front_document, TempFolder, SEGMENT_MS};
use crate::fleet::Fleet;
use crate::list_server::ListServer;
use crate::record::{Observation, Recorder};
use crate::script::{self, BoxSelection, Fault, Script};
use crate::viewers::{FrontList, Title, ViewerPopulation, ViewerSurge};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use walnutline_control::box_list::{BoxEntry, BoxState};
use walnutline_dash::{encode_base64url, SigningKey};

#[derive(clap::Args)]
pub struct RehearseArgs {
    /// The script of the day.
    script: PathBuf,
    /// Where the records go; else they are dropped with the day's other files.
    #[arg(long)]
    records: Option<PathBuf>,
    /// Play the day a second time as a baseline: viewers' tokens name one holder drawn by chance, so that the
    /// fronts have no choice.
    #[arg(long)]
    baseline: bool,
    /// Another seed than the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// What the fronts make of a catalogue of the titles.
    #[arg(long, value_enum, default_value_t = CatalogueUse::None)]
    catalogue: CatalogueUse,
    /// Play the day with each use of a catalogue, on so many seeds, and compare.
    #[arg(long, value_name = "SEEDS")]
    compare: Option<u64>,
}

const TITLES: u32 = 24;
/// The last titles lie on few boxes.
const THIN: u32 = 4;
/// Bytes sent for a byte of the ladder's rates: loopback carries a depot in miniature.
const BYTES_SCALE: f64 = 0.02;
const LIST_DELAY: f64 = 400.0;
/// A box that drains is taken away after this.
const DRAIN_TO_DEATH: f64 = 1_500.0;
/// The kit looks so often whether it is late itself, in milliseconds.
const BEAT: f64 = 10.0;
/// A front is up within this, or the rehearsal gives up.
const FRONT_UP: Duration = Duration::from_secs(10);

struct FrontProcess {
    child: Child,
    started: u32,
}

struct Day {
    script: Script,
    folder: TempFolder,
    seen: Arc<Recorder>,
    common: Arc<BoxContext>,
    fleet: Arc<Fleet>,
    listing: Arc<ListServer>,
    boxes: BTreeMap<u32, BoxProcess>,
    viewers: Arc<ViewerPopulation>,
    fronts: BTreeMap<u32, FrontProcess>,
    rng: StdRng,
    /// What the script's statements lead to later on.
    later: Vec<(f64, Later)>,
}

enum Later {
    Kill(u32),
    /// Gone from the list, as the list finds out.
    Gone(u32),
    StartCold(u32),
    Drain(Vec<u32>),
    KillFront(u32),
    Continue(u32),
}

pub fn run(args: RehearseArgs) -> Result<(), String> {
    let file = args.script.display().to_string();
    let text = std::fs::read_to_string(&args.script).map_err(|e| format!("{file}: {e}"))?;
    let mut script = script::parse(&file, &text)?;
    script.seed = args.seed.unwrap_or(script.seed);
    if let Some(seeds) = args.compare {
        return crate::catalogue::compare_uses(&script, seeds);
    }
    let verdict = run_script(script.clone(), args.records.as_deref(), false, args.catalogue)?;
    audit::print_verdict(&verdict);
    if args.baseline {
        let random = run_script(script, None, true, args.catalogue)?;
        println!("\nbaseline of random holders:");
        audit::print_verdict(&random);
        println!("\nservice {:.3}, of random holders {:.3}", verdict.service, random.service);
    }
    match verdict.violations.len() {
        0 => Ok(()),
        n => Err(format!("{n} breaks of rules")),
    }
}

/// Plays a day and judges it. `random_holder`: tokens name one holder, drawn by chance.
pub fn run_script(
    script: Script,
    records: Option<&Path>,
    random_holder: bool,
    catalogue: CatalogueUse,
) -> Result<audit::Verdict, String> {
    may::config().set_workers(2).set_stack_size(0x8000);
    let folder = TempFolder::new()?;
    let own = folder.0.join("records.jsonl");
    let records = records.unwrap_or(&own).to_owned();
    let seen = Arc::new(Recorder::create(&records)?);
    seen.record(Observation::Settings(audit_settings()));
    let mut day = Day::begin(script, folder, seen, random_holder, catalogue)?;
    let played = day.run();
    day.end();
    played?;
    day.seen.flush()?;
    let text = std::fs::read_to_string(&records).map_err(|e| format!("{}: {e}", records.display()))?;
    audit::judge(crate::record::parse(&text)?)
}

impl Day {
    fn begin(
        script: Script,
        folder: TempFolder,
        seen: Arc<Recorder>,
        random: bool,
        catalogue: CatalogueUse,
    ) -> Result<Self, String> {
        let mut rng = StdRng::seed_from_u64(script.seed);
        let kind = box_settings(&script);
        let issuer = SigningKey::from_bytes(&std::array::from_fn(|_| rng.random()));
        folder.write("k1.pub", &encode_base64url(issuer.verifying_key().as_bytes()))?;
        let mut front_keys = BTreeMap::new();
        let (listing, list) =
            ListServer::start(seen.clone(), LIST_DELAY).map_err(|e| format!("the list: {e}"))?;
        for front in 0..script.fronts {
            let key = SigningKey::from_bytes(&std::array::from_fn(|_| rng.random()));
            folder.write(&format!("f{front}.secret"), &encode_base64url(key.as_bytes()))?;
            front_keys.insert(format!("f{front}").into_bytes(), (front, key.verifying_key()));
        }
        let titles: Vec<Title> = (0..TITLES)
            .map(|n| {
                let copies = if n + THIN >= TITLES { 3 } else { (script.boxes / 2).max(3) };
                let mut all: Vec<u32> = (0..script.boxes).collect();
                all.shuffle(&mut rng);
                all.truncate(if random { 1 } else { copies as usize });
                Title { name: format!("notice-{n}"), holders: all }
            })
            .collect();
        // Drawn apart: titles that vary leave all else of the day as it is.
        let mut own = StdRng::seed_from_u64(!script.seed);
        let (least, most) = script.title_rate_factors;
        let factor = |t: &Title| (t.name.clone(), own.random_range(least..=most));
        let factors: BTreeMap<String, f64> = titles.iter().map(factor).collect();
        let known = catalogue.publish(&script, &kind, &titles, &factors)?;
        for front in 0..script.fronts {
            let text = front_document(&script, &kind, &audit_settings(), list, front);
            let more = known.map_or(String::new(), |source| catalogue.config_node(source, front));
            folder.write(&format!("f{front}.kdl"), &(text + &more))?;
        }
        let fleet = Arc::new(Fleet::new(script.boxes, script.racks, kind, seen.clone()));
        let scales = BTreeMap::new();
        let mut common = BoxContext::new(fleet.clone(), front_keys, scales, BYTES_SCALE, SEGMENT_MS);
        common.title_rate_factors = factors;
        let common = Arc::new(common);
        let shares = [0.35, 0.65];
        let viewers = Arc::new(ViewerPopulation::new(
            seen.clone(),
            audit_settings().groups.into_iter().zip(shares).collect(),
            titles,
            issuer,
            b"k1".to_vec(),
            script.session_ms,
            SEGMENT_MS,
        ));
        let mut day = Day {
            script,
            folder,
            seen,
            common,
            fleet,
            listing,
            boxes: BTreeMap::new(),
            viewers,
            fronts: BTreeMap::new(),
            rng,
            later: Vec::new(),
        };
        for server in 0..day.script.boxes {
            day.start_box(server, false)?;
        }
        for front in 0..day.script.fronts {
            day.start_front(front, 0)?;
        }
        Ok(day)
    }

    fn start_box(&mut self, server: u32, cold: bool) -> Result<(), String> {
        let p = BoxProcess::start(&self.common, server, cold).map_err(|e| format!("box {server}: {e}"))?;
        let line = BoxEntry {
            id: server,
            name: format!("box-{server}"),
            state: BoxState::Ready,
            rack: server % self.script.racks,
            building: 0,
            kind: 0,
            weight: 1.0,
            started_at_ms: cold.then(|| self.seen.now_ms()),
            control_addr: p.control_addr,
            media_url: format!("http://{}", p.media_addr),
        };
        self.boxes.insert(server, p);
        self.listing.update(vec![line]);
        Ok(())
    }

    fn kill_box(&mut self, server: u32, why: &str) {
        if let Some(p) = self.boxes.remove(&server) {
            p.kill(why);
        }
    }

    fn start_front(&mut self, front: u32, started: u32) -> Result<(), String> {
        let at = self.folder.0.join(format!("f{front}-{started}.address"));
        let binary = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
        let child = Command::new(binary)
            .arg("front")
            .arg(self.folder.0.join(format!("f{front}.kdl")))
            .arg("--address-file")
            .arg(&at)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|e| format!("front {front}: {e}"))?;
        self.fronts.insert(front, FrontProcess { child, started });
        let until = Instant::now() + FRONT_UP;
        let address = loop {
            if let Ok(text) = std::fs::read_to_string(&at) {
                break text.parse().map_err(|_| format!("front {front}: address {text:?}"))?;
            }
            if Instant::now() > until {
                return Err(format!("front {front} is not up after {FRONT_UP:?}"));
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        self.seen.record(Observation::FrontUp { front });
        // ViewerPopulation are spread unevenly over the fronts.
        let share = 1.0 + f64::from(front % 3) * 0.4;
        self.with_fronts(|f| f.running.push((front, address, share)));
        Ok(())
    }

    fn with_fronts(&self, change: impl FnOnce(&mut FrontList)) {
        change(&mut self.viewers.fronts.lock().unwrap_or_else(|e| e.into_inner()));
    }

    fn kill_front(&mut self, front: u32) -> Result<(), String> {
        let Some(mut p) = self.fronts.remove(&front) else { return Ok(()) };
        self.with_fronts(|f| f.running.retain(|(no, ..)| *no != front));
        self.seen.record(Observation::FrontDown { front });
        let _ = p.child.kill();
        let _ = p.child.wait();
        self.start_front(front, p.started + 1)
    }

    fn run(&mut self) -> Result<(), String> {
        let (viewers, rate, seed) = (self.viewers.clone(), self.script.viewers_per_second, self.script.seed);
        crate::net::spawn(move || viewers.run_arrivals(rate, seed));
        let (seen, beats) = (self.seen.clone(), self.viewers.clone());
        crate::net::spawn(move || {
            while !beats.stopped.load(Ordering::SeqCst) {
                let due = seen.now_ms() + BEAT;
                crate::net::sleep(BEAT);
                let ms = seen.now_ms() - due;
                if ms > BEAT {
                    seen.record(Observation::RecorderLate { delay_ms: ms });
                }
            }
        });
        let fleet = self.fleet.clone();
        let closed = self.viewers.clone();
        crate::net::spawn(move || {
            while !closed.stopped.load(Ordering::SeqCst) {
                fleet.sample_loads();
                crate::net::sleep(50.0);
            }
        });
        let began = self.seen.now_ms();
        let mut troubles = self.script.faults.clone().into_iter().peekable();
        loop {
            let now = self.seen.now_ms();
            while let Some((_, trouble)) = troubles.next_if(|(at, _)| began + at <= now) {
                self.seen.record(Observation::FaultInjected { description: format!("{trouble:?}") });
                self.trouble(trouble, now)?;
            }
            self.later.sort_by(|a, b| a.0.total_cmp(&b.0));
            while self.later.first().is_some_and(|(at, _)| *at <= now) {
                let (_, what) = self.later.remove(0);
                self.do_later(what, now)?;
            }
            if now >= began + self.script.duration_ms {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// No more viewers; those that are here play to their end, then the fronts stop.
    fn end(&mut self) {
        self.viewers.stopped.store(true, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_secs_f64(self.script.session_ms.1 / 1_000.0 + 8.0);
        while self.viewers.active_viewers.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        for (front, mut p) in std::mem::take(&mut self.fronts) {
            signal(p.child.id(), libc::SIGCONT);
            signal(p.child.id(), libc::SIGTERM);
            let until = Instant::now() + FRONT_UP;
            loop {
                match p.child.try_wait() {
                    Ok(Some(status)) if status.success() => break,
                    Ok(None) if Instant::now() < until => std::thread::sleep(Duration::from_millis(5)),
                    other => {
                        eprintln!("front {front} did not stop cleanly: {other:?}");
                        let _ = p.child.kill();
                        let _ = p.child.wait();
                        break;
                    }
                }
            }
        }
        for p in std::mem::take(&mut self.boxes).into_values() {
            p.kill("end of the day");
        }
    }

    fn pick(&mut self, which: &BoxSelection) -> Vec<u32> {
        let all: Vec<u32> = (0..self.script.boxes).collect();
        match which {
            BoxSelection::Box(n) => all.into_iter().filter(|b| b == n).collect(),
            BoxSelection::Rack(n) => all.into_iter().filter(|b| b % self.script.racks == *n).collect(),
            BoxSelection::All => all,
            BoxSelection::Some(n) => {
                let mut all = all;
                all.shuffle(&mut self.rng);
                all.truncate(*n as usize);
                all
            }
        }
    }

    fn trouble(&mut self, trouble: Fault, now: f64) -> Result<(), String> {
        match trouble {
            Fault::Kill(which) => {
                for server in self.pick(&which) {
                    self.kill_box(server, "killed");
                    self.listing.set_state(server, BoxState::Gone);
                }
            }
            Fault::Restart(which) => {
                // Those that are away come back; where none is, the chosen ones are restarted.
                let away = (0..self.script.boxes).filter(|b| !self.boxes.contains_key(b)).collect::<Vec<_>>();
                let chosen = self.pick(&which);
                let count = chosen.len();
                let again: Vec<u32> = match which {
                    BoxSelection::Some(_) if !away.is_empty() => away.into_iter().take(count).collect(),
                    _ => chosen,
                };
                for server in again {
                    self.kill_box(server, "restarted");
                    self.start_box(server, true)?;
                }
            }
            Fault::Hang { which, lasts } => self.each(&which, |t| t.hang_until = now + lasts),
            Fault::Errors { which, share, lasts } => {
                self.each(&which, |t| t.setup_errors = (share, now + lasts))
            }
            Fault::LoseAnswers { which, share, lasts } => {
                self.each(&which, |t| t.lost_answers = (share, now + lasts))
            }
            Fault::Links { which, share, lasts } => {
                self.each(&which, |t| t.link_limit = (share, now + lasts))
            }
            Fault::ReportsLate { late, lasts } => self.fleet.lock().report_delay = (late, now + lasts),
            Fault::ListLate { late, lasts } => self.listing.set_delay(late, now + lasts),
            Fault::Crowd { times, titles, lasts } => {
                let crowd = ViewerSurge {
                    ends_at_ms: now + lasts,
                    rate_factor: times.max(1.0),
                    title_count: titles as usize,
                };
                *self.viewers.surge.lock().unwrap_or_else(|e| e.into_inner()) = Some(crowd);
            }
            Fault::Roll { which, by, every } => {
                for (n, wave) in self.pick(&which).chunks(by as usize).enumerate() {
                    self.later.push((now + every * n as f64, Later::Drain(wave.to_vec())));
                }
            }
            Fault::FrontsRestart { within } => {
                let n = self.script.fronts;
                for front in 0..n {
                    let at = now + within * f64::from(front) / f64::from(n);
                    self.later.push((at, Later::KillFront(front)));
                }
            }
            Fault::StopFront { front, lasts } => {
                if let Some(p) = self.fronts.get(&front) {
                    signal(p.child.id(), libc::SIGSTOP);
                    self.later.push((now + lasts, Later::Continue(front)));
                }
            }
        }
        Ok(())
    }

    fn each(&mut self, which: &BoxSelection, change: impl Fn(&mut crate::fleet::InjectedFaults)) {
        let chosen = self.pick(which);
        let mut inside = self.fleet.lock();
        chosen.into_iter().for_each(|b| change(&mut inside.boxes[b as usize].faults));
    }

    fn do_later(&mut self, what: Later, now: f64) -> Result<(), String> {
        match what {
            Later::Drain(wave) => {
                for server in wave {
                    self.listing.set_state(server, BoxState::Draining);
                    self.later.push((now + DRAIN_TO_DEATH, Later::Kill(server)));
                }
            }
            Later::Kill(server) => {
                self.kill_box(server, "drained");
                self.later.push((now + 50.0, Later::Gone(server)));
            }
            Later::Gone(server) => {
                self.listing.set_state(server, BoxState::Gone);
                self.later.push((now + 200.0, Later::StartCold(server)));
            }
            Later::StartCold(server) => self.start_box(server, true)?,
            Later::KillFront(front) => self.kill_front(front)?,
            Later::Continue(front) => {
                if let Some(p) = self.fronts.get(&front) {
                    signal(p.child.id(), libc::SIGCONT);
                }
            }
        }
        Ok(())
    }
}

/// Sends a signal to a front that this rehearsal started and has not waited for.
fn signal(pid: u32, signal: i32) {
    // Sound: a call without memory of ours; the process is our child and still unreaped, so the id is its own.
    unsafe { libc::kill(pid as i32, signal) };
}
