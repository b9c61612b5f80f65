//! The terms as a deployment states them.
use test_case::test_case;
use walnutline::settings::{PolicySettings, ReportColumn};

const LEAST: &str = "classes.count=1\nclasses.0.aim=800\nclasses.0.worth=1\nclasses.0.repeat=repeatable\n\
    family_info.level_kb=100,200\nfamily_info.level_worth=0.5,1\nfamily_info.places=6\nfamily_info.racks=2\n\
    family_info.kind_streams=20\nfamily_info.link_unit_kb=1000\nfamily_info.uplink_kb=4000\nlimits.attempts_cap=3\n";

#[test_case("classes.0.aim=800\n", "" => "classes.0.aim: missing"; "missing")]
#[test_case("classes.0.aim=800", "classes.0.aim=soon" => "classes.0.aim: unreadable value \"soon\""; "unreadable")]
#[test_case("repeatable", "thrice" => "classes.0.repeat: unreadable value \"thrice\""; "unknown word")]
#[test_case("limits.attempts_cap=3", "limits.attempts_cap=3\nregistry_mode=ask\nsafety.ask_every=-1"
    => "safety.ask_every: -1 is out of range"; "a time below zero")]
#[test_case("limits.attempts_cap=3", "limits.attempts_cap=3\nregistry_mode=gossip"
    => "registry_mode: unreadable value \"gossip\""; "an unknown way")]
#[test_case("attempts_cap=3", "attempts_cap=3\nweights=heavy" => "weights: unreadable value \"heavy\""; "unknown weights")]
#[test_case("kind_streams=20", "kind_streams=20,0" => "family_info.kind_streams: 0 is out of range"; "no streams")]
#[test_case("level_kb=100,200", "level_kb=100,NaN" => "family_info.level_kb: NaN is out of range"; "no rate")]
#[test_case("link_unit_kb=1000", "link_unit_kb=0" => "family_info.link_unit_kb: 0 is out of range"; "no link")]
#[test_case("aim=800", "aim=-1" => "classes.0.aim: -1 is out of range"; "below zero")]
#[test_case("uplink_kb=4000", "uplink_kb=-4" => "family_info.uplink_kb: -4 is out of range"; "uplink below zero")]
#[test_case("attempts_cap=3", "attempts_cap=0" => "limits.attempts_cap: must be above 0"; "no SETUP at all")]
#[test_case("racks=2", "racks=0" => "family_info.racks: must be above 0"; "zero")]
fn what_is_wrong_is_reported_by_its_path(part: &str, instead: &str) -> String {
    PolicySettings::parse(&LEAST.replace(part, instead)).unwrap_err()
}

#[test]
fn absent_options_are_off_and_unknown_keys_are_skipped() {
    let t = PolicySettings::parse(&format!("{LEAST}some.new.key=7\n")).unwrap();
    assert!(t.retry_budget.is_none() && t.cold_start.is_none());
    assert!(!t.probes_allowed && t.max_retry_after.is_none() && t.report_columns.is_empty());
}

#[test_case("inflight,util" => vec![ReportColumn::Streams, ReportColumn::Link]; "util alone")]
#[test_case("util,x0,x1" => vec![ReportColumn::Other, ReportColumn::Link, ReportColumn::Uplink]; "x0 beside it")]
fn columns_are_told_apart(columns: &str) -> Vec<ReportColumn> {
    PolicySettings::parse(&format!("{LEAST}reporting.columns={columns}\n")).unwrap().report_columns
}

/// Zero and absence say the same of these; neither is a time, a size or a warm-up of nothing.
#[test_case("family_info.uplink_kb=0\nlimits.retry_after=true\nlimits.max_retry_after=0\nsafety.cold=0\nsafety.look_back=0"; "zero")]
#[test_case("limits.retry_after=true"; "absent")]
fn what_is_zero_is_as_absent(told: &str) {
    let t = PolicySettings::parse(&format!("{}{told}\n", LEAST.replace("family_info.uplink_kb=4000\n", "")))
        .unwrap();
    assert!(
        t.uplink_kb_per_s.is_infinite()
            && t.drain_grace.is_infinite()
            && t.max_retry_after.is_none()
            && t.cold_start.is_none()
            && t.retry_budget.is_none()
    );
}
