//! Checks a parsed settings document and converts it to [`FrontSettings`]: ranges, known names and consistency
//! between values. All errors of a document are collected and returned together.
use crate::document::*;
use crate::{CatalogueSettings, FrontSettings, ManifestSettings, ViewerLimits};
use std::net::SocketAddr;
use std::path::Path;
use walnutline::ids::Ms;
use walnutline::settings::{
    ColdStartSettings, KeyScope, ListDelivery, PolicySettings, RepeatPolicy, ReportColumn, RetryBudget,
    ServiceGroup, WeightKind,
};
use walnutline_auth::authorization::AuthorizationPolicy;
use walnutline_auth::keys::{KeyEntry, KeySet};
use walnutline_auth::UnixMs;
use walnutline_catalogue::probe_planner::ProbeBudget;
use walnutline_dash::{decode_base64url, SigningKey, VerifyingKey};
use walnutline_sessions::session_manager::Timeouts;

/// Errors found so far, each with its byte offset in the document.
#[derive(Default)]
struct Errors(Vec<(usize, String)>);

impl Errors {
    fn add(&mut self, offset: usize, reason: impl Into<String>) {
        self.0.push((offset, reason.into()));
    }

    /// Returns the value; adds an error if it is outside `min..=max`.
    fn in_range(&mut self, number: Number, name: &str, min: f64, max: f64) -> f64 {
        if !(min..=max).contains(&number.value) {
            self.add(number.offset, format!("{name}: {} is not between {min} and {max}", number.value));
        }
        number.value
    }

    /// Like [`Self::in_range`], for values that have to be whole numbers.
    fn integer_in_range(&mut self, number: Number, name: &str, min: f64, max: f64) -> f64 {
        if number.value.fract() != 0.0 {
            self.add(number.offset, format!("{name}: {} is not a whole number", number.value));
        }
        self.in_range(number, name, min, max)
    }

    /// A duration in milliseconds, from 1 ms to one day.
    fn duration_ms(&mut self, number: Number, name: &str) -> Ms {
        self.in_range(number, name, 1.0, 86_400_000.0)
    }
}

/// Checks the whole document. Paths are resolved against `folder`.
pub fn front_settings(document: Document, folder: &Path) -> Result<FrontSettings, Vec<(usize, String)>> {
    let mut errors = Errors::default();
    let listen_address = parse_address(&document.listen, "listen", &mut errors);
    let (list_address, list_path) = parse_http_url(&document.list, "list", &mut errors);
    let rungs = &document.ladder.rungs;
    if rungs.is_empty() || rungs.len() > 64 {
        errors.add(document.listen.offset, "ladder: between 1 and 64 rungs are needed");
    }
    for pair in rungs.windows(2) {
        if pair[1].kb.value <= pair[0].kb.value {
            errors.add(pair[1].kb.offset, "rung: its rate must be above the one before");
        }
    }
    let highest_rung = rungs.len().saturating_sub(1) as f64;
    if document.groups.is_empty() {
        errors.add(document.listen.offset, "service-group: at least one is needed");
    }
    let mut names_and_waits: Vec<(String, Ms)> = Vec::new();
    let mut service_groups = Vec::new();
    for group in &document.groups {
        if names_and_waits.iter().any(|(name, _)| *name == group.name.value) {
            errors.add(group.name.offset, format!("service-group: {:?} is named twice", group.name.value));
        }
        let wait_limit = errors.duration_ms(group.setup_timeout, "setup-timeout");
        names_and_waits.push((group.name.value.clone(), wait_limit));
        service_groups.push(service_group(group, highest_rung, &mut errors));
    }
    let via = match document.reports.via.value.as_str() {
        via @ ("probe" | "answers" | "none") => via,
        other => {
            errors
                .add(document.reports.via.offset, format!("via: {other:?} is none of probe, answers, none"));
            "none"
        }
    };
    let report_columns = document.reports.columns.iter().map(|c| match c.value.as_str() {
        "streams" => ReportColumn::Streams,
        "link" => ReportColumn::Link,
        "uplink" => ReportColumn::Uplink,
        other => {
            errors.add(c.offset, format!("columns: {other:?} is none of streams, link, uplink"));
            ReportColumn::Other
        }
    });
    let report_columns = report_columns.collect();
    let retry_budget = document.setups.budget.as_ref().map(|b| RetryBudget {
        free_retries: errors.integer_in_range(b.free, "free", 0.0, 1e6),
        retries_per_request: errors.in_range(b.share, "share", 0.0, 100.0),
        window: errors.duration_ms(b.span, "span"),
    });
    let cold_start = document.cold.as_ref().map(|c| ColdStartSettings {
        duration: errors.duration_ms(c.lasts, "lasts"),
        initial_share: errors.in_range(c.from, "from", 0.0, 1.0),
        rate_multiple: errors.in_range(c.multiple, "multiple", 0.01, 1e3),
        window: errors.duration_ms(c.span, "span"),
        connect_timeout: errors.duration_ms(document.waits.connect, "connect"),
    });
    let policy = PolicySettings {
        front_count: errors.integer_in_range(document.fronts, "fronts", 1.0, 1e6) as u32,
        service_groups,
        rung_kb_per_s: rungs.iter().map(|r| errors.in_range(r.kb, "kb", 0.001, 1e9)).collect(),
        rung_utility: rungs.iter().map(|r| errors.in_range(r.utility, "utility", 0.0, 1e6)).collect(),
        // The list of boxes states each box's rack, and requests name boxes directly: a cell is the same as a rack.
        cell_count: u32::MAX,
        rack_count: u32::MAX,
        max_streams_by_kind: document
            .kinds
            .iter()
            .map(|k| errors.integer_in_range(k.streams, "streams", 1.0, 1e7))
            .collect(),
        weight_kind: WeightKind::Capacity,
        link_kb_per_s_per_weight: errors.in_range(document.links.link_kb, "link-kb", 0.001, 1e12),
        uplink_kb_per_s: errors.in_range(document.links.uplink_kb, "uplink-kb", 0.001, 1e12),
        rung_change_cost: 0.0,
        // The list of boxes is an event stream.
        list_delivery: ListDelivery::Pushed,
        drain_grace: f64::INFINITY,
        measurement_delay: errors.in_range(document.reports.delay, "delay", 0.0, 60_000.0),
        report_columns,
        reports_by_probe: via == "probe",
        probes_allowed: true,
        probe_cost: 0.0,
        peer_messages_allowed: false,
        max_retry_after: document
            .come_back
            .as_ref()
            .map(|c| errors.in_range(c.most, "most", 0.0, 3_600_000.0)),
        max_setups: errors.integer_in_range(document.setups.most, "most", 1.0, 100.0) as u16,
        retry_budget,
        cold_start,
    };
    let node = &document.viewers;
    let viewer_limits = ViewerLimits {
        max_connections: errors.integer_in_range(node.connections, "connections", 1.0, 1e7) as usize,
        max_header_bytes: errors.integer_in_range(node.header_bytes, "header-bytes", 512.0, 65_536.0)
            as usize,
        max_headers: errors.integer_in_range(node.headers, "headers", 8.0, 256.0) as usize,
        request_timeout_ms: errors.duration_ms(node.header_time, "header-time"),
        idle_timeout_ms: errors.duration_ms(node.idle, "idle"),
        max_pipelined: errors.integer_in_range(node.pipelined, "pipelined", 1.0, 64.0) as usize,
        write_timeout_ms: errors.duration_ms(node.write_time, "write-time"),
    };
    let timeouts = Timeouts {
        connect: errors.duration_ms(document.waits.connect, "connect"),
        probe: errors.duration_ms(document.waits.probe, "probe"),
        max_silence: errors.duration_ms(document.waits.silence, "silence"),
        answer_margin: errors.in_range(document.waits.way_back, "way-back", 0.0, 10_000.0),
    };
    for group in &document.groups {
        if group.setup_timeout.value <= timeouts.answer_margin {
            errors.add(group.setup_timeout.offset, "setup-timeout: must be longer than way-back");
        }
    }
    let manifest = ManifestSettings {
        segment_duration_ms: errors.duration_ms(document.manifest.segment, "segment"),
        update_period_ms: errors.duration_ms(document.manifest.update, "update"),
        session_token_lifetime_ms: errors.duration_ms(document.manifest.token_lasts, "token-lasts"),
    };
    let catalogue = document.catalogue.as_ref().map(|c| CatalogueSettings {
        folder: folder.join(&c.folder.value),
        source: c.source.as_ref().and_then(|s| {
            let (address, path) = parse_http_url(s, "source", &mut errors);
            address.map(|a| (a, path.trim_end_matches('/').to_owned()))
        }),
        probe_budget: ProbeBudget {
            per_request: errors.in_range(c.probes_each, "probes-each", 0.0, 10.0),
            max_saved: errors.in_range(c.probes_saved, "probes-saved", 0.0, 1e5),
            stale_after: errors.duration_ms(c.news_old, "news-old"),
        },
        use_title_rates: c.rates.unwrap_or(true),
    });
    let authorization = AuthorizationPolicy {
        max_proof_age_ms: errors.duration_ms(document.tokens.proof_age, "proof-age"),
        clock_skew_ms: errors.in_range(document.tokens.clock_skew, "clock-skew", 0.0, 3_600_000.0),
    };
    let max_stored_proofs = errors.integer_in_range(document.tokens.proofs, "proofs", 1.0, 1e8) as usize;
    let public_key =
        |bytes: &[u8; 32]| VerifyingKey::from_bytes(bytes).map_err(|_| "no Ed25519 public key".into());
    let issuer_keys = load_keys(
        &document.tokens.issuer,
        "issuer-key",
        document.tokens.proofs.offset,
        folder,
        &mut errors,
        public_key,
    );
    let private_key = |bytes: &[u8; 32]| Ok(SigningKey::from_bytes(bytes));
    let session_keys = load_keys(
        &document.tokens.session,
        "session-key",
        document.tokens.proofs.offset,
        folder,
        &mut errors,
        private_key,
    );
    let (Some(listen_address), Some(list_address), Some(issuer_keys), Some(session_keys), true) =
        (listen_address, list_address, issuer_keys, session_keys, errors.0.is_empty())
    else {
        return Err(errors.0);
    };
    Ok(FrontSettings {
        listen_address,
        public_url: document.public_url.map(|t| t.value.trim_end_matches('/').to_owned()),
        list_address,
        list_path,
        seed: document.seed,
        policy,
        timeouts,
        service_groups: names_and_waits,
        viewer_limits,
        authorization,
        max_stored_proofs,
        manifest,
        catalogue,
        issuer_keys,
        session_keys,
    })
}

/// Checks one service group; rungs count from 0 to `top_of_ladder`.
fn service_group(node: &ServiceGroupNode, top_of_ladder: f64, errors: &mut Errors) -> ServiceGroup {
    let rung = |n: Option<Number>, name: &str, default: f64, errors: &mut Errors| {
        n.map_or(default, |n| errors.integer_in_range(n, name, 0.0, top_of_ladder)) as u8
    };
    let repeat = match node.repeat.value.as_str() {
        "safe" => RepeatPolicy::Safe,
        "once" => RepeatPolicy::Once,
        "keyed" => RepeatPolicy::Keyed(KeyScope::All),
        "keyed-in-building" => RepeatPolicy::Keyed(KeyScope::Zone),
        "keyed-in-rack" => RepeatPolicy::Keyed(KeyScope::Cell),
        other => {
            let known = "safe, once, keyed, keyed-in-building, keyed-in-rack";
            errors.add(node.repeat.offset, format!("repeat: {other:?} is none of {known}"));
            RepeatPolicy::Once
        }
    };
    let key_window = node.window.map_or(0.0, |n| errors.duration_ms(n, "window"));
    if matches!(repeat, RepeatPolicy::Keyed(_)) && node.window.is_none() {
        errors.add(node.repeat.offset, "repeat: keyed needs a window");
    }
    let lowest_rung = rung(node.floor, "floor", 0.0, errors);
    let highest_rung = rung(node.top, "top", top_of_ladder, errors);
    if lowest_rung > highest_rung {
        errors.add(node.name.offset, "service-group: its floor is above its top");
    }
    ServiceGroup {
        start_target: errors.duration_ms(node.start_target, "start-target"),
        utility: errors.in_range(node.utility, "utility", 0.0, 1e6),
        repeat,
        key_window,
        lowest_rung,
        highest_rung,
        rate_scale: node.scale.map_or(1.0, |n| errors.in_range(n, "scale", 0.001, 1e3)),
        max_sessions_per_title: node
            .seats
            .map_or(0, |n| errors.integer_in_range(n, "seats", 0.0, 1e7) as u32),
    }
}

/// Parses `address:port`.
fn parse_address(text: &Text, name: &str, errors: &mut Errors) -> Option<SocketAddr> {
    let address = text.value.parse();
    if address.is_err() {
        errors.add(text.offset, format!("{name}: {:?} is not address:port", text.value));
    }
    address.ok()
}

/// Parses `http://address:port/path`. Host names are not resolved, so they are an error.
fn parse_http_url(text: &Text, name: &str, errors: &mut Errors) -> (Option<SocketAddr>, String) {
    let rest = text.value.strip_prefix("http://").unwrap_or_default();
    let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
    match host.parse() {
        Ok(address) => (Some(address), format!("/{path}")),
        Err(_) => {
            errors.add(text.offset, format!("{name}: {:?} is not http://address:port/path", text.value));
            (None, String::new())
        }
    }
}

/// Loads the key files that `nodes` name. An error about the whole set is placed at `offset`.
fn load_keys<K>(
    nodes: &[KeyNode],
    name: &str,
    offset: usize,
    folder: &Path,
    errors: &mut Errors,
    decode: impl Fn(&[u8; 32]) -> Result<K, String>,
) -> Option<KeySet<K>> {
    if nodes.is_empty() {
        errors.add(offset, format!("{name}: at least one is needed"));
    }
    let mut entries = Vec::new();
    for node in nodes {
        let from =
            node.from.as_ref().map_or(Some(UnixMs::NEG_INFINITY), |t| parse_timestamp(t, "from", errors));
        let until =
            node.until.as_ref().map_or(Some(UnixMs::INFINITY), |t| parse_timestamp(t, "until", errors));
        let path = folder.join(&node.file.value);
        let key = std::fs::read_to_string(&path)
            .map_err(|e| e.to_string())
            .and_then(|text| decode_base64url(text.trim()))
            .and_then(|bytes| <[u8; 32]>::try_from(bytes).map_err(|_| "not 32 bytes".to_owned()))
            .and_then(|bytes| decode(&bytes));
        match (key, from, until) {
            (Ok(key), Some(from), Some(until)) => {
                if from >= until {
                    errors.add(node.id.offset, format!("{name}: its until is not after its from"));
                }
                entries.push(KeyEntry {
                    id: node.id.value.clone().into_bytes(),
                    key,
                    valid_from: from,
                    valid_until: until,
                });
            }
            (Err(e), ..) => errors.add(node.file.offset, format!("{name}: file {}: {e}", path.display())),
            _ => {}
        }
    }
    match KeySet::new(entries) {
        Ok(key_set) => Some(key_set),
        Err(id) => {
            let id = String::from_utf8_lossy(&id).into_owned();
            let duplicate = nodes.iter().rfind(|k| k.id.value == id).map_or(offset, |k| k.id.offset);
            errors.add(duplicate, format!("{name}: {id:?} is given twice"));
            None
        }
    }
}

/// Parses an RFC 3339 time to Unix milliseconds.
fn parse_timestamp(text: &Text, name: &str, errors: &mut Errors) -> Option<UnixMs> {
    match humantime::parse_rfc3339(&text.value) {
        Ok(t) => t.duration_since(std::time::UNIX_EPOCH).ok().map(|d| d.as_secs_f64() * 1_000.0),
        Err(e) => {
            errors.add(text.offset, format!("{name}: {:?}: {e}", text.value));
            None
        }
    }
}
