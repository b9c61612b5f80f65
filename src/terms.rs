//! The terms that a deployment states when a front starts. Absent options stay `None` or zero as told.
use crate::fleet::Listed;
use crate::ids::{CellNo, GroupNo, Ms, RackNo};
use crate::interface::Holders;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    Safe,
    Once,
    /// Only at servers of this scope, once a SETUP may have run.
    Keyed(Scope),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

/// What differs by service group.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    pub start_target: Ms,
    pub utility: f64,
    pub repeat: Repeat,
    /// How long after a SETUP its key is remembered.
    pub window: Ms,
    pub floor: u8,
    pub top: u8,
    pub scale: f64,
    /// Sessions of one title that a front may hold; 0 for no limit.
    pub seats: u32,
}

/// The budget for further SETUPs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub span: Ms,
}

/// How a server that has just started must be spared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    pub lasts: Ms,
    pub from: f64,
    pub multiple: f64,
    pub span: Ms,
    /// How long a SETUP may wait for its connection: so much later it may reach the server.
    pub reach: Ms,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Column {
    Streams,
    Link,
    Uplink,
    Other,
}

/// What the list's weight of a server says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// The size of its link, more or less, or the same for all.
    Size,
    /// Its size over what it carried a while ago: the whole size only while it is idle.
    Live,
}

/// How changes of the list of servers come to a front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ListWay {
    /// By themselves.
    Pushed,
    /// By themselves once a call for them was answered; calls fail, and what was asked for may break off. A
    /// front that has not asked for so long, if that is stated, counts as told of what was listed that long
    /// before.
    Followed { told_after: Ms },
    /// Only with the answer to each question. What leaves takes nothing new for so long after it was told.
    Asked { grace: Ms },
}

#[derive(Debug, Clone)]
pub struct Terms {
    pub fronts: u32,
    pub groups: Vec<Group>,
    /// The ladder: rate of each rung in kB a second, and what it earns.
    pub rung_kb: Vec<f64>,
    pub rung_utility: Vec<f64>,
    /// What a change of rung costs while a session plays: its utility at a rung of 1 for so long.
    pub change_cost: Ms,
    pub cells: u32,
    pub racks: u32,
    pub kind_streams: Vec<f64>,
    pub weights: Weights,
    pub link_kb_per_weight: f64,
    pub uplink_kb: f64,
    /// How late a delivered share is heard.
    pub share_delay: Ms,
    pub list: ListWay,
    /// How long after a drain was told something new may still go there; without end where none is stated.
    pub drain_grace: Ms,
    pub columns: Vec<Column>,
    pub probe_fed: bool,
    pub may_probe: bool,
    /// What a probe costs, as a share of what a session earns on average.
    pub probe_cost: f64,
    /// Whether fronts may send each other messages, and the caller carries them.
    pub may_tell: bool,
    /// The longest time to come back that a busy reply may tell, where one may be told.
    pub come_back: Option<Ms>,
    pub max_setups: u16,
    pub budget: Option<Budget>,
    pub cold: Option<ColdTerms>,
}

impl Terms {
    pub fn rate(&self, group: GroupNo, rung: u8) -> f64 {
        self.rung_kb[rung as usize] * self.groups[group.0 as usize].scale
    }

    pub fn rack(&self, cell: CellNo) -> RackNo {
        RackNo(cell.0 % self.racks)
    }

    /// Whether a probe's answer tells what is asked of a link.
    pub fn probes_tell(&self) -> bool {
        self.may_probe && self.columns.contains(&Column::Link)
    }

    /// Streams that a server runs at most; of a kind that the settings do not name, as few as any.
    pub fn most_streams(&self, of: &Listed) -> f64 {
        let least = || self.kind_streams.iter().copied().fold(f64::INFINITY, f64::min);
        self.kind_streams.get(of.kind.0 as usize).copied().unwrap_or_else(least)
    }

    /// Whether a server is among the holders.
    pub fn holds(&self, of: &Listed, holders: &Holders) -> bool {
        match holders {
            Holders::Cells { home, span } => {
                (of.cell.0 % self.cells + self.cells - home.0 % self.cells) % self.cells < *span
            }
            Holders::Named(ids) => ids.binary_search(&of.id).is_ok(),
        }
    }

    /// Reads `path=value` lines; names the path that is missing or unreadable.
    pub fn parse(text: &str) -> Result<Terms, String> {
        let told = Told(text.lines().filter_map(|l| l.split_once('=')).collect());
        let mut groups = Vec::new();
        let count: usize = told.need("classes.count")?;
        for i in 0..count {
            let scope = match told.text(&format!("classes.{i}.group")) {
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                _ => Scope::All,
            };
            let repeat_path = format!("classes.{i}.repeat");
            groups.push(Group {
                start_target: told.above_zero(&format!("classes.{i}.aim"))?,
                utility: told.need(&format!("classes.{i}.worth"))?,
                repeat: match told.text(&repeat_path) {
                    Some("repeatable") => Repeat::Safe,
                    Some("once") => Repeat::Once,
                    Some("by_key") => Repeat::Keyed(scope),
                    Some(other) => return Err(format!("{repeat_path}: unreadable value {other:?}")),
                    None => return Err(format!("{repeat_path}: missing")),
                },
                window: told.opt(&format!("classes.{i}.window"))?.unwrap_or(0.0),
                floor: told.row("family_info.class_floor", i)?.unwrap_or(0),
                top: told.row("family_info.highest_rung", i)?.unwrap_or(u8::MAX),
                scale: told.row("family_info.class_scale", i)?.unwrap_or(1.0),
                seats: told.row("family_info.licence_cap", i)?.unwrap_or(0),
            });
        }
        let rung_kb = told.list_above_zero("family_info.level_kb")?;
        let rung_utility: Vec<f64> = told.list("family_info.level_worth")?;
        if groups.is_empty() || rung_kb.is_empty() || rung_kb.len() != rung_utility.len() {
            return Err("family_info.level_kb: a ladder and a service group are needed".into());
        }
        let highest = rung_kb.len() as u8 - 1;
        for g in &mut groups {
            g.top = g.top.min(highest);
            g.floor = g.floor.min(g.top);
        }
        let columns = told.text("reporting.columns").unwrap_or("");
        // Without x0, util says the same of the link, but for its end at 1.
        let link = if columns.split(',').any(|c| c == "x0") { "x0" } else { "util" };
        let column = |name: &str| match name {
            "inflight" => Column::Streams,
            name if name == link => Column::Link,
            "x1" => Column::Uplink,
            _ => Column::Other,
        };
        let budget = match told.some("safety.look_back")? {
            Some(span) => Some(Budget {
                span,
                free: told.opt("safety.min_extra")?.unwrap_or(0.0),
                share: told.opt("safety.extra_ratio")?.unwrap_or(0.0),
            }),
            None => None,
        };
        let cold = match told.some("safety.cold")? {
            Some(lasts) => Some(ColdTerms {
                lasts,
                from: told.need("safety.cold_from")?,
                multiple: told.need("safety.tip_multiple")?,
                span: told.need("safety.tip_after")?,
                reach: told.some("limits.connect_timeout")?.unwrap_or(0.0),
            }),
            None => None,
        };
        let list = match told.text("registry_mode") {
            None | Some("push") => ListWay::Pushed,
            Some("ask") => {
                ListWay::Followed { told_after: told.some("safety.ask_every")?.unwrap_or(Ms::INFINITY) }
            }
            Some(other) => return Err(format!("registry_mode: unreadable value {other:?}")),
        };
        Ok(Terms {
            fronts: told.opt("balancers")?.unwrap_or(1),
            groups,
            rung_kb,
            rung_utility,
            change_cost: told.some("family_info.switch_cost_s")?.unwrap_or(0.0) * 1_000.0,
            cells: told.positive("family_info.places")?,
            racks: told.positive("family_info.racks")?,
            kind_streams: told.list_above_zero("family_info.kind_streams")?,
            weights: match told.text("weights") {
                None | Some("silent" | "nominal" | "rough") => Weights::Size,
                Some("live") => Weights::Live,
                Some(other) => return Err(format!("weights: unreadable value {other:?}")),
            },
            link_kb_per_weight: told.above_zero("family_info.link_unit_kb")?,
            // Where no size is told, uplinks are no narrower than what hangs on them.
            uplink_kb: told.some("family_info.uplink_kb")?.unwrap_or(f64::INFINITY),
            share_delay: told.some("family_info.see")?.unwrap_or(0.0),
            list,
            drain_grace: told.some("safety.drain_grace")?.unwrap_or(Ms::INFINITY),
            columns: columns.split(',').filter(|c| !c.is_empty()).map(column).collect(),
            probe_fed: told.text("reporting.via") == Some("pull"),
            may_probe: told.text("limits.probes") == Some("true"),
            probe_cost: told.some("tariffs.probe")?.unwrap_or(0.0),
            may_tell: told.text("limits.peer_messages") == Some("true"),
            come_back: told
                .some("limits.max_retry_after")?
                .filter(|_| told.text("limits.retry_after") == Some("true")),
            max_setups: told.positive("limits.attempts_cap")?.min(u16::MAX.into()) as u16,
            budget,
            cold,
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
