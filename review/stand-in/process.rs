//! Front nodes as processes, started by the `run` line of the deploy file, and the end of a run.
use crate::record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static DIRECTORY: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that the run started, removes its folder and ends the run.
pub fn finish(code: i32, text: &str) -> ! {
    let mut children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(directory) = DIRECTORY.lock().unwrap_or_else(|e| e.into_inner()).take() {
        let _ = std::fs::remove_dir_all(directory);
    }
    record::line("verdict", text);
    record::forget_processes();
    let _ = writeln!(std::io::stdout(), "{text}");
    std::process::exit(code);
}

/// The folder of this run for configurations and logs.
pub fn directory() -> PathBuf {
    let mut directory = DIRECTORY.lock().unwrap();
    directory
        .get_or_insert_with(|| {
            let path = std::env::temp_dir().join(format!("walnutline-review-{}", std::process::id()));
            std::fs::create_dir_all(&path).expect("a temporary folder can be made");
            path
        })
        .clone()
}

/// A free loopback address for a process that binds it itself.
pub fn free_tcp_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// Everything that the configuration of a node states besides the settings of its site.
pub struct NodeConfiguration {
    pub name: String,
    pub number: usize,
    pub listen: SocketAddr,
    pub name_service: SocketAddr,
    /// Listening address for datagrams, the peers' sender addresses, and the address of all.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
    pub front_count: usize,
    /// The events of the start as JSON, and the number of the last one.
    pub known: (u32, String),
}

impl NodeConfiguration {
    fn to_json(&self) -> String {
        let peers = self.peers.as_ref().map_or(String::new(), |(listen, peers, all)| {
            let peers: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
            format!(r#""peer_listen":"{listen}","peers":[{}],"peers_all":"{all}","#, peers.join(","))
        });
        let settings = crate::site::site().settings(self.front_count, self.number, self.peers.is_some());
        format!(
            r#"{{"name":"{}","listen":"{}","seed":"8c1f30d27a5be96{}","limits":{{"cores":1.0,"memory_mb":{},"sockets":1024}},{peers}"names":"{}","known":{{"no":{},"items":[{}]}},"settings":{settings}}}"#,
            self.name,
            self.listen,
            self.number,
            crate::site::site().memory_mb,
            self.name_service,
            self.known.0,
            self.known.1,
        )
    }
}

/// Starts a node and waits until it passes a test.
pub fn start_node(root: &Path, configuration: &NodeConfiguration) -> Result<(), String> {
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
    let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.split('"').next());
    let run = run.ok_or("deploy/balancer.toml: no run line")?;
    let path = directory().join(format!("{}.json", configuration.name));
    std::fs::write(&path, configuration.to_json()).map_err(|e| e.to_string())?;
    let log = directory().join(format!("{}.log", configuration.name));
    let log = std::fs::File::create(log).map_err(|e| e.to_string())?;
    let child = Command::new("/bin/sh")
        .args(["-c", run])
        .current_dir(root)
        .env("NODE_NAME", &configuration.name)
        .env("NODE_LISTEN", configuration.listen.to_string())
        .env("NODE_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().map_err(|e| e.to_string())?)
        .stderr(log)
        .spawn()
        .map_err(|e| e.to_string())?;
    record::line(&configuration.name, &format!("started: {run}"));
    record::add_process(child.id());
    CHILDREN.lock().unwrap().push(child);
    crate::viewer::wait_until_ready(configuration.listen)?;
    record::line(&configuration.name, "passed its first test");
    Ok(())
}

/// Copies what a node logged to the record, and returns an error if one of the nodes has ended.
pub fn collect_logs(names: &[&str]) -> Result<(), String> {
    for name in names {
        let text = std::fs::read_to_string(directory().join(format!("{name}.log"))).unwrap_or_default();
        for line in text.lines() {
            record::line(&format!("log {name}"), line);
        }
    }
    for child in CHILDREN.lock().unwrap().iter_mut() {
        if let Ok(Some(status)) = child.try_wait() {
            return Err(format!("a node has ended: {status}"));
        }
    }
    Ok(())
}

/// The memory of the first node that is its own, without files, in kB; `None` if it has ended.
pub fn memory_kb() -> Option<u64> {
    let pid = CHILDREN.lock().unwrap().first()?.id();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// Kills the first node, as the platform does with one that is over its limit on memory.
pub fn kill_first() {
    if let Some(child) = CHILDREN.lock().unwrap().first_mut() {
        let _ = child.kill();
    }
}
