//! From the document to plain values: ranges, names and what has to fit together. All faults are told at once.
use crate::document::*;
use crate::{CatalogueSettings, FrontSettings, ManifestSettings, ViewerLimits};
use std::net::SocketAddr;
use std::path::Path;
use walnutline::ids::Ms;
use walnutline::settings::{
    ColdStartSettings, KeyScope, ListDelivery, PolicySettings, RepeatPolicy, ReportColumn, RetryBudget,
    ServiceGroup as TermsGroup, WeightKind,
};
use walnutline_catalogue::probe_planner::ProbeBudget;
use walnutline_dash::{decode_base64url, SigningKey, VerifyingKey};
use walnutline_desk::session_manager::Timeouts;
use walnutline_gate::authorization::AuthorizationPolicy;
use walnutline_gate::keys::{KeyEntry, KeySet};
use walnutline_gate::UnixMs;

/// Faults by their place in the text.
#[derive(Default)]
struct Faults(Vec<(usize, String)>);

impl Faults {
    fn tell(&mut self, at: usize, why: impl Into<String>) {
        self.0.push((at, why.into()));
    }

    fn within(&mut self, n: Num, name: &str, least: f64, most: f64) -> f64 {
        if !(least..=most).contains(&n.value) {
            self.tell(n.at, format!("{name}: {} is not between {least} and {most}", n.value));
        }
        n.value
    }

    fn whole(&mut self, n: Num, name: &str, least: f64, most: f64) -> f64 {
        if n.value.fract() != 0.0 {
            self.tell(n.at, format!("{name}: {} is not a whole number", n.value));
        }
        self.within(n, name, least, most)
    }

    /// A length of time in milliseconds, at most a day.
    fn time(&mut self, n: Num, name: &str) -> Ms {
        self.within(n, name, 1.0, 86_400_000.0)
    }
}

pub fn deployment(d: Document, folder: &Path) -> Result<FrontSettings, Vec<(usize, String)>> {
    let mut f = Faults::default();
    let listen = address(&d.listen, "listen", &mut f);
    let (list, list_path) = source(&d.list, "list", &mut f);
    let rungs = &d.ladder.rungs;
    if rungs.is_empty() || rungs.len() > 64 {
        f.tell(d.listen.at, "ladder: between 1 and 64 rungs are needed");
    }
    for pair in rungs.windows(2) {
        if pair[1].kb.value <= pair[0].kb.value {
            f.tell(pair[1].kb.at, "rung: its rate must be above the one before");
        }
    }
    let highest = rungs.len().saturating_sub(1) as f64;
    if d.groups.is_empty() {
        f.tell(d.listen.at, "service-group: at least one is needed");
    }
    let mut names: Vec<(String, Ms)> = Vec::new();
    let mut groups = Vec::new();
    for g in &d.groups {
        if names.iter().any(|(name, _)| *name == g.name.value) {
            f.tell(g.name.at, format!("service-group: {:?} is named twice", g.name.value));
        }
        let timeout = f.time(g.setup_timeout, "setup-timeout");
        names.push((g.name.value.clone(), timeout));
        groups.push(group(g, highest, &mut f));
    }
    let via = match d.reports.via.value.as_str() {
        via @ ("probe" | "answers" | "none") => via,
        other => {
            f.tell(d.reports.via.at, format!("via: {other:?} is none of probe, answers, none"));
            "none"
        }
    };
    let columns = d.reports.columns.iter().map(|c| match c.value.as_str() {
        "streams" => ReportColumn::Streams,
        "link" => ReportColumn::Link,
        "uplink" => ReportColumn::Uplink,
        other => {
            f.tell(c.at, format!("columns: {other:?} is none of streams, link, uplink"));
            ReportColumn::Other
        }
    });
    let columns = columns.collect();
    let budget = d.setups.budget.as_ref().map(|b| RetryBudget {
        free_retries: f.whole(b.free, "free", 0.0, 1e6),
        retries_per_request: f.within(b.share, "share", 0.0, 100.0),
        window: f.time(b.span, "span"),
    });
    let cold = d.cold.as_ref().map(|c| ColdStartSettings {
        duration: f.time(c.lasts, "lasts"),
        initial_share: f.within(c.from, "from", 0.0, 1.0),
        rate_multiple: f.within(c.multiple, "multiple", 0.01, 1e3),
        window: f.time(c.span, "span"),
        connect_timeout: f.time(d.waits.connect, "connect"),
    });
    let terms = PolicySettings {
        front_count: f.whole(d.fronts, "fronts", 1.0, 1e6) as u32,
        service_groups: groups,
        rung_kb_per_s: rungs.iter().map(|r| f.within(r.kb, "kb", 0.001, 1e9)).collect(),
        rung_utility: rungs.iter().map(|r| f.within(r.utility, "utility", 0.0, 1e6)).collect(),
        // The live list tells each box's rack, and requests name boxes: a cell is a rack.
        cell_count: u32::MAX,
        rack_count: u32::MAX,
        max_streams_by_kind: d.kinds.iter().map(|k| f.whole(k.streams, "streams", 1.0, 1e7)).collect(),
        weight_kind: WeightKind::Capacity,
        link_kb_per_s_per_weight: f.within(d.links.link_kb, "link-kb", 0.001, 1e12),
        uplink_kb_per_s: f.within(d.links.uplink_kb, "uplink-kb", 0.001, 1e12),
        rung_change_cost: 0.0,
        // The live list is a stream of events.
        list_delivery: ListDelivery::Pushed,
        drain_grace: f64::INFINITY,
        measurement_delay: f.within(d.reports.delay, "delay", 0.0, 60_000.0),
        report_columns: columns,
        reports_by_probe: via == "probe",
        probes_allowed: true,
        probe_cost: 0.0,
        peer_messages_allowed: false,
        max_retry_after: d.come_back.as_ref().map(|c| f.within(c.most, "most", 0.0, 3_600_000.0)),
        max_setups: f.whole(d.setups.most, "most", 1.0, 100.0) as u16,
        retry_budget: budget,
        cold_start: cold,
    };
    let v = &d.viewers;
    let viewers = ViewerLimits {
        max_connections: f.whole(v.connections, "connections", 1.0, 1e7) as usize,
        max_header_bytes: f.whole(v.header_bytes, "header-bytes", 512.0, 65_536.0) as usize,
        max_headers: f.whole(v.headers, "headers", 8.0, 256.0) as usize,
        request_timeout_ms: f.time(v.header_time, "header-time"),
        idle_timeout_ms: f.time(v.idle, "idle"),
        max_pipelined: f.whole(v.pipelined, "pipelined", 1.0, 64.0) as usize,
        write_timeout_ms: f.time(v.write_time, "write-time"),
    };
    let waits = Timeouts {
        connect: f.time(d.waits.connect, "connect"),
        probe: f.time(d.waits.probe, "probe"),
        max_silence: f.time(d.waits.silence, "silence"),
        answer_margin: f.within(d.waits.way_back, "way-back", 0.0, 10_000.0),
    };
    for g in &d.groups {
        if g.setup_timeout.value <= waits.answer_margin {
            f.tell(g.setup_timeout.at, "setup-timeout: must be longer than way-back");
        }
    }
    let manifest = ManifestSettings {
        segment_duration_ms: f.time(d.manifest.segment, "segment"),
        update_period_ms: f.time(d.manifest.update, "update"),
        session_token_lifetime_ms: f.time(d.manifest.token_lasts, "token-lasts"),
    };
    let catalogue = d.catalogue.as_ref().map(|c| CatalogueSettings {
        folder: folder.join(&c.folder.value),
        source: c.source.as_ref().and_then(|s| {
            let (address, path) = source(s, "source", &mut f);
            address.map(|a| (a, path.trim_end_matches('/').to_owned()))
        }),
        probe_budget: ProbeBudget {
            per_request: f.within(c.probes_each, "probes-each", 0.0, 10.0),
            max_saved: f.within(c.probes_saved, "probes-saved", 0.0, 1e5),
            stale_after: f.time(c.news_old, "news-old"),
        },
        use_title_rates: c.rates.unwrap_or(true),
    });
    let admission = AuthorizationPolicy {
        max_proof_age_ms: f.time(d.tokens.proof_age, "proof-age"),
        clock_skew_ms: f.within(d.tokens.clock_skew, "clock-skew", 0.0, 3_600_000.0),
    };
    let proofs = f.whole(d.tokens.proofs, "proofs", 1.0, 1e8) as usize;
    let point =
        |bytes: &[u8; 32]| VerifyingKey::from_bytes(bytes).map_err(|_| "no Ed25519 public key".into());
    let issuer = ring(&d.tokens.issuer, "issuer-key", d.tokens.proofs.at, folder, &mut f, point);
    let secret = |bytes: &[u8; 32]| Ok(SigningKey::from_bytes(bytes));
    let session = ring(&d.tokens.session, "session-key", d.tokens.proofs.at, folder, &mut f, secret);
    let (Some(listen), Some(list), Some(issuer), Some(session), true) =
        (listen, list, issuer, session, f.0.is_empty())
    else {
        return Err(f.0);
    };
    Ok(FrontSettings {
        listen_address: listen,
        public_url: d.public_url.map(|t| t.value.trim_end_matches('/').to_owned()),
        list_address: list,
        list_path,
        seed: d.seed,
        policy: terms,
        timeouts: waits,
        service_groups: names,
        viewer_limits: viewers,
        authorization: admission,
        max_stored_proofs: proofs,
        manifest,
        catalogue,
        issuer_keys: issuer,
        session_keys: session,
    })
}

fn group(g: &Group, highest: f64, f: &mut Faults) -> TermsGroup {
    let rung = |n: Option<Num>, name: &str, or: f64, f: &mut Faults| {
        n.map_or(or, |n| f.whole(n, name, 0.0, highest)) as u8
    };
    let repeat = match g.repeat.value.as_str() {
        "safe" => RepeatPolicy::Safe,
        "once" => RepeatPolicy::Once,
        "keyed" => RepeatPolicy::Keyed(KeyScope::All),
        "keyed-in-building" => RepeatPolicy::Keyed(KeyScope::Zone),
        "keyed-in-rack" => RepeatPolicy::Keyed(KeyScope::Cell),
        other => {
            let known = "safe, once, keyed, keyed-in-building, keyed-in-rack";
            f.tell(g.repeat.at, format!("repeat: {other:?} is none of {known}"));
            RepeatPolicy::Once
        }
    };
    let window = g.window.map_or(0.0, |n| f.time(n, "window"));
    if matches!(repeat, RepeatPolicy::Keyed(_)) && g.window.is_none() {
        f.tell(g.repeat.at, "repeat: keyed needs a window");
    }
    let (floor, top) = (rung(g.floor, "floor", 0.0, f), rung(g.top, "top", highest, f));
    if floor > top {
        f.tell(g.name.at, "service-group: its floor is above its top");
    }
    TermsGroup {
        start_target: f.time(g.start_target, "start-target"),
        utility: f.within(g.utility, "utility", 0.0, 1e6),
        repeat,
        key_window: window,
        lowest_rung: floor,
        highest_rung: top,
        rate_scale: g.scale.map_or(1.0, |n| f.within(n, "scale", 0.001, 1e3)),
        max_sessions_per_title: g.seats.map_or(0, |n| f.whole(n, "seats", 0.0, 1e7) as u32),
    }
}

fn address(text: &Text, name: &str, f: &mut Faults) -> Option<SocketAddr> {
    let address = text.value.parse();
    if address.is_err() {
        f.tell(text.at, format!("{name}: {:?} is not address:port", text.value));
    }
    address.ok()
}

/// `http://address:port/path`; names are not looked up.
fn source(text: &Text, name: &str, f: &mut Faults) -> (Option<SocketAddr>, String) {
    let rest = text.value.strip_prefix("http://").unwrap_or_default();
    let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
    match host.parse() {
        Ok(address) => (Some(address), format!("/{path}")),
        Err(_) => {
            f.tell(text.at, format!("{name}: {:?} is not http://address:port/path", text.value));
            (None, String::new())
        }
    }
}

fn ring<K>(
    keys: &[Key],
    name: &str,
    at: usize,
    folder: &Path,
    f: &mut Faults,
    read: impl Fn(&[u8; 32]) -> Result<K, String>,
) -> Option<KeySet<K>> {
    if keys.is_empty() {
        f.tell(at, format!("{name}: at least one is needed"));
    }
    let mut entries = Vec::new();
    for k in keys {
        let from = k.from.as_ref().map_or(Some(UnixMs::NEG_INFINITY), |t| instant(t, "from", f));
        let until = k.until.as_ref().map_or(Some(UnixMs::INFINITY), |t| instant(t, "until", f));
        let path = folder.join(&k.file.value);
        let key = std::fs::read_to_string(&path)
            .map_err(|e| e.to_string())
            .and_then(|text| decode_base64url(text.trim()))
            .and_then(|bytes| <[u8; 32]>::try_from(bytes).map_err(|_| "not 32 bytes".to_owned()))
            .and_then(|bytes| read(&bytes));
        match (key, from, until) {
            (Ok(key), Some(from), Some(until)) => {
                if from >= until {
                    f.tell(k.id.at, format!("{name}: its until is not after its from"));
                }
                entries.push(KeyEntry {
                    id: k.id.value.clone().into_bytes(),
                    key,
                    valid_from: from,
                    valid_until: until,
                });
            }
            (Err(e), ..) => f.tell(k.file.at, format!("{name}: file {}: {e}", path.display())),
            _ => {}
        }
    }
    match KeySet::new(entries) {
        Ok(ring) => Some(ring),
        Err(id) => {
            let id = String::from_utf8_lossy(&id).into_owned();
            let again = keys.iter().rfind(|k| k.id.value == id).map_or(at, |k| k.id.at);
            f.tell(again, format!("{name}: {id:?} is given twice"));
            None
        }
    }
}

fn instant(text: &Text, name: &str, f: &mut Faults) -> Option<UnixMs> {
    match humantime::parse_rfc3339(&text.value) {
        Ok(t) => t.duration_since(std::time::UNIX_EPOCH).ok().map(|d| d.as_secs_f64() * 1_000.0),
        Err(e) => {
            f.tell(text.at, format!("{name}: {:?}: {e}", text.value));
            None
        }
    }
}
