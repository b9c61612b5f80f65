//! The JSON document that configures a node. The node reads it at the start and again on SIGHUP.
use crate::ServerRecord;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The parts of the configuration that a node uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// Most file descriptors that the node may have open.
    pub max_sockets: usize,
    /// Address of the DNS server that answers queries for the server list.
    pub name_service: SocketAddr,
    /// Address on which the node receives datagrams from other front nodes.
    pub peer_listen_address: Option<SocketAddr>,
    /// Source addresses of the other front nodes' datagrams.
    pub peer_addresses: Vec<SocketAddr>,
    /// Address that reaches all other front nodes.
    pub peer_broadcast_address: Option<SocketAddr>,
    /// Number of the last change included in `servers`.
    pub server_list_serial: u32,
    /// The servers that remain listed after the last change.
    pub servers: Vec<ServerRecord>,
    /// The settings as lines of the form `path=value`.
    pub settings_text: String,
    /// Names of the request classes, in the order of their numbers.
    pub classes: Vec<String>,
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Names of the machine types, in the order of their numbers.
    pub kinds: Vec<String>,
    /// Names of the values in a load report, in the order of the settings.
    pub report_columns: Vec<String>,
    /// Number of cells of the deployment.
    pub cell_count: u32,
    /// Number of rungs of the ladder.
    pub rung_count: usize,
    /// How long opening a connection may take.
    pub connect_timeout_ms: f64,
    /// How long an idle connection is kept open.
    pub idle_timeout_ms: f64,
    /// How long the node waits for the response to a probe.
    pub probe_timeout_ms: f64,
    /// Longest time that a viewer of any class waits for a session.
    pub max_viewer_wait_ms: f64,
}

/// The JSON document as written; fields that the node does not use are left out.
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
    known: KnownServers,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

/// The server list as a series of changes.
#[derive(Deserialize)]
struct KnownServers {
    /// Number of the last change.
    no: u32,
    items: Vec<Change>,
}

/// One change to the server list.
#[derive(Deserialize)]
struct Change {
    roster: Roster,
}

/// The servers that a change adds, updates or removes.
#[derive(Deserialize)]
struct Roster {
    /// Whether the servers listed before are dropped.
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
    /// Start of the server process in Unix milliseconds; 0 unless the start is recent.
    #[serde(default)]
    started_at_ms: f64,
}

/// Parses a configuration. The error names the field that is missing or invalid.
pub fn parse(text: &str) -> Result<Configuration, String> {
    let document: Document = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let setting = |path: &str| document.settings.pointer(path);
    let names = |path: &str| -> Vec<String> {
        let entries = setting(path).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let name = |v: &Value| v.as_str().or_else(|| v.get("name")?.as_str()).unwrap_or("").to_owned();
        entries.iter().map(name).collect()
    };
    let required_number = |path: &str| {
        setting(path)
            .and_then(Value::as_f64)
            .ok_or_else(|| format!("settings{path}: missing or not a number"))
    };
    let classes = setting("/classes").and_then(Value::as_array).ok_or("settings/classes: missing")?;
    let viewer_waits_ms = classes.iter().filter_map(|class| class.get("hard_limit")?.as_f64());
    Ok(Configuration {
        seed: u64::from_str_radix(&document.seed, 16).map_err(|_| "seed: not a hexadecimal number")?,
        max_sockets: document.limits.sockets,
        name_service: document.names,
        peer_listen_address: document.peer_listen,
        peer_addresses: document.peers,
        peer_broadcast_address: document.peers_all,
        server_list_serial: document.known.no,
        servers: apply_changes(document.known.items)?,
        settings_text: settings_to_lines(&document.settings),
        classes: names("/classes"),
        zones: names("/zones"),
        kinds: names("/kinds"),
        report_columns: names("/reporting/columns"),
        cell_count: required_number("/family_info/places")? as u32,
        rung_count: setting("/family_info/level_kb").and_then(Value::as_array).map_or(0, Vec::len),
        connect_timeout_ms: required_number("/limits/connect_timeout")?,
        idle_timeout_ms: required_number("/limits/keepalive")?,
        probe_timeout_ms: required_number("/limits/probe_timeout")
            .or_else(|_| required_number("/limits/connect_timeout"))?,
        max_viewer_wait_ms: viewer_waits_ms.fold(0.0, f64::max),
    })
}

impl Configuration {
    /// Paths of the fields that differ in another configuration and that a running node cannot change. The address of
    /// the name service and the server list can change at run time; the seed differs with each start and is ignored.
    pub fn changes_requiring_restart(&self, other: &Configuration) -> Vec<String> {
        let outside_settings = [
            ("limits.sockets", self.max_sockets != other.max_sockets),
            ("peer_listen", self.peer_listen_address != other.peer_listen_address),
            ("peers", self.peer_addresses != other.peer_addresses),
            ("peers_all", self.peer_broadcast_address != other.peer_broadcast_address),
        ];
        let values_by_path = |settings_text: &str| -> BTreeMap<String, String> {
            settings_text
                .lines()
                .filter_map(|line| line.split_once('='))
                .map(|(path, value)| (path.into(), value.into()))
                .collect()
        };
        let (ours, theirs) = (values_by_path(&self.settings_text), values_by_path(&other.settings_text));
        let all_paths: BTreeSet<&String> = ours.keys().chain(theirs.keys()).collect();
        let changed_settings = all_paths.into_iter().filter(|path| ours.get(*path) != theirs.get(*path));
        let mut paths: Vec<String> = changed_settings.map(|path| format!("settings.{path}")).collect();
        // The lines replace separators within names, so names that differ only there are compared unmodified.
        let names = |configuration: &Configuration| {
            (
                configuration.classes.clone(),
                configuration.zones.clone(),
                configuration.kinds.clone(),
                configuration.report_columns.clone(),
            )
        };
        if paths.is_empty() && names(self) != names(other) {
            paths.push("settings: names".into());
        }
        paths.extend(outside_settings.iter().filter(|(_, differs)| *differs).map(|(path, _)| (*path).into()));
        paths
    }
}

/// Applies the changes in order and returns the servers that remain listed.
fn apply_changes(changes: Vec<Change>) -> Result<Vec<ServerRecord>, String> {
    let mut servers: BTreeMap<String, ServerRecord> = BTreeMap::new();
    for change in changes {
        if change.roster.reset {
            servers.clear();
        }
        for instance in change.roster.instances {
            let draining = match instance.lifecycle.as_str() {
                "Ready" => false,
                "Terminating" => true,
                "Gone" => {
                    servers.remove(&instance.instance_id);
                    continue;
                }
                other => return Err(format!("known: {}: unknown lifecycle {other:?}", instance.instance_id)),
            };
            let record = ServerRecord {
                name: instance.instance_id.clone(),
                address: instance.host_port,
                zone: instance.zone,
                kind: instance.machine_type,
                cell: instance.cell,
                draining,
                weight: instance.weight,
                started_unix_ms: (instance.started_at_ms != 0.0).then_some(instance.started_at_ms),
            };
            servers.insert(instance.instance_id, record);
        }
    }
    Ok(servers.into_values().collect())
}

/// Converts the settings to lines of the form `path=value`. A list of plain values is joined by commas; a list of
/// objects has the index of each object in the path, and a further line with their count.
fn settings_to_lines(settings: &Value) -> String {
    let mut lines = String::new();
    append_lines("", settings, &mut lines);
    lines
}

fn append_lines(path: &str, value: &Value, lines: &mut String) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, v)| append_lines(&child_path(name), v, lines))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            lines.push_str(&format!("{}={}\n", child_path("count"), items.len()));
            items.iter().enumerate().for_each(|(i, v)| append_lines(&child_path(&i.to_string()), v, lines));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_value).collect();
            lines.push_str(&format!("{path}={}\n", items.join(",")));
        }
        _ => lines.push_str(&format!("{path}={}\n", plain_value(value))),
    }
}

/// Formats a plain value. Characters that would separate list items or lines become underscores.
fn plain_value(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
