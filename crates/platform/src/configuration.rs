//! The document that a node is started with, and given anew on SIGHUP.
use crate::ServerRecord;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a node takes from its configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    pub seed: u64,
    /// File descriptors that the node may hold.
    pub max_sockets: usize,
    pub name_service: SocketAddr,
    /// Where datagrams of other front nodes come in, where they come from, and the address of all of them.
    pub peer_listen_address: Option<SocketAddr>,
    pub peer_addresses: Vec<SocketAddr>,
    pub peer_broadcast_address: Option<SocketAddr>,
    /// Number of the last change in `servers`.
    pub server_list_serial: u32,
    pub servers: Vec<ServerRecord>,
    /// The settings as `path=value` lines, one a plain value.
    pub settings_text: String,
    /// Names in the settings, each by its position.
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Names of the figures in a load report, in the terms' order.
    pub report_columns: Vec<String>,
    pub cell_count: u32,
    pub rung_count: usize,
    /// How long a connection may take to open, and how long one is kept open idle.
    pub connect_timeout_ms: f64,
    pub idle_timeout_ms: f64,
    /// How long the answer to a probe is waited for.
    pub probe_timeout_ms: f64,
    /// The longest that a viewer of any class waits.
    pub max_viewer_wait_ms: f64,
}

#[derive(Deserialize)]
struct Document {
    seed: String,
    limits: Limits,
    names: SocketAddr,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    known: Known,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

#[derive(Deserialize)]
struct Known {
    no: u32,
    items: Vec<Change>,
}

#[derive(Deserialize)]
struct Change {
    roster: Roster,
}

#[derive(Deserialize)]
struct Roster {
    #[serde(default)]
    reset: bool,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: SocketAddr,
    zone: String,
    machine_type: String,
    cell: u32,
    lifecycle: String,
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

/// Reads a configuration, or names the field that is missing or unreadable.
pub fn parse(text: &str) -> Result<Configuration, String> {
    let d: Document = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let at = |path: &str| d.settings.pointer(path);
    let names = |path: &str| -> Vec<String> {
        let all = at(path).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let name = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).unwrap_or("").to_owned();
        all.iter().map(name).collect()
    };
    let need = |path: &str| {
        at(path).and_then(Value::as_f64).ok_or_else(|| format!("settings{path}: missing or no number"))
    };
    let classes = at("/classes").and_then(Value::as_array).ok_or("settings/classes: missing")?;
    let waits = classes.iter().filter_map(|c| c.get("hard_limit")?.as_f64());
    Ok(Configuration {
        seed: u64::from_str_radix(&d.seed, 16).map_err(|_| "seed: not a number in hex digits")?,
        max_sockets: d.limits.sockets,
        name_service: d.names,
        peer_listen_address: d.peer_listen,
        peer_addresses: d.peers,
        peer_broadcast_address: d.peers_all,
        server_list_serial: d.known.no,
        servers: listed(d.known.items)?,
        settings_text: flat(&d.settings),
        classes: names("/classes"),
        zones: names("/zones"),
        kinds: names("/kinds"),
        report_columns: names("/reporting/columns"),
        cell_count: need("/family_info/places")? as u32,
        rung_count: at("/family_info/level_kb").and_then(Value::as_array).map_or(0, Vec::len),
        connect_timeout_ms: need("/limits/connect_timeout")?,
        idle_timeout_ms: need("/limits/keepalive")?,
        probe_timeout_ms: need("/limits/probe_timeout").or_else(|_| need("/limits/connect_timeout"))?,
        max_viewer_wait_ms: waits.fold(0.0, f64::max),
    })
}

impl Configuration {
    /// Paths of what another document tells differently and a running node does not take up: all but the name
    /// service's address, the list, and the seed, which is new with each start.
    pub fn changes_requiring_restart(&self, other: &Configuration) -> Vec<String> {
        let rest = [
            ("limits.sockets", self.max_sockets != other.max_sockets),
            ("peer_listen", self.peer_listen_address != other.peer_listen_address),
            ("peers", self.peer_addresses != other.peer_addresses),
            ("peers_all", self.peer_broadcast_address != other.peer_broadcast_address),
        ];
        let lines = |terms: &str| -> BTreeMap<String, String> {
            terms.lines().filter_map(|l| l.split_once('=')).map(|(k, v)| (k.into(), v.into())).collect()
        };
        let (ours, theirs) = (lines(&self.settings_text), lines(&other.settings_text));
        let both: BTreeSet<&String> = ours.keys().chain(theirs.keys()).collect();
        let settings = both.into_iter().filter(|path| ours.get(*path) != theirs.get(*path));
        let mut paths: Vec<String> = settings.map(|path| format!("settings.{path}")).collect();
        // The lines fold what would part them: names are compared as they are told.
        let names = |c: &Configuration| {
            (c.classes.clone(), c.zones.clone(), c.kinds.clone(), c.report_columns.clone())
        };
        if paths.is_empty() && names(self) != names(other) {
            paths.push("settings: names".into());
        }
        paths.extend(rest.iter().filter(|(_, differs)| *differs).map(|(path, _)| (*path).into()));
        paths
    }
}

/// The list that a row of changes leads to.
fn listed(changes: Vec<Change>) -> Result<Vec<ServerRecord>, String> {
    let mut servers: BTreeMap<String, ServerRecord> = BTreeMap::new();
    for change in changes {
        if change.roster.reset {
            servers.clear();
        }
        for i in change.roster.instances {
            let draining = match i.lifecycle.as_str() {
                "Ready" => false,
                "Terminating" => true,
                "Gone" => {
                    servers.remove(&i.instance_id);
                    continue;
                }
                other => return Err(format!("known: {}: lifecycle {other:?} is not known", i.instance_id)),
            };
            let line = ServerRecord {
                name: i.instance_id.clone(),
                address: i.host_port,
                zone: i.zone,
                kind: i.machine_type,
                cell: i.cell,
                draining,
                weight: i.weight,
                started_unix_ms: (i.started_at_ms != 0.0).then_some(i.started_at_ms),
            };
            servers.insert(i.instance_id, line);
        }
    }
    Ok(servers.into_values().collect())
}

/// The settings as lines: plain lists joined by commas, lists of objects by position with their count.
fn flat(settings: &Value) -> String {
    let mut lines = String::new();
    flatten("", settings, &mut lines);
    lines
}

fn flatten(path: &str, value: &Value, lines: &mut String) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&below(name), v, lines)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            lines.push_str(&format!("{}={}\n", below("count"), items.len()));
            items.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, lines));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            lines.push_str(&format!("{path}={}\n", items.join(",")));
        }
        _ => lines.push_str(&format!("{path}={}\n", plain(value))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
