//! Runs a script: simulated boxes and viewers, real fronts as processes, the faults at their times, and the audit.
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

/// Arguments of the `rehearse` command.
#[derive(clap::Args)]
pub struct RehearseArgs {
    /// The script to run.
    script: PathBuf,
    /// File for the records; without it they are deleted with the other files of the rehearsal.
    #[arg(long)]
    records: Option<PathBuf>,
    /// Run the script a second time as a baseline: viewers' tokens name one holder drawn at random, so that the fronts
    /// have no choice.
    #[arg(long)]
    baseline: bool,
    /// Seed in place of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// How the fronts use a catalogue of the titles.
    #[arg(long, value_enum, default_value_t = CatalogueUse::None)]
    catalogue: CatalogueUse,
    /// Run the script with each use of a catalogue, on this many seeds, and compare.
    #[arg(long, value_name = "SEEDS")]
    compare: Option<u64>,
}

/// Number of titles.
const TITLES: u32 = 24;
/// The last titles, which are held by few boxes.
const THINLY_HELD_TITLES: u32 = 4;
/// Bytes sent for each byte of the ladder's rates: loopback carries a scaled-down load.
const BYTES_SCALE: f64 = 0.02;
/// Delay of the server list's changes without a fault.
const LIST_DELAY_MS: f64 = 400.0;
/// Time from draining a box to the end of its process.
const DRAIN_TO_STOP_MS: f64 = 1_500.0;
/// Interval at which the stand-ins check whether they run late themselves.
const DELAY_CHECK_INTERVAL_MS: f64 = 10.0;
/// A front that takes longer to start ends the rehearsal; one that takes longer to stop is killed.
const FRONT_TIMEOUT: Duration = Duration::from_secs(10);

struct FrontProcess {
    child: Child,
    /// How often this front has been restarted.
    restarts: u32,
}

struct Rehearsal {
    script: Script,
    folder: TempFolder,
    recorder: Arc<Recorder>,
    context: Arc<BoxContext>,
    fleet: Arc<Fleet>,
    list_server: Arc<ListServer>,
    boxes: BTreeMap<u32, BoxProcess>,
    viewers: Arc<ViewerPopulation>,
    fronts: BTreeMap<u32, FrontProcess>,
    rng: StdRng,
    /// Actions that follow from faults, with their times.
    scheduled: Vec<(f64, ScheduledAction)>,
}

enum ScheduledAction {
    StopBox(u32),
    /// The list shows the box as gone.
    ListAsGone(u32),
    StartCold(u32),
    Drain(Vec<u32>),
    RestartFront(u32),
    ContinueFront(u32),
}

/// Runs the `rehearse` command; an error if a rule is violated.
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
        let baseline = run_script(script, None, true, args.catalogue)?;
        println!("\nbaseline of random holders:");
        audit::print_verdict(&baseline);
        println!("\nservice {:.3}, of random holders {:.3}", verdict.service, baseline.service);
    }
    match verdict.violations.len() {
        0 => Ok(()),
        n => Err(format!("{n} rule violations")),
    }
}

/// Runs a script and audits it. With `random_holder`, tokens name one holder, drawn at random.
pub fn run_script(
    script: Script,
    records: Option<&Path>,
    random_holder: bool,
    catalogue: CatalogueUse,
) -> Result<audit::Verdict, String> {
    may::config().set_workers(2).set_stack_size(0x8000);
    let folder = TempFolder::new()?;
    let default_records = folder.0.join("records.jsonl");
    let records = records.unwrap_or(&default_records).to_owned();
    let recorder = Arc::new(Recorder::create(&records)?);
    recorder.record(Observation::Settings(audit_settings()));
    let mut rehearsal = Rehearsal::start(script, folder, recorder, random_holder, catalogue)?;
    let result = rehearsal.run();
    rehearsal.stop();
    result?;
    rehearsal.recorder.flush()?;
    let text = std::fs::read_to_string(&records).map_err(|e| format!("{}: {e}", records.display()))?;
    audit::judge(crate::record::parse(&text)?)
}

impl Rehearsal {
    /// Starts everything but the arrival of viewers.
    fn start(
        script: Script,
        folder: TempFolder,
        recorder: Arc<Recorder>,
        random_holder: bool,
        catalogue: CatalogueUse,
    ) -> Result<Self, String> {
        let mut rng = StdRng::seed_from_u64(script.seed);
        let box_settings = box_settings(&script);
        let issuer = SigningKey::from_bytes(&std::array::from_fn(|_| rng.random()));
        folder.write("k1.pub", &encode_base64url(issuer.verifying_key().as_bytes()))?;
        let mut front_keys = BTreeMap::new();
        let (list_server, list_address) =
            ListServer::start(recorder.clone(), LIST_DELAY_MS).map_err(|e| format!("list server: {e}"))?;
        for front in 0..script.fronts {
            let key = SigningKey::from_bytes(&std::array::from_fn(|_| rng.random()));
            folder.write(&format!("f{front}.secret"), &encode_base64url(key.as_bytes()))?;
            front_keys.insert(format!("f{front}").into_bytes(), (front, key.verifying_key()));
        }
        let titles: Vec<Title> = (0..TITLES)
            .map(|number| {
                let holder_count =
                    if number + THINLY_HELD_TITLES >= TITLES { 3 } else { (script.boxes / 2).max(3) };
                let mut holders: Vec<u32> = (0..script.boxes).collect();
                holders.shuffle(&mut rng);
                holders.truncate(if random_holder { 1 } else { holder_count as usize });
                Title { name: format!("notice-{number}"), holders }
            })
            .collect();
        // A generator of its own: varying rates leave all other draws of the rehearsal unchanged.
        let mut factor_rng = StdRng::seed_from_u64(!script.seed);
        let (least, greatest) = script.title_rate_factors;
        let factor = |t: &Title| (t.name.clone(), factor_rng.random_range(least..=greatest));
        let factors: BTreeMap<String, f64> = titles.iter().map(factor).collect();
        let catalogue_source = catalogue.publish(&script, &box_settings, &titles, &factors)?;
        for front in 0..script.fronts {
            let text = front_document(&script, &box_settings, &audit_settings(), list_address, front);
            let catalogue_node =
                catalogue_source.map_or(String::new(), |source| catalogue.config_node(source, front));
            folder.write(&format!("f{front}.kdl"), &(text + &catalogue_node))?;
        }
        let fleet = Arc::new(Fleet::new(script.boxes, script.racks, box_settings, recorder.clone()));
        let group_rate_scales = BTreeMap::new();
        let mut context =
            BoxContext::new(fleet.clone(), front_keys, group_rate_scales, BYTES_SCALE, SEGMENT_MS);
        context.title_rate_factors = factors;
        let context = Arc::new(context);
        let group_shares = [0.35, 0.65];
        let viewers = Arc::new(ViewerPopulation::new(
            recorder.clone(),
            audit_settings().groups.into_iter().zip(group_shares).collect(),
            titles,
            issuer,
            b"k1".to_vec(),
            script.session_ms,
            SEGMENT_MS,
        ));
        let mut rehearsal = Rehearsal {
            script,
            folder,
            recorder,
            context,
            fleet,
            list_server,
            boxes: BTreeMap::new(),
            viewers,
            fronts: BTreeMap::new(),
            rng,
            scheduled: Vec::new(),
        };
        for server in 0..rehearsal.script.boxes {
            rehearsal.start_box(server, false)?;
        }
        for front in 0..rehearsal.script.fronts {
            rehearsal.start_front(front, 0)?;
        }
        Ok(rehearsal)
    }

    /// Starts a box and adds it to the list.
    fn start_box(&mut self, server: u32, cold: bool) -> Result<(), String> {
        let process =
            BoxProcess::start(&self.context, server, cold).map_err(|e| format!("box {server}: {e}"))?;
        let entry = BoxEntry {
            id: server,
            name: format!("box-{server}"),
            state: BoxState::Ready,
            rack: server % self.script.racks,
            building: 0,
            kind: 0,
            weight: 1.0,
            started_at_ms: cold.then(|| self.recorder.now_ms()),
            control_addr: process.control_addr,
            media_url: format!("http://{}", process.media_addr),
        };
        self.boxes.insert(server, process);
        self.list_server.update(vec![entry]);
        Ok(())
    }

    fn kill_box(&mut self, server: u32, reason: &str) {
        if let Some(process) = self.boxes.remove(&server) {
            process.kill(reason);
        }
    }

    /// Starts a front and waits until it accepts requests.
    fn start_front(&mut self, front: u32, restarts: u32) -> Result<(), String> {
        let address_file = self.folder.0.join(format!("f{front}-{restarts}.address"));
        let binary = std::env::current_exe().map_err(|e| format!("path of this program: {e}"))?;
        let child = Command::new(binary)
            .arg("front")
            .arg(self.folder.0.join(format!("f{front}.kdl")))
            .arg("--address-file")
            .arg(&address_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|e| format!("front {front}: {e}"))?;
        self.fronts.insert(front, FrontProcess { child, restarts });
        let deadline = Instant::now() + FRONT_TIMEOUT;
        let address = loop {
            if let Ok(text) = std::fs::read_to_string(&address_file) {
                break text.parse().map_err(|_| format!("front {front}: address {text:?}"))?;
            }
            if Instant::now() > deadline {
                return Err(format!("front {front} did not start within {FRONT_TIMEOUT:?}"));
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        self.recorder.record(Observation::FrontUp { front });
        // Fronts get unequal shares of the viewers.
        let share = 1.0 + f64::from(front % 3) * 0.4;
        self.with_fronts(|f| f.running.push((front, address, share)));
        Ok(())
    }

    fn with_fronts(&self, change: impl FnOnce(&mut FrontList)) {
        change(&mut self.viewers.fronts.lock().unwrap_or_else(|e| e.into_inner()));
    }

    /// Kills a front and starts it again.
    fn restart_front(&mut self, front: u32) -> Result<(), String> {
        let Some(mut process) = self.fronts.remove(&front) else { return Ok(()) };
        self.with_fronts(|f| f.running.retain(|(number, ..)| *number != front));
        self.recorder.record(Observation::FrontDown { front });
        let _ = process.child.kill();
        let _ = process.child.wait();
        self.start_front(front, process.restarts + 1)
    }

    /// Lets viewers arrive and injects the faults, for the duration of the script.
    fn run(&mut self) -> Result<(), String> {
        let (viewers, rate, seed) = (self.viewers.clone(), self.script.viewers_per_second, self.script.seed);
        crate::net::spawn(move || viewers.run_arrivals(rate, seed));
        let (recorder, population) = (self.recorder.clone(), self.viewers.clone());
        crate::net::spawn(move || {
            while !population.stopped.load(Ordering::SeqCst) {
                let due = recorder.now_ms() + DELAY_CHECK_INTERVAL_MS;
                crate::net::sleep(DELAY_CHECK_INTERVAL_MS);
                let delay_ms = recorder.now_ms() - due;
                if delay_ms > DELAY_CHECK_INTERVAL_MS {
                    recorder.record(Observation::RecorderLate { delay_ms });
                }
            }
        });
        let fleet = self.fleet.clone();
        let population = self.viewers.clone();
        crate::net::spawn(move || {
            while !population.stopped.load(Ordering::SeqCst) {
                fleet.sample_loads();
                crate::net::sleep(50.0);
            }
        });
        let started_at = self.recorder.now_ms();
        let mut faults = self.script.faults.clone().into_iter().peekable();
        loop {
            let now = self.recorder.now_ms();
            while let Some((_, fault)) = faults.next_if(|(at, _)| started_at + at <= now) {
                self.recorder.record(Observation::FaultInjected { description: format!("{fault:?}") });
                self.inject(fault, now)?;
            }
            self.scheduled.sort_by(|a, b| a.0.total_cmp(&b.0));
            while self.scheduled.first().is_some_and(|(at, _)| *at <= now) {
                let (_, action) = self.scheduled.remove(0);
                self.run_scheduled(action, now)?;
            }
            if now >= started_at + self.script.duration_ms {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops the arrival of viewers, waits until those that have arrived have left, then stops fronts and boxes.
    fn stop(&mut self) {
        self.viewers.stopped.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + Duration::from_secs_f64(self.script.session_ms.1 / 1_000.0 + 8.0);
        while self.viewers.active_viewers.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(20));
        }
        for (front, mut process) in std::mem::take(&mut self.fronts) {
            signal(process.child.id(), libc::SIGCONT);
            signal(process.child.id(), libc::SIGTERM);
            let deadline = Instant::now() + FRONT_TIMEOUT;
            loop {
                match process.child.try_wait() {
                    Ok(Some(status)) if status.success() => break,
                    Ok(None) if Instant::now() < deadline => std::thread::sleep(Duration::from_millis(5)),
                    other => {
                        eprintln!("front {front} did not stop cleanly: {other:?}");
                        let _ = process.child.kill();
                        let _ = process.child.wait();
                        break;
                    }
                }
            }
        }
        for process in std::mem::take(&mut self.boxes).into_values() {
            process.kill("end of the day");
        }
    }

    /// The boxes of a selection.
    fn select_boxes(&mut self, selection: &BoxSelection) -> Vec<u32> {
        let all: Vec<u32> = (0..self.script.boxes).collect();
        match selection {
            BoxSelection::Box(number) => all.into_iter().filter(|b| b == number).collect(),
            BoxSelection::Rack(number) => {
                all.into_iter().filter(|b| b % self.script.racks == *number).collect()
            }
            BoxSelection::All => all,
            BoxSelection::Some(count) => {
                let mut all = all;
                all.shuffle(&mut self.rng);
                all.truncate(*count as usize);
                all
            }
        }
    }

    /// Injects a fault, or starts another event of the script.
    fn inject(&mut self, fault: Fault, now: f64) -> Result<(), String> {
        match fault {
            Fault::Kill(which) => {
                for server in self.select_boxes(&which) {
                    self.kill_box(server, "killed");
                    self.list_server.set_state(server, BoxState::Gone);
                }
            }
            Fault::Restart(which) => {
                // `N boxes` starts boxes that are down; if none is, the selected ones are restarted.
                let down = (0..self.script.boxes).filter(|b| !self.boxes.contains_key(b)).collect::<Vec<_>>();
                let selected = self.select_boxes(&which);
                let count = selected.len();
                let to_start: Vec<u32> = match which {
                    BoxSelection::Some(_) if !down.is_empty() => down.into_iter().take(count).collect(),
                    _ => selected,
                };
                for server in to_start {
                    self.kill_box(server, "restarted");
                    self.start_box(server, true)?;
                }
            }
            Fault::Hang { which, lasts } => self.set_faults(&which, |faults| faults.hang_until = now + lasts),
            Fault::Errors { which, share, lasts } => {
                self.set_faults(&which, |faults| faults.setup_errors = (share, now + lasts))
            }
            Fault::LoseAnswers { which, share, lasts } => {
                self.set_faults(&which, |faults| faults.lost_answers = (share, now + lasts))
            }
            Fault::Links { which, share, lasts } => {
                self.set_faults(&which, |faults| faults.link_limit = (share, now + lasts))
            }
            Fault::ReportsLate { late, lasts } => self.fleet.lock().report_delay = (late, now + lasts),
            Fault::ListLate { late, lasts } => self.list_server.set_delay(late, now + lasts),
            Fault::Crowd { times, titles, lasts } => {
                let surge = ViewerSurge {
                    ends_at_ms: now + lasts,
                    rate_factor: times.max(1.0),
                    title_count: titles as usize,
                };
                *self.viewers.surge.lock().unwrap_or_else(|e| e.into_inner()) = Some(surge);
            }
            Fault::Roll { which, by, every } => {
                for (index, group) in self.select_boxes(&which).chunks(by as usize).enumerate() {
                    self.scheduled.push((now + every * index as f64, ScheduledAction::Drain(group.to_vec())));
                }
            }
            Fault::FrontsRestart { within } => {
                let count = self.script.fronts;
                for front in 0..count {
                    let at_ms = now + within * f64::from(front) / f64::from(count);
                    self.scheduled.push((at_ms, ScheduledAction::RestartFront(front)));
                }
            }
            Fault::StopFront { front, lasts } => {
                if let Some(process) = self.fronts.get(&front) {
                    signal(process.child.id(), libc::SIGSTOP);
                    self.scheduled.push((now + lasts, ScheduledAction::ContinueFront(front)));
                }
            }
        }
        Ok(())
    }

    /// Changes the faults of all boxes of a selection.
    fn set_faults(&mut self, selection: &BoxSelection, change: impl Fn(&mut crate::fleet::InjectedFaults)) {
        let selected = self.select_boxes(selection);
        let mut state = self.fleet.lock();
        selected.into_iter().for_each(|b| change(&mut state.boxes[b as usize].faults));
    }

    /// Carries out an action that a fault has scheduled.
    fn run_scheduled(&mut self, action: ScheduledAction, now: f64) -> Result<(), String> {
        match action {
            ScheduledAction::Drain(group) => {
                for server in group {
                    self.list_server.set_state(server, BoxState::Draining);
                    self.scheduled.push((now + DRAIN_TO_STOP_MS, ScheduledAction::StopBox(server)));
                }
            }
            ScheduledAction::StopBox(server) => {
                self.kill_box(server, "drained");
                self.scheduled.push((now + 50.0, ScheduledAction::ListAsGone(server)));
            }
            ScheduledAction::ListAsGone(server) => {
                self.list_server.set_state(server, BoxState::Gone);
                self.scheduled.push((now + 200.0, ScheduledAction::StartCold(server)));
            }
            ScheduledAction::StartCold(server) => self.start_box(server, true)?,
            ScheduledAction::RestartFront(front) => self.restart_front(front)?,
            ScheduledAction::ContinueFront(front) => {
                if let Some(process) = self.fronts.get(&front) {
                    signal(process.child.id(), libc::SIGCONT);
                }
            }
        }
        Ok(())
    }
}

/// Sends a signal to a front that this rehearsal started and has not waited for.
fn signal(pid: u32, signal: i32) {
    // SAFETY: the call passes no memory, and the id belongs to a child that has not been waited for.
    unsafe { libc::kill(pid as i32, signal) };
}
