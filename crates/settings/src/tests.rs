use super::*;
use std::path::PathBuf;

const VALID: &str = r#"listen "127.0.0.1:0"
list "http://127.0.0.1:9000/boxes"
fronts 3
ladder {
    rung kb=200 utility=0.3
    rung kb=450.5 utility=1
}
service-group "council-notice" start-target=1000 setup-timeout=4000 utility=3 repeat="safe"
service-group "board-loop" start-target=1500 setup-timeout=5000 utility=1 repeat="keyed" window=3000 floor=1
kind "box" streams=40
links link-kb=4000 uplink-kb=16000
reports via="probe" delay=800 {
    columns "streams" "link"
}
setups most=3 {
    budget free=5 share=0.2 span=10000
}
cold lasts=12000 from=0.4 multiple=2 span=1000
come-back most=800
waits connect=500 probe=300 silence=30000 way-back=60
viewers connections=1000 header-bytes=8192 headers=64 header-time=5000 idle=60000 pipelined=4 write-time=5000
tokens proof-age=10000 clock-skew=2000 proofs=100000 {
    issuer-key "k1" file="k1.pub"
    session-key "f1" file="f1.secret" until="2031-01-01T00:00:00Z"
}
manifest segment=500 update=2000 token-lasts=3600000
"#;

/// Creates a folder with the key files that the document names.
fn key_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("walnutline-settings-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let key = SigningKey::from_bytes(&[3; 32]);
    let text = |bytes: &[u8]| walnutline_dash::encode_base64url(bytes) + "\n";
    std::fs::write(folder.join("k1.pub"), text(key.verifying_key().as_bytes())).unwrap();
    std::fs::write(folder.join("f1.secret"), text(key.as_bytes())).unwrap();
    folder
}

/// Messages of the errors in `text`; `name` keeps the folders of tests apart.
fn errors(name: &str, text: &str) -> Vec<String> {
    let folder = key_folder(name);
    let result = parse("f.kdl", text, &folder);
    std::fs::remove_dir_all(folder).unwrap();
    result.err().unwrap_or_default().iter().map(DocumentError::to_string).collect()
}

#[test]
fn a_valid_document_becomes_settings() {
    let folder = key_folder("valid");
    let settings = parse("f.kdl", VALID, &folder).unwrap_or_else(|errors| panic!("{errors:?}"));
    std::fs::remove_dir_all(folder).unwrap();
    assert_eq!(settings.service_groups[1], ("board-loop".to_owned(), 5_000.0));
    assert_eq!(settings.policy.rung_kb_per_s, [200.0, 450.5]);
    assert_eq!(
        (settings.policy.service_groups[1].lowest_rung, settings.policy.service_groups[1].highest_rung),
        (1, 1)
    );
    assert_eq!(settings.policy.retry_budget.map(|b| b.free_retries), Some(5.0));
    assert!(settings.policy.reports_by_probe && settings.policy.max_retry_after.is_some());
    assert_eq!(settings.list_path, "/boxes");
    assert!(
        settings.session_keys.signing_key(1.9e12).is_some()
            && settings.session_keys.signing_key(2e12).is_none()
    );
}

#[test]
fn every_invalid_value_is_reported_with_its_position() {
    let cases = [
        ("fronts 3", "fronts 0", "f.kdl:3:8: fronts: 0 is not between 1 and 1000000"),
        ("fronts 3", "fronts 2.5", "f.kdl:3:8: fronts: 2.5 is not a whole number"),
        ("kb=450.5", "kb=100", "f.kdl:6:13: rung: its rate must be above the one before"),
        ("repeat=\"safe\"", "repeat=\"often\"", "f.kdl:8:86: repeat: \"often\" is none of"),
        ("\"streams\" \"link\"", "\"streams\" \"lnk\"", "f.kdl:13:23: columns: \"lnk\" is none of"),
        ("127.0.0.1:0\"", "here\"", "f.kdl:1:8: listen: \"here\" is not address:port"),
        ("file=\"k1.pub\"", "file=\"no.pub\"", "f.kdl:23:26: issuer-key: file"),
        ("2031-01-01T00:00:00Z", "soon", "f.kdl:24:45: until: \"soon\""),
        ("window=3000", "", "f.kdl:9:82: repeat: keyed needs a window"),
        ("floor=1", "floor=7", "f.kdl:9:"),
        (
            "\"board-loop\"",
            "\"council-notice\"",
            "f.kdl:9:15: service-group: \"council-notice\" is named twice",
        ),
    ];
    for (n, (from, to, expected)) in cases.into_iter().enumerate() {
        assert!(VALID.contains(from), "{from}");
        let found = errors(&format!("case{n}"), &VALID.replacen(from, to, 1));
        assert!(
            found.iter().any(|t| t.starts_with(expected)),
            "{to}: expected {expected:?}, found {found:?}"
        );
    }
}

#[test]
fn missing_and_unknown_names_and_invalid_kdl_are_reported() {
    for (n, (from, to, expected)) in [
        ("setups most=3", "setups", "most"),
        ("manifest segment=500", "manifest segment=500 colour=\"red\"", "colour"),
        ("come-back", "go-back", "go-back"),
        ("ladder {", "ladder {{", "f.kdl:4:"),
        ("fronts 3", "fronts \"many\"", "f.kdl:3:8:"),
    ]
    .into_iter()
    .enumerate()
    {
        let found = errors(&format!("missing{n}"), &VALID.replacen(from, to, 1));
        assert!(found.iter().any(|t| t.contains(expected)), "{to}: {found:?}");
    }
    let two_errors = VALID.replacen("fronts 3", "fronts 0", 1).replacen("most=3", "most=0", 1);
    assert_eq!(errors("two", &two_errors).len(), 2);
}

use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// A valid document with a range removed or overwritten is either accepted or rejected with a position in it.
    #[test]
    fn damaged_documents_do_not_panic(at in 0usize..1_400, len in 0usize..60, with in "\\PC{0,12}") {
        let at = VALID.char_indices().map(|(n, _)| n).nth(at.min(VALID.len() - 1)).unwrap_or(0);
        let end = (at + len).min(VALID.len());
        let text = format!("{}{with}{}", &VALID[..at], &VALID[end..]);
        if let Err(errors) = parse("f.kdl", &text, std::path::Path::new("/nowhere")) {
            prop_assert!(!errors.is_empty());
            let lines = text.split('\n').count();
            prop_assert!(errors.iter().all(|e| (1..=lines).contains(&e.line)), "{errors:?}");
        }
    }
}

#[test]
fn deep_nesting_is_rejected_with_its_position() {
    let deep = format!("listen \"x\"\n{}{}", "a {".repeat(5_000), "}".repeat(5_000));
    assert_eq!(errors("deep", &deep), ["f.kdl:2:51: nested deeper than 16"]);
}
