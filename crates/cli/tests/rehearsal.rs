//! A short bad day by the command itself: real fronts as processes, judged from the stand-ins' sockets.
mod support;

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

/// Ends what it started.
struct Ends(Vec<std::process::Child>);

impl Drop for Ends {
    fn drop(&mut self) {
        for c in &mut self.0 {
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}

#[test]
fn the_stand_ins_one_by_one() {
    use std::io::{BufRead, BufReader};
    use std::process::Stdio;
    let folder = std::env::temp_dir().join(format!("walnutline-alone-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let at = |name: &str| folder.join(name).to_str().unwrap().to_owned();
    for key in ["k1", "f1"] {
        let (good, text) = command(&["token", "key", &at(key)]);
        assert!(good, "{text}");
    }
    let (good, text) = command(&["token", "key", &at("k1")]);
    assert!(!good && text.contains("k1.secret"), "a key is not written over: {text}");
    let mut running = Ends(Vec::new());
    // Starts one and returns the first line that it prints.
    let mut start = |args: &[&str]| {
        let mut child =
            Command::new(env!("CARGO_BIN_EXE_walnutline")).args(args).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        running.0.push(child);
        BufReader::new(out).read_line(&mut line).unwrap();
        line.trim().to_owned()
    };
    let key = format!("f1={}", at("f1.pub"));
    let boxes = start(&["box", "--id", "4", "--front-key", &key, "--records", &at("box.jsonl")]);
    std::fs::write(at("boxes.json"), &boxes).unwrap();
    let list = start(&["list", &at("boxes.json"), "--records", &at("list.jsonl")]);
    let address = list.strip_prefix("http://").unwrap().split('/').next().unwrap().parse().unwrap();
    std::fs::write(at("f.kdl"), support::document(address)).unwrap();
    let listed = support::until("the front is up", || {
        if !PathBuf::from(at("address")).exists() && running.0.len() == 2 {
            let front = Command::new(env!("CARGO_BIN_EXE_walnutline"))
                .args(["front", &at("f.kdl"), "--address-file", &at("address")])
                .spawn();
            running.0.push(front.unwrap());
        }
        std::fs::read_to_string(at("address")).ok()
    });
    let viewers = |title: &str| {
        let issuer = at("k1.secret");
        let records = at("viewers.jsonl");
        let mut args = vec!["viewers", "--front", &listed, "--issuer", &issuer, "--key-id", "k1"];
        args.extend(["--title", title, "--seconds", "0.6", "--rate", "10", "--records", &records]);
        command(&args)
    };
    // The document knows one service group of the two that viewers come with: some play, some are refused.
    support::until("a viewer plays", || {
        let (good, text) = viewers("water=4");
        assert!(good, "{text}");
        let told = text.lines().find(|l| l.starts_with("requests "))?.to_owned();
        (!told.ends_with("played 0")).then_some(())
    });
    drop(running);
    std::fs::remove_dir_all(&folder).unwrap();
}
