//! A short bad day by the command itself: real fronts as processes, judged from the stand-ins' sockets.
use std::path::PathBuf;
use std::process::Command;

fn command(args: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_walnutline")).args(args).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    (out.status.success(), text)
}

fn records() -> PathBuf {
    std::env::temp_dir().join(format!("walnutline-records-{}.jsonl", std::process::id()))
}

#[test]
fn a_short_bad_day_keeps_all_rules() {
    let records = records();
    let day = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/days/short.day");
    let (good, text) = command(&["rehearse", day, "--records", records.to_str().unwrap()]);
    assert!(good && text.contains("rules all kept"), "{text}");
    let verdict = |text: &str| text.lines().filter(|l| l.starts_with("service ")).map(str::to_owned).next();
    // The records alone give the same verdict again.
    let (good, again) = command(&["audit", records.to_str().unwrap()]);
    assert!(good, "{again}");
    assert_eq!(verdict(&again), verdict(&text));
    // Without a front's answer to one request, the last, they do not.
    let all = std::fs::read_to_string(&records).unwrap();
    let answer = all.lines().rfind(|l| l.contains("\"saw\":\"answered\"")).unwrap();
    std::fs::write(&records, all.replacen(&format!("{answer}\n"), "", 1)).unwrap();
    let (good, broken) = command(&["audit", records.to_str().unwrap()]);
    std::fs::remove_file(&records).unwrap();
    assert!(!good && broken.contains("rule 1 broken"), "{broken}");
}

#[test]
fn faults_in_scripts_and_settings_have_their_place() {
    let folder = std::env::temp_dir().join(format!("walnutline-faults-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let day = folder.join("bad.day");
    std::fs::write(&day, "boxes 3 in 1 racks\nat 5s explode\n").unwrap();
    let (good, text) = command(&["rehearse", day.to_str().unwrap()]);
    assert!(!good && text.contains("bad.day:2:7: "), "{text}");
    let settings = folder.join("f.kdl");
    std::fs::write(&settings, "listen \"here\"\n").unwrap();
    let (good, text) = command(&["check", settings.to_str().unwrap()]);
    assert!(!good && text.contains("f.kdl:"), "{text}");
    std::fs::remove_dir_all(&folder).unwrap();
}
