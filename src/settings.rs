//! Settings of a deployment that the decisions depend on, stated when a front starts. Options that are absent
//! stay `None` or zero.
use crate::api::Holders;
use crate::fleet::ListEntry;
use crate::ids::{CellId, GroupIndex, Ms, RackId};
use std::collections::BTreeMap;

/// Whether a SETUP that may have run can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Always.
    Safe,
    /// Never.
    Once,
    /// Within the key's window, to servers in this scope: they recognize the repetition by its key.
    Keyed(KeyScope),
}

/// The servers that share the keys of SETUPs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// Settings of one service group.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceGroup {
    /// Time from the request within which a session should play.
    pub start_target: Ms,
    /// Relative value of this group's sessions.
    pub utility: f64,
    pub repeat: RepeatPolicy,
    /// For how long after a SETUP servers remember its key.
    pub key_window: Ms,
    pub lowest_rung: u8,
    pub highest_rung: u8,
    /// Factor on the ladder's rates.
    pub rate_scale: f64,
    /// Sessions of one title that a front may have at a time; 0 for no limit.
    pub max_sessions_per_title: u32,
}

/// Limit on retries, which are the second and further SETUPs of a session, within a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in a window whatever the number of requests.
    pub free_retries: f64,
    /// Further retries allowed for each request in the window.
    pub retries_per_request: f64,
    pub window: Ms,
}

/// Limits on the load of a server that has just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartSettings {
    /// How long a server is cold after its start.
    pub duration: Ms,
    /// Share of its full capacity that a server has at its start.
    pub initial_share: f64,
    /// SETUPs that a warm server can take in `duration`, as a multiple of its maximum number of streams.
    pub rate_multiple: f64,
    /// Window in which the SETUPs to a cold server are counted.
    pub window: Ms,
    /// How long a SETUP may wait for its connection, and so reach the server later than it was decided.
    pub connect_timeout: Ms,
}

/// Meaning of a column of load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportColumn {
    /// Streams that run or are being set up.
    Streams,
    /// Demand on the server's link as a share of its capacity.
    Link,
    /// Demand on the rack's uplink as a share of its capacity.
    Uplink,
    /// Not used.
    Other,
}

/// Meaning of a server's weight in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightKind {
    /// The approximate capacity of its link, or the same for all servers.
    Capacity,
    /// Its capacity, reduced by its load some time before: it shows the full capacity only while the server is
    /// idle.
    LoadAdjusted,
}

/// How a front learns of changes of the server list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ListDelivery {
    /// Changes are pushed without a call.
    Pushed,
    /// Changes are pushed once a watch call was answered. Calls can fail, and a watch can break off. A front
    /// that has made no call for `assumed_known_after` is assumed to know the list as it was that long
    /// before.
    Watched { assumed_known_after: Ms },
    /// Changes come only with the answer to a call. New sessions may go to a server for `grace` after it was
    /// announced as draining.
    Polled { grace: Ms },
}

/// All settings that the decisions depend on.
#[derive(Debug, Clone)]
pub struct PolicySettings {
    /// Fronts that share the servers.
    pub front_count: u32,
    pub service_groups: Vec<ServiceGroup>,
    /// The ladder: the rate of each rung.
    pub rung_kb_per_s: Vec<f64>,
    /// Utility of each rung.
    pub rung_utility: Vec<f64>,
    /// Cost of a change of rung while a session plays, as the time at a utility of 1 that is worth as much.
    pub rung_change_cost: Ms,
    pub cell_count: u32,
    pub rack_count: u32,
    /// Maximum number of streams of a server, by machine kind.
    pub max_streams_by_kind: Vec<f64>,
    pub weight_kind: WeightKind,
    /// Capacity of a server's link, for each unit of its weight.
    pub link_kb_per_s_per_weight: f64,
    /// Capacity of a rack's uplink; infinite if not stated, as it is then assumed not to limit the servers'
    /// links.
    pub uplink_kb_per_s: f64,
    /// How old delivered shares and load reports are when they arrive.
    pub measurement_delay: Ms,
    pub list_delivery: ListDelivery,
    /// For how long new sessions may still go to a server after it was announced as draining; infinite if not
    /// stated.
    pub drain_grace: Ms,
    /// Meaning of the values of a load report, in their order.
    pub report_columns: Vec<ReportColumn>,
    /// Whether load reports come only as answers to probes.
    pub reports_by_probe: bool,
    pub probes_allowed: bool,
    /// Cost of a probe, as a share of a session's mean utility.
    pub probe_cost: f64,
    /// Whether fronts may send each other messages, and the caller transports them.
    pub peer_messages_allowed: bool,
    /// The longest retry-after time of a busy reply; `None` where busy replies carry none.
    pub max_retry_after: Option<Ms>,
    /// Most SETUPs for one session.
    pub max_setups: u16,
    pub retry_budget: Option<RetryBudget>,
    pub cold_start: Option<ColdStartSettings>,
}

impl PolicySettings {
    /// The ladder's rate of a rung for a service group, in kB a second.
    pub fn ladder_rate(&self, group: GroupIndex, rung: u8) -> f64 {
        self.rung_kb_per_s[rung as usize] * self.service_groups[group.0 as usize].rate_scale
    }

    /// The rack of a cell's servers: cells are assigned to the racks in turn.
    pub fn rack_of_cell(&self, cell: CellId) -> RackId {
        RackId(cell.0 % self.rack_count)
    }

    /// Whether the answer to a probe reports the use of the server's link.
    pub fn probes_report_link(&self) -> bool {
        self.probes_allowed && self.report_columns.contains(&ReportColumn::Link)
    }

    /// Maximum number of streams of a server; for a kind that the settings do not name, that of the smallest.
    pub fn max_streams(&self, server: &ListEntry) -> f64 {
        let smallest = || self.max_streams_by_kind.iter().copied().fold(f64::INFINITY, f64::min);
        self.max_streams_by_kind.get(server.kind.0 as usize).copied().unwrap_or_else(smallest)
    }

    /// Whether a server is among the holders.
    pub fn is_holder(&self, server: &ListEntry, holders: &Holders) -> bool {
        match holders {
            Holders::Cells { first, count } => {
                (server.cell.0 % self.cell_count + self.cell_count - first.0 % self.cell_count)
                    % self.cell_count
                    < *count
            }
            Holders::Named(ids) => ids.binary_search(&server.id).is_ok(),
        }
    }

    /// Parses lines of the form `path=value`. An error names the path that is missing or invalid.
    pub fn parse(text: &str) -> Result<PolicySettings, String> {
        let values = Values(text.lines().filter_map(|l| l.split_once('=')).collect());
        let mut service_groups = Vec::new();
        let count: usize = values.required("classes.count")?;
        for i in 0..count {
            let scope = match values.text(&format!("classes.{i}.group")) {
                Some("zone") => KeyScope::Zone,
                Some("cell") => KeyScope::Cell,
                _ => KeyScope::All,
            };
            let repeat_path = format!("classes.{i}.repeat");
            service_groups.push(ServiceGroup {
                start_target: values.required_above_zero(&format!("classes.{i}.aim"))?,
                utility: values.required(&format!("classes.{i}.worth"))?,
                repeat: match values.text(&repeat_path) {
                    Some("repeatable") => RepeatPolicy::Safe,
                    Some("once") => RepeatPolicy::Once,
                    Some("by_key") => RepeatPolicy::Keyed(scope),
                    Some(other) => return Err(format!("{repeat_path}: unreadable value {other:?}")),
                    None => return Err(format!("{repeat_path}: missing")),
                },
                key_window: values.optional(&format!("classes.{i}.window"))?.unwrap_or(0.0),
                lowest_rung: values.optional_element("family_info.class_floor", i)?.unwrap_or(0),
                highest_rung: values.optional_element("family_info.highest_rung", i)?.unwrap_or(u8::MAX),
                rate_scale: values.optional_element("family_info.class_scale", i)?.unwrap_or(1.0),
                max_sessions_per_title: values.optional_element("family_info.licence_cap", i)?.unwrap_or(0),
            });
        }
        let rung_kb_per_s = values.required_list_above_zero("family_info.level_kb")?;
        let rung_utility: Vec<f64> = values.required_list("family_info.level_worth")?;
        if service_groups.is_empty() || rung_kb_per_s.is_empty() || rung_kb_per_s.len() != rung_utility.len()
        {
            return Err("family_info.level_kb: a ladder and a service group are needed".into());
        }
        let highest = rung_kb_per_s.len() as u8 - 1;
        for group in &mut service_groups {
            group.highest_rung = group.highest_rung.min(highest);
            group.lowest_rung = group.lowest_rung.min(group.highest_rung);
        }
        let columns = values.text("reporting.columns").unwrap_or("");
        // Without x0, `util` is the use of the link, though capped at 1.
        let link_column = if columns.split(',').any(|c| c == "x0") { "x0" } else { "util" };
        let column = |name: &str| match name {
            "inflight" => ReportColumn::Streams,
            name if name == link_column => ReportColumn::Link,
            "x1" => ReportColumn::Uplink,
            _ => ReportColumn::Other,
        };
        let retry_budget = match values.optional_nonzero("safety.look_back")? {
            Some(window) => Some(RetryBudget {
                window,
                free_retries: values.optional("safety.min_extra")?.unwrap_or(0.0),
                retries_per_request: values.optional("safety.extra_ratio")?.unwrap_or(0.0),
            }),
            None => None,
        };
        let cold_start = match values.optional_nonzero("safety.cold")? {
            Some(duration) => Some(ColdStartSettings {
                duration,
                initial_share: values.required("safety.cold_from")?,
                rate_multiple: values.required("safety.tip_multiple")?,
                window: values.required("safety.tip_after")?,
                connect_timeout: values.optional_nonzero("limits.connect_timeout")?.unwrap_or(0.0),
            }),
            None => None,
        };
        let list_delivery = match values.text("registry_mode") {
            None | Some("push") => ListDelivery::Pushed,
            Some("ask") => ListDelivery::Watched {
                assumed_known_after: values.optional_nonzero("safety.ask_every")?.unwrap_or(Ms::INFINITY),
            },
            Some(other) => return Err(format!("registry_mode: unreadable value {other:?}")),
        };
        Ok(PolicySettings {
            front_count: values.optional("balancers")?.unwrap_or(1),
            service_groups,
            rung_kb_per_s,
            rung_utility,
            rung_change_cost: values.optional_nonzero("family_info.switch_cost_s")?.unwrap_or(0.0) * 1_000.0,
            cell_count: values.required_count("family_info.places")?,
            rack_count: values.required_count("family_info.racks")?,
            max_streams_by_kind: values.required_list_above_zero("family_info.kind_streams")?,
            weight_kind: match values.text("weights") {
                None | Some("silent" | "nominal" | "rough") => WeightKind::Capacity,
                Some("live") => WeightKind::LoadAdjusted,
                Some(other) => return Err(format!("weights: unreadable value {other:?}")),
            },
            link_kb_per_s_per_weight: values.required_above_zero("family_info.link_unit_kb")?,
            uplink_kb_per_s: values.optional_nonzero("family_info.uplink_kb")?.unwrap_or(f64::INFINITY),
            measurement_delay: values.optional_nonzero("family_info.see")?.unwrap_or(0.0),
            list_delivery,
            drain_grace: values.optional_nonzero("safety.drain_grace")?.unwrap_or(Ms::INFINITY),
            report_columns: columns.split(',').filter(|c| !c.is_empty()).map(column).collect(),
            reports_by_probe: values.text("reporting.via") == Some("pull"),
            probes_allowed: values.text("limits.probes") == Some("true"),
            probe_cost: values.optional_nonzero("tariffs.probe")?.unwrap_or(0.0),
            peer_messages_allowed: values.text("limits.peer_messages") == Some("true"),
            max_retry_after: values
                .optional_nonzero("limits.max_retry_after")?
                .filter(|_| values.text("limits.retry_after") == Some("true")),
            max_setups: values.required_count("limits.attempts_cap")?.min(u16::MAX.into()) as u16,
            retry_budget,
            cold_start,
        })
    }
}

/// The values of a settings text by path.
struct Values<'a>(BTreeMap<&'a str, &'a str>);

impl Values<'_> {
    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).copied()
    }

    fn optional<T: std::str::FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        self.text(path).map(|v| parse_value(path, v)).transpose()
    }

    fn required<T: std::str::FromStr>(&self, path: &str) -> Result<T, String> {
        self.optional(path)?.ok_or_else(|| format!("{path}: missing"))
    }

    fn required_count(&self, path: &str) -> Result<u32, String> {
        match self.required(path)? {
            0 => Err(format!("{path}: must be above 0")),
            n => Ok(n),
        }
    }

    fn required_above_zero(&self, path: &str) -> Result<f64, String> {
        let value = self.required(path)?;
        if value > 0.0 && f64::is_finite(value) {
            return Ok(value);
        }
        Err(format!("{path}: {value} is out of range"))
    }

    /// A value for which zero means the same as its absence.
    fn optional_nonzero(&self, path: &str) -> Result<Option<f64>, String> {
        match self.optional(path)? {
            Some(n) if !f64::is_finite(n) || n < 0.0 => Err(format!("{path}: {n} is out of range")),
            value => Ok(value.filter(|n| *n > 0.0)),
        }
    }

    fn required_list_above_zero(&self, path: &str) -> Result<Vec<f64>, String> {
        let all: Vec<f64> = self.required_list(path)?;
        match all.iter().find(|n| !n.is_finite() || **n <= 0.0) {
            Some(n) => Err(format!("{path}: {n} is out of range")),
            None => Ok(all),
        }
    }

    fn required_list<T: std::str::FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        let text: String = self.required(path)?;
        text.split(',').map(|v| parse_value(path, v)).collect()
    }

    fn optional_element<T: std::str::FromStr>(&self, path: &str, index: usize) -> Result<Option<T>, String> {
        let value = self.text(path).and_then(|t| t.split(',').nth(index));
        value.map(|v| parse_value(path, v)).transpose()
    }
}

fn parse_value<T: std::str::FromStr>(path: &str, value: &str) -> Result<T, String> {
    value.trim().parse().map_err(|_| format!("{path}: unreadable value {value:?}"))
}
