//! Parsing of the settings of a deployment.
use test_case::test_case;
use walnutline::settings::{PolicySettings, ReportColumn};

/// The settings without which no front starts.
const MINIMAL: &str = "classes.count=1\nclasses.0.aim=800\nclasses.0.worth=1\nclasses.0.repeat=repeatable\n\
    family_info.level_kb=100,200\nfamily_info.level_worth=0.5,1\nfamily_info.places=6\nfamily_info.racks=2\n\
    family_info.kind_streams=20\nfamily_info.link_unit_kb=1000\nfamily_info.uplink_kb=4000\nlimits.attempts_cap=3\n";

#[test_case("classes.0.aim=800\n", "" => "classes.0.aim: missing"; "missing")]
#[test_case("classes.0.aim=800", "classes.0.aim=soon" => "classes.0.aim: unreadable value \"soon\""; "unreadable")]
#[test_case("repeatable", "thrice" => "classes.0.repeat: unreadable value \"thrice\""; "unknown repeat policy")]
#[test_case("limits.attempts_cap=3", "limits.attempts_cap=3\nregistry_mode=ask\nsafety.ask_every=-1"
    => "safety.ask_every: -1 is out of range"; "a time below zero")]
#[test_case("limits.attempts_cap=3", "limits.attempts_cap=3\nregistry_mode=gossip"
    => "registry_mode: unreadable value \"gossip\""; "unknown list mode")]
#[test_case("attempts_cap=3", "attempts_cap=3\nweights=heavy" => "weights: unreadable value \"heavy\""; "unknown weights")]
#[test_case("kind_streams=20", "kind_streams=20,0" => "family_info.kind_streams: 0 is out of range"; "no streams")]
#[test_case("level_kb=100,200", "level_kb=100,NaN" => "family_info.level_kb: NaN is out of range"; "rate not a number")]
#[test_case("link_unit_kb=1000", "link_unit_kb=0" => "family_info.link_unit_kb: 0 is out of range"; "link without capacity")]
#[test_case("aim=800", "aim=-1" => "classes.0.aim: -1 is out of range"; "start target below zero")]
#[test_case("uplink_kb=4000", "uplink_kb=-4" => "family_info.uplink_kb: -4 is out of range"; "uplink below zero")]
#[test_case("attempts_cap=3", "attempts_cap=0" => "limits.attempts_cap: must be above 0"; "no SETUP at all")]
#[test_case("racks=2", "racks=0" => "family_info.racks: must be above 0"; "no racks")]
fn errors_name_the_path_of_the_setting(part: &str, replacement: &str) -> String {
    PolicySettings::parse(&MINIMAL.replace(part, replacement)).unwrap_err()
}

#[test]
fn absent_options_are_off_and_unknown_keys_are_skipped() {
    let settings = PolicySettings::parse(&format!("{MINIMAL}some.new.key=7\n")).unwrap();
    assert!(settings.retry_budget.is_none() && settings.cold_start.is_none());
    assert!(
        !settings.probes_allowed && settings.max_retry_after.is_none() && settings.report_columns.is_empty()
    );
}

#[test_case("inflight,util" => vec![ReportColumn::Streams, ReportColumn::Link]; "util alone")]
#[test_case("util,x0,x1" => vec![ReportColumn::Other, ReportColumn::Link, ReportColumn::Uplink]; "util and x0")]
fn report_columns_are_recognized_by_name(columns: &str) -> Vec<ReportColumn> {
    PolicySettings::parse(&format!("{MINIMAL}reporting.columns={columns}\n")).unwrap().report_columns
}

/// For these settings zero means the same as absence, and not a time, capacity or warm-up of zero.
#[test_case("family_info.uplink_kb=0\nlimits.retry_after=true\nlimits.max_retry_after=0\nsafety.cold=0\nsafety.look_back=0"; "zero")]
#[test_case("limits.retry_after=true"; "absent")]
fn zero_means_absent(extra: &str) {
    let settings =
        PolicySettings::parse(&format!("{}{extra}\n", MINIMAL.replace("family_info.uplink_kb=4000\n", "")))
            .unwrap();
    assert!(
        settings.uplink_kb_per_s.is_infinite()
            && settings.drain_grace.is_infinite()
            && settings.max_retry_after.is_none()
            && settings.cold_start.is_none()
            && settings.retry_budget.is_none()
    );
}
