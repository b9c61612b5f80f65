//! The `walnutline` command: parses the command line, sets up logging and runs the chosen sub-command.
mod bench;
mod bench_catalogue;
mod catalogue;
mod front;
mod node;
mod token;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "walnutline",
    version,
    about = "A session front for media boxes, with rehearsal and measuring tools"
)]
struct Cli {
    /// Write log lines as JSON instead of text.
    #[arg(long, global = true)]
    json_log: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front until SIGTERM; SIGHUP reloads its keys from the settings document.
    Front(front::Args),
    /// Run a front node on the operators' platform until SIGTERM, configured by NODE_NAME, NODE_LISTEN and
    /// NODE_CONFIG.
    Node,
    /// Check a settings document and list every error with its position.
    Check { file: PathBuf },
    /// Load, show, change and verify a stored catalogue.
    #[command(subcommand)]
    Catalogue(catalogue::Command),
    /// Create keys, tokens and proofs.
    #[command(subcommand)]
    Token(token::Command),
    /// Run a fault script against simulated boxes and viewers, and check the traffic that their sockets see.
    Rehearse(walnutline_rehearsal::runner::RehearseArgs),
    /// Run one simulated box; prints its entry for a box list.
    Box(walnutline_rehearsal::standalone::BoxArgs),
    /// Serve a box list from a file; prints the address it is served at.
    List(walnutline_rehearsal::standalone::ListArgs),
    /// Run simulated viewers against fronts.
    Viewers(walnutline_rehearsal::standalone::ViewersArgs),
    /// Run benchmarks; they take long and are not part of CI.
    #[command(subcommand)]
    Bench(bench::Command),
    /// Check the records of an earlier rehearsal again.
    Audit { records: PathBuf },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    init_logging(cli.json_log);
    let result = match cli.command {
        Command::Front(args) => front::run(args),
        Command::Node => node::run(),
        Command::Check { file } => front::check(&file),
        Command::Catalogue(command) => catalogue::run(command),
        Command::Token(command) => token::run(command),
        Command::Rehearse(args) => walnutline_rehearsal::runner::run(args),
        Command::Box(args) => walnutline_rehearsal::standalone::run_box(args),
        Command::List(args) => walnutline_rehearsal::standalone::run_list(args),
        Command::Viewers(args) => walnutline_rehearsal::standalone::run_viewers(args),
        Command::Bench(command) => bench::run(command),
        Command::Audit { records } => walnutline_rehearsal::audit::run(&records),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("walnutline: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Sends logs to standard error, filtered by `RUST_LOG`.
fn init_logging(json: bool) {
    // `may` logs an error for each signal that interrupts its poll, which floods the log of a process that is often
    // stopped and continued.
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info,may=off"));
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if json {
        subscriber.json().init();
    } else {
        subscriber.init();
    }
}
