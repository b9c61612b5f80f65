//! Guards the record file format: records written before a rename in the code must be read, and written again to the
//! same bytes, whatever the fields and variants are called in the code.
use walnutline_rehearsal::record::{self, Observation, Record};
use walnutline_rehearsal::script::{self, Fault};

/// One line of each tag, with every field; settings with and without a retry budget.
const LINES: &str = r#"{"at":1.5,"saw":"terms","groups":[{"name":"any","start_target":1000.0,"patience":3000.0,"utility":2.0,"repeat":true,"floor":1,"seats":4}],"rungs":3,"drain_grace":250.0,"max_setups":3,"budget":[5.0,0.2,10000.0],"least_timeout":100.0}
{"at":1.5,"saw":"terms","groups":[],"rungs":3,"drain_grace":250.0,"max_setups":3,"budget":null,"least_timeout":100.0}
{"at":2.0,"saw":"asked","viewer":7,"req":8,"front":1,"title":"/m/a.mpd","group":"any","wait":3000.0}
{"at":3.0,"saw":"answered","req":8,"status":200,"session":9,"server":2}
{"at":3.0,"saw":"answered","req":8,"status":503,"session":null,"server":null}
{"at":4.0,"saw":"no-answer","req":8}
{"at":5.0,"saw":"gave-up","req":8}
{"at":6.0,"saw":"left","req":8}
{"at":7.0,"saw":"again","req":8}
{"at":8.0,"saw":"segment","session":9,"server":2,"share":0.75}
{"at":9.0,"saw":"setup","server":2,"front":1,"session":9,"title":"a","group":"any","rung":1}
{"at":10.0,"saw":"setup-done","server":2,"session":9,"status":453}
{"at":11.0,"saw":"rung","server":2,"session":9,"rung":0}
{"at":12.0,"saw":"over","server":2,"session":9,"why":"torn-down"}
{"at":13.0,"saw":"told","front":1,"server":2,"state":"draining"}
{"at":14.0,"saw":"box-up","server":2}
{"at":15.0,"saw":"box-down","server":2,"why":"fell over"}
{"at":16.0,"saw":"front-up","front":1}
{"at":17.0,"saw":"front-down","front":1}
{"at":18.0,"saw":"trouble","what":"Kill(Box(3))"}
{"at":19.0,"saw":"kit-late","ms":120.0}
"#;

#[test]
fn stored_records_are_read_and_written_unchanged() {
    let records = record::parse(LINES).unwrap();
    let written: String = records.iter().map(|r| serde_json::to_string(r).unwrap() + "\n").collect();
    assert_eq!(written, LINES);
}

#[test]
fn stored_names_belong_to_their_fields() {
    let records = record::parse(LINES).unwrap();
    let Observation::Settings(settings) = &records[0].observation else { panic!("{:?}", records[0]) };
    assert_eq!((settings.rung_count, settings.drain_grace_ms), (3, 250.0));
    assert_eq!((settings.max_setups, settings.min_setup_timeout_ms), (3, 100.0));
    assert_eq!(settings.retry_budget, Some((5.0, 0.2, 10_000.0)));
    let group = &settings.groups[0];
    assert_eq!((group.start_target_ms, group.wait_limit_ms, group.utility), (1_000.0, 3_000.0, 2.0));
    assert_eq!((group.repeatable, group.lowest_rung, group.max_sessions_per_title), (true, 1, 4));
    let session_ended = Observation::SessionEnded { server: 2, session: 9, reason: "torn-down".into() };
    let expected = [
        (
            2,
            2.0,
            Observation::RequestSent {
                viewer: 7,
                request: 8,
                front: 1,
                title: "/m/a.mpd".into(),
                group: "any".into(),
                wait_limit_ms: 3_000.0,
            },
        ),
        (3, 3.0, Observation::Answered { request: 8, status: 200, session: Some(9), server: Some(2) }),
        (5, 4.0, Observation::NoAnswer { request: 8 }),
        (6, 5.0, Observation::WaitLimitExceeded { request: 8 }),
        (7, 6.0, Observation::ViewerLeft { request: 8 }),
        (8, 7.0, Observation::ExtraData { request: 8 }),
        (9, 8.0, Observation::SegmentPlayed { session: 9, server: 2, delivered_share: 0.75 }),
        (11, 10.0, Observation::SetupAnswered { server: 2, session: 9, status: 453 }),
        (12, 11.0, Observation::RungSet { server: 2, session: 9, rung: 0 }),
        (13, 12.0, session_ended),
        (14, 13.0, Observation::ListEntrySent { front: 1, server: 2, state: "draining".into() }),
        (16, 15.0, Observation::BoxDown { server: 2, reason: "fell over".into() }),
        (19, 18.0, Observation::FaultInjected { description: "Kill(Box(3))".into() }),
        (20, 19.0, Observation::RecorderLate { delay_ms: 120.0 }),
    ];
    for (index, at_ms, observation) in expected {
        assert_eq!(records[index], Record { at_ms, observation });
    }
}

#[test]
fn faults_keep_the_form_in_which_they_are_recorded() {
    let cases = [
        ("at 5s kill 3 boxes", "Kill(Some(3))"),
        ("at 5s restart rack 1", "Restart(Rack(1))"),
        ("at 5s hang box 2 for 4s", "Hang { which: Box(2), lasts: 4000.0 }"),
        ("at 5s errors all boxes 50% for 5s", "Errors { which: All, share: 0.5, lasts: 5000.0 }"),
        (
            "at 5s lose answers of box 1 30% for 5s",
            "LoseAnswers { which: Box(1), share: 0.3, lasts: 5000.0 }",
        ),
        ("at 5s links of rack 1 at 50% for 9s", "Links { which: Rack(1), share: 0.5, lasts: 9000.0 }"),
        ("at 5s reports 2s late for 9s", "ReportsLate { late: 2000.0, lasts: 9000.0 }"),
        ("at 5s list 3s late for 9s", "ListLate { late: 3000.0, lasts: 9000.0 }"),
        ("at 5s crowd x4 on 2 titles for 5s", "Crowd { times: 4.0, titles: 2, lasts: 5000.0 }"),
        ("at 5s roll all boxes by 3 every 3s", "Roll { which: All, by: 3, every: 3000.0 }"),
        ("at 5s fronts restart within 1s", "FrontsRestart { within: 1000.0 }"),
        ("at 5s stop front 1 for 2s", "StopFront { front: 1, lasts: 2000.0 }"),
    ];
    for (statement, recorded) in cases {
        let faults: Vec<(f64, Fault)> = script::parse("script", statement).unwrap().faults;
        assert_eq!(format!("{:?}", faults[0].1), recorded);
    }
}
