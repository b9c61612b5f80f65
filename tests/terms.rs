//! The terms as a deployment states them.
use test_case::test_case;
use walnutline::terms::{Column, Terms};

const LEAST: &str = "classes.count=1\nclasses.0.aim=800\nclasses.0.worth=1\nclasses.0.repeat=repeatable\n\
    family_info.level_kb=100,200\nfamily_info.level_worth=0.5,1\nfamily_info.places=6\nfamily_info.racks=2\n\
    family_info.kind_streams=20\nfamily_info.link_unit_kb=1000\nfamily_info.uplink_kb=4000\nlimits.attempts_cap=3\n";

#[test_case("classes.0.aim=800\n", "" => "classes.0.aim: missing"; "missing")]
#[test_case("classes.0.aim=800", "classes.0.aim=soon" => "classes.0.aim: unreadable value \"soon\""; "unreadable")]
#[test_case("repeatable", "thrice" => "classes.0.repeat: unreadable value \"thrice\""; "unknown word")]
#[test_case("limits.attempts_cap=3", "limits.attempts_cap=3\nregistry_mode=ask" => "safety.ask_every: missing";
    "asked for, but how often is not stated")]
#[test_case("limits.attempts_cap=3", "limits.attempts_cap=3\nregistry_mode=ask\nsafety.ask_every=0"
    => "safety.ask_every: 0 is not above 0"; "asked for all the time")]
#[test_case("limits.attempts_cap=3", "limits.attempts_cap=3\nregistry_mode=gossip"
    => "registry_mode: unreadable value \"gossip\""; "an unknown way")]
#[test_case("racks=2", "racks=0" => "family_info.racks: must be above 0"; "zero")]
fn what_is_wrong_is_reported_by_its_path(part: &str, instead: &str) -> String {
    Terms::parse(&LEAST.replace(part, instead)).unwrap_err()
}

#[test]
fn absent_options_are_off_and_unknown_keys_are_skipped() {
    let t = Terms::parse(&format!("{LEAST}some.new.key=7\n")).unwrap();
    assert!(t.budget.is_none() && t.cold.is_none());
    assert!(!t.may_probe && !t.tells_return && t.columns.is_empty());
}

#[test_case("inflight,util" => vec![Column::Streams, Column::Link]; "util alone")]
#[test_case("util,x0,x1" => vec![Column::Other, Column::Link, Column::Uplink]; "x0 beside it")]
fn columns_are_told_apart(columns: &str) -> Vec<Column> {
    Terms::parse(&format!("{LEAST}reporting.columns={columns}\n")).unwrap().columns
}
