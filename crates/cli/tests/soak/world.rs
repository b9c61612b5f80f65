//! Plays one trial: starts, signals and kills the node processes, and runs the stand-ins.
use super::dns;
use super::node::NODE_CONFIGURATION;
use super::stand_ins::{run_client, run_name_service, run_server};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use walnutline::ids::Ms;
use walnutline_rehearsal::soak::audit::Record;
use walnutline_rehearsal::soak::trial::{Fault, ServerMode, Trial};

/// Interval at which threads look for what has changed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(4);
const SERVER_PORT: u16 = 5061;
/// Time from SIGTERM to SIGKILL beyond the longest deadline.
const KILL_DELAY: Ms = 700.0;
/// A request that came within this time of SIGTERM is excused where the kill finds it unanswered.
const EXCUSED_PERIOD: Ms = 700.0;
/// Time from the end of a process to the start of the next one.
const RESTART_DELAY: Ms = 300.0;
/// Time after a start within which no SIGHUP comes.
const FIRST_RELOAD_AFTER: Ms = 1_000.0;
/// Time after which a change of the list counts as told: from when it happened, and after a silence from its end.
const TOLD_AFTER: Ms = 1_500.0;
const TOLD_AFTER_SILENCE: Ms = 6_000.0;
/// Time within which a node has to listen.
const START_LIMIT: Ms = 10_000.0;

/// The program under test: this one, or another build that `SOAK_NODE` names.
fn program() -> String {
    std::env::var("SOAK_NODE").unwrap_or_else(|_| env!("CARGO_BIN_EXE_walnutline").to_owned())
}

/// A node's processes, one after another.
#[derive(Default)]
struct NodeState {
    started_at: Ms,
    /// Whether the present process listens.
    up: bool,
    stopped_at: Option<Ms>,
    killed: bool,
    /// When the present process was told that servers are no longer listed.
    removals_told: HashMap<usize, Ms>,
}

/// The state that the threads of a trial share.
pub struct World {
    pub trial: Trial,
    began: Instant,
    record: Mutex<Record>,
    modes: Mutex<Vec<ServerMode>>,
    nodes: Mutex<Vec<NodeState>>,
    crowds: Vec<AtomicBool>,
    /// When the name service last fell silent, and when it was back.
    silence: Mutex<(Ms, Ms)>,
    /// Servers that the list no longer names, and since when.
    removed: Mutex<BTreeMap<usize, Ms>>,
    over: AtomicBool,
    directory: tempfile::TempDir,
}

impl World {
    pub fn new(trial: Trial) -> World {
        World {
            began: Instant::now(),
            record: Mutex::default(),
            modes: Mutex::new(vec![ServerMode::Answers; trial.servers]),
            nodes: Mutex::new((0..trial.nodes).map(|_| NodeState::default()).collect()),
            crowds: (0..trial.nodes).map(|_| AtomicBool::new(false)).collect(),
            silence: Mutex::new((Ms::INFINITY, Ms::NEG_INFINITY)),
            removed: Mutex::default(),
            over: AtomicBool::new(false),
            directory: tempfile::tempdir().unwrap(),
            trial,
        }
    }

    pub fn now(&self) -> Ms {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap()
    }

    pub fn mode(&self, server: usize) -> ServerMode {
        self.modes.lock().unwrap()[server]
    }

    /// Whether a server's process runs.
    pub fn is_up(&self, server: usize) -> bool {
        !self.is_over() && self.mode(server) != ServerMode::Dead
    }

    pub fn is_crowded(&self, node: usize) -> bool {
        self.crowds[node].load(Ordering::SeqCst)
    }

    /// When SIGTERM was sent to the present process of a node, if it was.
    pub fn stopping_since(&self, node: usize) -> Option<Ms> {
        self.nodes.lock().unwrap()[node].stopped_at
    }

    /// Until when requests were sent that the kill of a node excuses, if it was killed.
    pub fn kill_excuses_until(&self, node: usize) -> Option<Ms> {
        let nodes = self.nodes.lock().unwrap();
        nodes[node].stopped_at.filter(|_| nodes[node].killed).map(|at| at + EXCUSED_PERIOD)
    }

    /// A loopback address of this trial. Trials that run at the same time differ in the second byte.
    fn address(&self, third: usize, fourth: usize) -> Ipv4Addr {
        let net = 16 + (u64::from(std::process::id()) * 7 + self.trial.seed) % 200;
        Ipv4Addr::new(127, net as u8, third as u8, 1 + fourth as u8)
    }

    pub fn node_address(&self, node: usize) -> SocketAddr {
        (self.address(0, node), 5060).into()
    }

    /// Address at which a node reaches a server: one of its own, as on the platform.
    pub fn server_address(&self, server: usize, node: usize) -> SocketAddr {
        (self.address(1 + node, server), SERVER_PORT).into()
    }

    pub fn name_service_address(&self, node: usize) -> SocketAddr {
        (self.address(0, 100 + node), 1053).into()
    }

    /// When the present process of a node counts as told that a server is no longer listed.
    pub fn removal_told_at(&self, node: usize, server: usize) -> Option<Ms> {
        let removed_at = self.removed.lock().unwrap().get(&server).copied()?;
        let (silent_from, silent_until) = *self.silence.lock().unwrap();
        let nodes = self.nodes.lock().unwrap();
        let begin = removed_at.max(nodes[node].started_at);
        let silent = silent_until > begin && silent_from < begin + TOLD_AFTER;
        let latest = if silent { silent_until + TOLD_AFTER_SILENCE } else { begin + TOLD_AFTER };
        let answered_at = nodes[node].removals_told.get(&server).copied();
        Some(answered_at.unwrap_or(Ms::INFINITY).min(latest))
    }

    /// The answer to a node's query for the list, unless the name service is silent. The node counts as told.
    pub fn list_answer(&self, node: usize, query: &[u8]) -> Option<Vec<u8>> {
        let (now, removed) = (self.now(), self.removed.lock().unwrap().clone());
        if self.silence.lock().unwrap().1 > now {
            return None;
        }
        let mut nodes = self.nodes.lock().unwrap();
        for server in removed.keys() {
            nodes[node].removals_told.entry(*server).or_insert(now);
        }
        let listed = (0..self.trial.servers).filter(|server| !removed.contains_key(server));
        let targets: Vec<(String, [u8; 4])> = listed
            .map(|server| (format!("s-{server:08x}.depot-a.hosts"), self.address(1 + node, server).octets()))
            .collect();
        let servers: Vec<(&str, [u8; 4], u16)> =
            targets.iter().map(|(target, ip)| (target.as_str(), *ip, SERVER_PORT)).collect();
        Some(dns::list(query, 1 + removed.len() as u32, &servers, "started=0"))
    }

    /// Plays the trial and returns what was seen.
    pub fn play(self) -> Record {
        std::thread::scope(|scope| {
            let world = &self;
            for node in 0..world.trial.nodes {
                scope.spawn(move || run_name_service(world, node));
                (0..world.trial.servers)
                    .for_each(|server| drop(scope.spawn(move || run_server(scope, world, server, node))));
                for client in 0..world.trial.clients_per_node {
                    let seed = world.trial.seed << 16 | (node << 8 | client) as u64;
                    scope.spawn(move || run_client(world, node, seed));
                }
            }
            world.drive();
        });
        let mut record = self.record.into_inner().unwrap();
        for node in 0..self.trial.nodes {
            let log = std::fs::read_to_string(self.directory.path().join(format!("n{node}.log"))).unwrap();
            record.node_log.extend(log.lines().map(|line| format!("n{node} {line}")));
        }
        record
    }

    /// Injects the faults at their times, and starts and kills the processes.
    fn drive(&self) {
        let mut processes: Vec<NodeProcess> =
            (0..self.trial.nodes).map(|node| NodeProcess::new(self, node)).collect();
        let mut faults = self.trial.faults.iter().peekable();
        while self.now() < self.trial.duration {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= self.now()) {
                self.inject(*fault, &mut processes);
            }
            processes.iter_mut().for_each(NodeProcess::check);
            std::thread::sleep(POLL_INTERVAL);
        }
        self.record().ended_at = self.now();
        self.over.store(true, Ordering::SeqCst);
    }

    fn inject(&self, fault: Fault, processes: &mut [NodeProcess]) {
        self.note(format!("{fault:?}"));
        match fault {
            Fault::Server(server, mode) => self.modes.lock().unwrap()[server] = mode,
            Fault::Remove(server) => drop(self.removed.lock().unwrap().insert(server, self.now())),
            Fault::NameServiceSilent(true) => *self.silence.lock().unwrap() = (self.now(), Ms::INFINITY),
            Fault::NameServiceSilent(false) => self.silence.lock().unwrap().1 = self.now(),
            Fault::Crowd(node, crowded) => self.crowds[node].store(crowded, Ordering::SeqCst),
            Fault::Reload(node) => processes[node].reload(),
            Fault::Stop(node) => processes[node].stop(),
        }
    }

    fn note(&self, text: String) {
        let now = self.now();
        self.record().events.push((now, text));
    }

    fn configuration(&self, node: usize) -> Value {
        let mut document: Value = serde_json::from_str(NODE_CONFIGURATION).unwrap();
        let classes = self.trial.classes.iter().enumerate().map(|(index, class)| {
            json!({ "name": format!("class-{index}"), "aim": class.start_target, "hard_limit": class.deadline,
                "repeat": class.repeat, "window": 5_000.0, "worth": 1.0, "group": "all", "stream": true })
        });
        let instances = (0..self.trial.servers).map(|server| {
            json!({ "instanceId": format!("s-{server:08x}"), "hostPort": self.server_address(server, node).to_string(),
                "zone": "depot-a", "machineType": "box-3c", "cell": 0, "weight": 3, "lifecycle": "Ready" })
        });
        let roster =
            json!({ "generation": 1, "reset": true, "instances": instances.collect::<Vec<Value>>() });
        document["known"] = json!({ "no": 1, "items": [{ "no": 1, "roster": roster }] });
        document["seed"] = format!("{:016x}", self.trial.seed * 31 + node as u64).into();
        document["settings"]["classes"] = classes.collect();
        document["names"] = self.name_service_address(node).to_string().into();
        document["settings"]["family_info"]["link_unit_kb"] = 303_700.0.into();
        document["settings"]["family_info"]["uplink_kb"] = 4_837_900.0.into();
        document["settings"]["family_info"]["kind_streams"] = json!([3_500, 2_400]);
        document
    }
}

/// The present process of a node.
struct NodeProcess<'a> {
    world: &'a World,
    node: usize,
    process: Option<Child>,
    /// When the next process is started, or the present one killed.
    due_at: Ms,
}

impl<'a> NodeProcess<'a> {
    fn new(world: &'a World, node: usize) -> Self {
        std::fs::write(Self::path(world, node, "json"), world.configuration(node).to_string()).unwrap();
        NodeProcess { world, node, process: None, due_at: 0.0 }
    }

    fn path(world: &World, node: usize, extension: &str) -> PathBuf {
        world.directory.path().join(format!("n{node}.{extension}"))
    }

    /// Runs a change on the state of this node that the stand-ins see.
    fn update<T>(&self, change: impl FnOnce(&mut NodeState) -> T) -> T {
        change(&mut self.world.nodes.lock().unwrap()[self.node])
    }

    /// Notices the end of the process, and starts or kills one that is due.
    fn check(&mut self) {
        let now = self.world.now();
        let Some(process) = &mut self.process else {
            if now >= self.due_at {
                self.start();
            }
            return;
        };
        if let Some(status) = process.try_wait().unwrap() {
            return self.ended(status.success());
        }
        if now >= self.due_at {
            self.update(|state| state.killed = true);
            self.signal("-KILL");
            self.due_at = Ms::INFINITY;
        }
        self.check_listening();
    }

    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(Self::path(self.world, self.node, "log"));
        let process = Command::new(program())
            .arg("node")
            .env("NODE_NAME", format!("n{}", self.node))
            .env("NODE_LISTEN", self.world.node_address(self.node).to_string())
            .env("NODE_CONFIG", Self::path(self.world, self.node, "json"))
            .env("RUST_LOG", "info,walnutline::requests=debug")
            .env("NO_COLOR", "1")
            .stderr(log.unwrap())
            .stdout(Stdio::null())
            .spawn();
        self.process = Some(process.unwrap());
        let started_at = self.world.now();
        self.update(|state| *state = NodeState { started_at, ..NodeState::default() });
        self.due_at = Ms::INFINITY;
    }

    fn check_listening(&self) {
        let (up, started_at) = self.update(|state| (state.up, state.started_at));
        if up {
            return;
        }
        if TcpStream::connect(self.world.node_address(self.node)).is_ok() {
            self.update(|state| state.up = true);
        } else if self.world.now() > started_at + START_LIMIT {
            self.world.record().crashes += 1;
        }
    }

    fn ended(&mut self, success: bool) {
        let (killed, stopped) = self.update(|state| {
            state.up = false;
            (state.killed, state.stopped_at.is_some())
        });
        self.world.note(format!("n{} ended killed={killed} success={success}", self.node));
        let mut record = self.world.record();
        record.killed += usize::from(killed);
        record.ended_by_themselves += usize::from(!killed && stopped && success);
        record.crashes += usize::from(!(killed || stopped && success));
        self.process = None;
        self.due_at = self.world.now() + RESTART_DELAY;
    }

    /// Sends SIGTERM. The kill follows the first one.
    fn stop(&mut self) {
        let (now, up) = (self.world.now(), self.update(|state| state.up));
        if !up {
            return;
        }
        self.signal("-TERM");
        if self.update(|state| state.stopped_at.replace(state.stopped_at.unwrap_or(now))).is_none() {
            self.due_at = now + self.world.trial.longest_wait() + KILL_DELAY;
        }
    }

    fn reload(&self) {
        let (up, started_at) = self.update(|state| (state.up, state.started_at));
        if up && self.world.now() > started_at + FIRST_RELOAD_AFTER {
            self.signal("-HUP");
        }
    }

    fn signal(&self, name: &str) {
        let Some(process) = &self.process else { return };
        let _ = Command::new("kill").args([name, &process.id().to_string()]).status();
    }
}

impl Drop for NodeProcess<'_> {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
