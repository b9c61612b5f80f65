//! `walnutline front` and `walnutline check`.
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use std::time::Duration;
use walnutline_settings::FrontSettings;

#[derive(clap::Args)]
pub struct Args {
    /// The settings document.
    file: PathBuf,
    /// Threads that run coroutines.
    #[arg(long, default_value_t = 2)]
    workers: usize,
    /// Write the address that the front listens on to this file, once it does.
    #[arg(long)]
    address_file: Option<PathBuf>,
}

fn load(file: &Path) -> Result<FrontSettings, String> {
    walnutline_settings::load(file).map_err(|faults| {
        let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
        told.join("\n")
    })
}

pub fn check(file: &Path) -> Result<(), String> {
    let d = load(file)?;
    println!(
        "{}: good; {} service groups, {} rungs",
        file.display(),
        d.service_groups.len(),
        d.policy.rung_kb_per_s.len()
    );
    Ok(())
}

pub fn run(args: Args) -> Result<(), String> {
    let d = load(&args.file)?;
    // Every request in hand is answered within the longest time that a viewer waits.
    let longest = d.service_groups.iter().map(|(_, wait)| *wait).fold(0.0, f64::max);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let listen = d.listen_address;
    let front = walnutline_front::start(d, args.workers).map_err(|e| format!("{listen}: {e}"))?;
    if let Some(file) = &args.address_file {
        // Whole or not at all: it is waited for by its name.
        let part = file.with_extension("part");
        std::fs::write(&part, front.address.to_string())
            .and_then(|()| std::fs::rename(&part, file))
            .map_err(|e| format!("{}: {e}", file.display()))?;
    }
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match load(&args.file) {
            Ok(d) => {
                front.reload_keys(d);
                tracing::info!(target: "walnutline::mode", "keys taken anew");
            }
            Err(faults) => tracing::error!("keys stay as they were: {faults}"),
        }
    }
    tracing::info!(target: "walnutline::mode", "stopping");
    match front.stop(Duration::from_secs_f64(longest / 1_000.0 + 1.0)) {
        0 => Ok(()),
        left => Err(format!("stopped with {left} requests unanswered")),
    }
}
