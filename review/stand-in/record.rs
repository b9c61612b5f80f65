//! The record of a run: one line for each thing that happened, with the milliseconds since the start.
use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();
/// File with the ids of the processes that the run has started, for a script that is ended early.
static PROCESSES: OnceLock<String> = OnceLock::new();

pub fn start(path: &str) {
    let _ = PROCESSES.set(format!("{path}.pids"));
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Milliseconds since the start of the run.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64() * 1_000.0)
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64() * 1_000.0)
}

pub fn line(actor: &str, text: &str) {
    if let Some((_, file)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:10.1} {actor:<14} {text}", now());
    }
}

pub fn add_process(id: u32) {
    let Some(path) = PROCESSES.get() else { return };
    let ids = std::fs::read_to_string(path).unwrap_or_default();
    let _ = std::fs::write(path, format!("{ids}{id}\n"));
}

pub fn forget_processes() {
    let _ = PROCESSES.get().map(std::fs::remove_file);
}
