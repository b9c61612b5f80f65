//! The terms that a deployment states when a front starts. Absent options stay `None` or zero as told.
use crate::api::Holders;
use crate::fleet::ListEntry;
use crate::ids::{CellId, GroupIndex, Ms, RackId};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    Safe,
    Once,
    /// Only at servers of this scope, once a SETUP may have run.
    Keyed(KeyScope),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// What differs by service group.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceGroup {
    pub start_target: Ms,
    pub utility: f64,
    pub repeat: RepeatPolicy,
    /// How long after a SETUP its key is remembered.
    pub key_window: Ms,
    pub lowest_rung: u8,
    pub highest_rung: u8,
    pub rate_scale: f64,
    /// Sessions of one title that a front may hold; 0 for no limit.
    pub max_sessions_per_title: u32,
}

/// The budget for further SETUPs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    pub free_retries: f64,
    pub retries_per_request: f64,
    pub window: Ms,
}

/// How a server that has just started must be spared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartSettings {
    pub duration: Ms,
    pub initial_share: f64,
    pub rate_multiple: f64,
    pub window: Ms,
    /// How long a SETUP may wait for its connection: so much later it may reach the server.
    pub connect_timeout: Ms,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportColumn {
    Streams,
    Link,
    Uplink,
    Other,
}

/// What the list's weight of a server says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightKind {
    /// The size of its link, more or less, or the same for all.
    Capacity,
    /// Its size over what it carried a while ago: the whole size only while it is idle.
    LoadAdjusted,
}

/// How changes of the list of servers come to a front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ListDelivery {
    /// By themselves.
    Pushed,
    /// By themselves once a call for them was answered; calls fail, and what was asked for may break off. A
    /// front that has not asked for so long, if that is stated, counts as told of what was listed that long
    /// before.
    Watched { assumed_known_after: Ms },
    /// Only with the answer to each question. What leaves takes nothing new for so long after it was told.
    Polled { grace: Ms },
}

#[derive(Debug, Clone)]
pub struct PolicySettings {
    pub front_count: u32,
    pub service_groups: Vec<ServiceGroup>,
    /// The ladder: rate of each rung in kB a second, and what it earns.
    pub rung_kb_per_s: Vec<f64>,
    pub rung_utility: Vec<f64>,
    /// What a change of rung costs while a session plays: its utility at a rung of 1 for so long.
    pub rung_change_cost: Ms,
    pub cell_count: u32,
    pub rack_count: u32,
    pub max_streams_by_kind: Vec<f64>,
    pub weight_kind: WeightKind,
    pub link_kb_per_s_per_weight: f64,
    pub uplink_kb_per_s: f64,
    /// How late a delivered share is heard.
    pub measurement_delay: Ms,
    pub list_delivery: ListDelivery,
    /// How long after a drain was told something new may still go there; without end where none is stated.
    pub drain_grace: Ms,
    pub report_columns: Vec<ReportColumn>,
    pub reports_by_probe: bool,
    pub probes_allowed: bool,
    /// What a probe costs, as a share of what a session earns on average.
    pub probe_cost: f64,
    /// Whether fronts may send each other messages, and the caller carries them.
    pub peer_messages_allowed: bool,
    /// The longest time to come back that a busy reply may tell, where one may be told.
    pub max_retry_after: Option<Ms>,
    pub max_setups: u16,
    pub retry_budget: Option<RetryBudget>,
    pub cold_start: Option<ColdStartSettings>,
}

impl PolicySettings {
    pub fn ladder_rate(&self, group: GroupIndex, rung: u8) -> f64 {
        self.rung_kb_per_s[rung as usize] * self.service_groups[group.0 as usize].rate_scale
    }

    pub fn rack_of_cell(&self, cell: CellId) -> RackId {
        RackId(cell.0 % self.rack_count)
    }

    /// Whether a probe's answer tells what is asked of a link.
    pub fn probes_report_link(&self) -> bool {
        self.probes_allowed && self.report_columns.contains(&ReportColumn::Link)
    }

    /// Streams that a server runs at most; of a kind that the settings do not name, as few as any.
    pub fn max_streams(&self, of: &ListEntry) -> f64 {
        let least = || self.max_streams_by_kind.iter().copied().fold(f64::INFINITY, f64::min);
        self.max_streams_by_kind.get(of.kind.0 as usize).copied().unwrap_or_else(least)
    }

    /// Whether a server is among the holders.
    pub fn is_holder(&self, of: &ListEntry, holders: &Holders) -> bool {
        match holders {
            Holders::Cells { first: home, count: span } => {
                (of.cell.0 % self.cell_count + self.cell_count - home.0 % self.cell_count) % self.cell_count
                    < *span
            }
            Holders::Named(ids) => ids.binary_search(&of.id).is_ok(),
        }
    }

    /// Reads `path=value` lines; names the path that is missing or unreadable.
    pub fn parse(text: &str) -> Result<PolicySettings, String> {
        let told = Told(text.lines().filter_map(|l| l.split_once('=')).collect());
        let mut groups = Vec::new();
        let count: usize = told.need("classes.count")?;
        for i in 0..count {
            let scope = match told.text(&format!("classes.{i}.group")) {
                Some("zone") => KeyScope::Zone,
                Some("cell") => KeyScope::Cell,
                _ => KeyScope::All,
            };
            let repeat_path = format!("classes.{i}.repeat");
            groups.push(ServiceGroup {
                start_target: told.above_zero(&format!("classes.{i}.aim"))?,
                utility: told.need(&format!("classes.{i}.worth"))?,
                repeat: match told.text(&repeat_path) {
                    Some("repeatable") => RepeatPolicy::Safe,
                    Some("once") => RepeatPolicy::Once,
                    Some("by_key") => RepeatPolicy::Keyed(scope),
                    Some(other) => return Err(format!("{repeat_path}: unreadable value {other:?}")),
                    None => return Err(format!("{repeat_path}: missing")),
                },
                key_window: told.opt(&format!("classes.{i}.window"))?.unwrap_or(0.0),
                lowest_rung: told.row("family_info.class_floor", i)?.unwrap_or(0),
                highest_rung: told.row("family_info.highest_rung", i)?.unwrap_or(u8::MAX),
                rate_scale: told.row("family_info.class_scale", i)?.unwrap_or(1.0),
                max_sessions_per_title: told.row("family_info.licence_cap", i)?.unwrap_or(0),
            });
        }
        let rung_kb = told.list_above_zero("family_info.level_kb")?;
        let rung_utility: Vec<f64> = told.list("family_info.level_worth")?;
        if groups.is_empty() || rung_kb.is_empty() || rung_kb.len() != rung_utility.len() {
            return Err("family_info.level_kb: a ladder and a service group are needed".into());
        }
        let highest = rung_kb.len() as u8 - 1;
        for g in &mut groups {
            g.highest_rung = g.highest_rung.min(highest);
            g.lowest_rung = g.lowest_rung.min(g.highest_rung);
        }
        let columns = told.text("reporting.columns").unwrap_or("");
        // Without x0, util says the same of the link, but for its end at 1.
        let link = if columns.split(',').any(|c| c == "x0") { "x0" } else { "util" };
        let column = |name: &str| match name {
            "inflight" => ReportColumn::Streams,
            name if name == link => ReportColumn::Link,
            "x1" => ReportColumn::Uplink,
            _ => ReportColumn::Other,
        };
        let budget = match told.some("safety.look_back")? {
            Some(span) => Some(RetryBudget {
                window: span,
                free_retries: told.opt("safety.min_extra")?.unwrap_or(0.0),
                retries_per_request: told.opt("safety.extra_ratio")?.unwrap_or(0.0),
            }),
            None => None,
        };
        let cold = match told.some("safety.cold")? {
            Some(lasts) => Some(ColdStartSettings {
                duration: lasts,
                initial_share: told.need("safety.cold_from")?,
                rate_multiple: told.need("safety.tip_multiple")?,
                window: told.need("safety.tip_after")?,
                connect_timeout: told.some("limits.connect_timeout")?.unwrap_or(0.0),
            }),
            None => None,
        };
        let list = match told.text("registry_mode") {
            None | Some("push") => ListDelivery::Pushed,
            Some("ask") => ListDelivery::Watched {
                assumed_known_after: told.some("safety.ask_every")?.unwrap_or(Ms::INFINITY),
            },
            Some(other) => return Err(format!("registry_mode: unreadable value {other:?}")),
        };
        Ok(PolicySettings {
            front_count: told.opt("balancers")?.unwrap_or(1),
            service_groups: groups,
            rung_kb_per_s: rung_kb,
            rung_utility,
            rung_change_cost: told.some("family_info.switch_cost_s")?.unwrap_or(0.0) * 1_000.0,
            cell_count: told.positive("family_info.places")?,
            rack_count: told.positive("family_info.racks")?,
            max_streams_by_kind: told.list_above_zero("family_info.kind_streams")?,
            weight_kind: match told.text("weights") {
                None | Some("silent" | "nominal" | "rough") => WeightKind::Capacity,
                Some("live") => WeightKind::LoadAdjusted,
                Some(other) => return Err(format!("weights: unreadable value {other:?}")),
            },
            link_kb_per_s_per_weight: told.above_zero("family_info.link_unit_kb")?,
            // Where no size is told, uplinks are no narrower than what hangs on them.
            uplink_kb_per_s: told.some("family_info.uplink_kb")?.unwrap_or(f64::INFINITY),
            measurement_delay: told.some("family_info.see")?.unwrap_or(0.0),
            list_delivery: list,
            drain_grace: told.some("safety.drain_grace")?.unwrap_or(Ms::INFINITY),
            report_columns: columns.split(',').filter(|c| !c.is_empty()).map(column).collect(),
            reports_by_probe: told.text("reporting.via") == Some("pull"),
            probes_allowed: told.text("limits.probes") == Some("true"),
            probe_cost: told.some("tariffs.probe")?.unwrap_or(0.0),
            peer_messages_allowed: told.text("limits.peer_messages") == Some("true"),
            max_retry_after: told
                .some("limits.max_retry_after")?
                .filter(|_| told.text("limits.retry_after") == Some("true")),
            max_setups: told.positive("limits.attempts_cap")?.min(u16::MAX.into()) as u16,
            retry_budget: budget,
            cold_start: cold,
        })
    }
}

struct Told<'a>(BTreeMap<&'a str, &'a str>);

impl Told<'_> {
    fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).copied()
    }

    fn opt<T: std::str::FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        self.text(path).map(|v| read(path, v)).transpose()
    }

    fn need<T: std::str::FromStr>(&self, path: &str) -> Result<T, String> {
        self.opt(path)?.ok_or_else(|| format!("{path}: missing"))
    }

    fn positive(&self, path: &str) -> Result<u32, String> {
        match self.need(path)? {
            0 => Err(format!("{path}: must be above 0")),
            n => Ok(n),
        }
    }

    fn above_zero(&self, path: &str) -> Result<f64, String> {
        let n = self.need(path)?;
        if n > 0.0 && f64::is_finite(n) {
            return Ok(n);
        }
        Err(format!("{path}: {n} is out of range"))
    }

    /// A figure for which zero says the same as its absence.
    fn some(&self, path: &str) -> Result<Option<f64>, String> {
        match self.opt(path)? {
            Some(n) if !f64::is_finite(n) || n < 0.0 => Err(format!("{path}: {n} is out of range")),
            told => Ok(told.filter(|n| *n > 0.0)),
        }
    }

    fn list_above_zero(&self, path: &str) -> Result<Vec<f64>, String> {
        let all: Vec<f64> = self.list(path)?;
        match all.iter().find(|n| !n.is_finite() || **n <= 0.0) {
            Some(n) => Err(format!("{path}: {n} is out of range")),
            None => Ok(all),
        }
    }

    fn list<T: std::str::FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        let text: String = self.need(path)?;
        text.split(',').map(|v| read(path, v)).collect()
    }

    fn row<T: std::str::FromStr>(&self, path: &str, i: usize) -> Result<Option<T>, String> {
        let value = self.text(path).and_then(|t| t.split(',').nth(i));
        value.map(|v| read(path, v)).transpose()
    }
}

fn read<T: std::str::FromStr>(path: &str, value: &str) -> Result<T, String> {
    value.trim().parse().map_err(|_| format!("{path}: unreadable value {value:?}"))
}
