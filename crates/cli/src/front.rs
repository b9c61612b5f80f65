//! `walnutline front` runs a front from a settings document; `walnutline check` only checks the document.
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use std::time::Duration;
use walnutline_settings::FrontSettings;

/// Arguments of `walnutline front`.
#[derive(clap::Args)]
pub struct Args {
    /// The settings document.
    file: PathBuf,
    /// Number of threads that run coroutines.
    #[arg(long, default_value_t = 2)]
    workers: usize,
    /// Write the listening address to this file once the front accepts connections.
    #[arg(long)]
    address_file: Option<PathBuf>,
}

fn load(file: &Path) -> Result<FrontSettings, String> {
    walnutline_settings::load(file).map_err(|errors| {
        let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
        messages.join("\n")
    })
}

/// Checks a settings document and prints a summary of it.
pub fn check(file: &Path) -> Result<(), String> {
    let settings = load(file)?;
    println!(
        "{}: good; {} service groups, {} rungs",
        file.display(),
        settings.service_groups.len(),
        settings.policy.rung_kb_per_s.len()
    );
    Ok(())
}

/// Runs a front until SIGTERM or SIGINT, and reloads its keys at each SIGHUP.
pub fn run(args: Args) -> Result<(), String> {
    let settings = load(&args.file)?;
    // Every open request is answered within the longest waiting time of any service group.
    let max_wait_ms = settings.service_groups.iter().map(|(_, wait_ms)| *wait_ms).fold(0.0, f64::max);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let listen = settings.listen_address;
    let front = walnutline_front::start(settings, args.workers).map_err(|e| format!("{listen}: {e}"))?;
    if let Some(file) = &args.address_file {
        // Renamed into place: whoever waits for the file must not read it half written.
        let partial_file = file.with_extension("part");
        std::fs::write(&partial_file, front.address.to_string())
            .and_then(|()| std::fs::rename(&partial_file, file))
            .map_err(|e| format!("{}: {e}", file.display()))?;
    }
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match load(&args.file) {
            Ok(settings) => {
                front.reload_keys(settings);
                tracing::info!(target: "walnutline::mode", "keys taken anew");
            }
            Err(errors) => tracing::error!("keys stay as they were: {errors}"),
        }
    }
    tracing::info!(target: "walnutline::mode", "stopping");
    match front.stop(Duration::from_secs_f64(max_wait_ms / 1_000.0 + 1.0)) {
        0 => Ok(()),
        unanswered => Err(format!("stopped with {unanswered} requests unanswered")),
    }
}
