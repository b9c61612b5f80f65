//! The rehearsal commands: a short fault script against real fronts as processes, errors in scripts and settings, and
//! the simulated box, list server and viewers as commands of their own.
mod support;

use std::path::PathBuf;
use std::process::Command;

/// Runs the binary. Returns whether it succeeded, and what it printed.
fn run_command(args: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_walnutline")).args(args).output().unwrap();
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    (output.status.success(), text)
}

fn records_path() -> PathBuf {
    std::env::temp_dir().join(format!("walnutline-records-{}.jsonl", std::process::id()))
}

#[test]
fn short_fault_script_keeps_all_rules() {
    let records = records_path();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/days/short.day");
    let (succeeded, text) = run_command(&["rehearse", script, "--records", records.to_str().unwrap()]);
    assert!(succeeded && text.contains("rules all kept"), "{text}");
    let verdict =
        |text: &str| text.lines().filter(|line| line.starts_with("service ")).map(str::to_owned).next();
    // An audit of the records gives the same verdict.
    let (succeeded, audited) = run_command(&["audit", records.to_str().unwrap()]);
    assert!(succeeded, "{audited}");
    assert_eq!(verdict(&audited), verdict(&text));
    // Without the front's answer to the last request, the audit fails.
    let all = std::fs::read_to_string(&records).unwrap();
    let answer = all.lines().rfind(|line| line.contains("\"saw\":\"answered\"")).unwrap();
    std::fs::write(&records, all.replacen(&format!("{answer}\n"), "", 1)).unwrap();
    let (succeeded, broken) = run_command(&["audit", records.to_str().unwrap()]);
    std::fs::remove_file(&records).unwrap();
    assert!(!succeeded && broken.contains("rule 1 broken"), "{broken}");
}

#[test]
fn errors_in_scripts_and_settings_name_their_position() {
    let directory = std::env::temp_dir().join(format!("walnutline-faults-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let script = directory.join("bad.day");
    std::fs::write(&script, "boxes 3 in 1 racks\nat 5s explode\n").unwrap();
    let (succeeded, text) = run_command(&["rehearse", script.to_str().unwrap()]);
    assert!(!succeeded && text.contains("bad.day:2:7: "), "{text}");
    let settings = directory.join("f.kdl");
    std::fs::write(&settings, "listen \"here\"\n").unwrap();
    let (succeeded, text) = run_command(&["check", settings.to_str().unwrap()]);
    assert!(!succeeded && text.contains("f.kdl:"), "{text}");
    std::fs::remove_dir_all(&directory).unwrap();
}

/// Child processes that are killed when this is dropped.
struct ChildProcesses(Vec<std::process::Child>);

impl Drop for ChildProcesses {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

#[test]
fn box_list_and_viewers_run_as_separate_commands() {
    use std::io::{BufRead, BufReader};
    use std::process::Stdio;
    let directory = std::env::temp_dir().join(format!("walnutline-alone-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let path = |name: &str| directory.join(name).to_str().unwrap().to_owned();
    for key in ["k1", "f1"] {
        let (succeeded, text) = run_command(&["token", "key", &path(key)]);
        assert!(succeeded, "{text}");
    }
    let (succeeded, text) = run_command(&["token", "key", &path("k1")]);
    assert!(!succeeded && text.contains("k1.secret"), "an existing key is not overwritten: {text}");
    let mut running = ChildProcesses(Vec::new());
    // Starts a command and returns the first line that it prints.
    let mut start = |args: &[&str]| {
        let mut child =
            Command::new(env!("CARGO_BIN_EXE_walnutline")).args(args).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        running.0.push(child);
        BufReader::new(stdout).read_line(&mut line).unwrap();
        line.trim().to_owned()
    };
    let key = format!("f1={}", path("f1.pub"));
    let list_entry = start(&["box", "--id", "4", "--front-key", &key, "--records", &path("box.jsonl")]);
    std::fs::write(path("boxes.json"), &list_entry).unwrap();
    let list_url = start(&["list", &path("boxes.json"), "--records", &path("list.jsonl")]);
    let list_address = list_url.strip_prefix("http://").unwrap().split('/').next().unwrap().parse().unwrap();
    std::fs::write(path("f.kdl"), support::settings_document(list_address)).unwrap();
    let front_address = support::wait_until("the front to listen", || {
        if !PathBuf::from(path("address")).exists() && running.0.len() == 2 {
            let front = Command::new(env!("CARGO_BIN_EXE_walnutline"))
                .args(["front", &path("f.kdl"), "--address-file", &path("address")])
                .spawn();
            running.0.push(front.unwrap());
        }
        std::fs::read_to_string(path("address")).ok()
    });
    let run_viewers = |title: &str| {
        let issuer = path("k1.secret");
        let records = path("viewers.jsonl");
        let mut args = vec!["viewers", "--front", &front_address, "--issuer", &issuer, "--key-id", "k1"];
        args.extend(["--title", title, "--seconds", "0.6", "--rate", "10", "--records", &records]);
        run_command(&args)
    };
    // The settings document has one of the two service groups that viewers use: some sessions play, some are refused.
    support::wait_until("a session to play", || {
        let (succeeded, text) = run_viewers("water=4");
        assert!(succeeded, "{text}");
        let summary = text.lines().find(|line| line.starts_with("requests "))?.to_owned();
        (!summary.ends_with("played 0")).then_some(())
    });
    drop(running);
    std::fs::remove_dir_all(&directory).unwrap();
}
