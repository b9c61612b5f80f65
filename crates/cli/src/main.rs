//! The `walnutline` command.
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
#[command(name = "walnutline", version, about = "A session front for media boxes, and its rehearsal kit")]
struct Cli {
    /// Log lines as JSON instead of text.
    #[arg(long, global = true)]
    json_log: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front until SIGTERM; SIGHUP takes its keys anew from the document.
    Front(front::Args),
    /// Run a front node on the operators' platform until SIGTERM; NODE_NAME, NODE_LISTEN and NODE_CONFIG tell it all.
    Node,
    /// Check a settings document and tell every fault with its place.
    Check { file: PathBuf },
    /// Load, look at and check a stored catalogue.
    #[command(subcommand)]
    Catalogue(catalogue::Command),
    /// Make keys and tokens.
    #[command(subcommand)]
    Token(token::Command),
    /// Play a script of trouble on a depot of stand-ins and judge it from the sockets.
    Rehearse(walnutline_rehearsal::runner::RehearseArgs),
    /// Run one stand-in box; prints its line for a list.
    Box(walnutline_rehearsal::standalone::BoxArgs),
    /// Serve a list of boxes from a file; prints its address.
    List(walnutline_rehearsal::standalone::ListArgs),
    /// Let stand-in viewers come to fronts.
    Viewers(walnutline_rehearsal::standalone::ViewersArgs),
    /// Measure; long, and no part of CI.
    #[command(subcommand)]
    Bench(bench::Command),
    /// Judge the records of a rehearsal again.
    Audit { records: PathBuf },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    log(cli.json_log);
    let done = match cli.command {
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
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("walnutline: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Logs go to standard error; `RUST_LOG` narrows or widens them.
fn log(json: bool) {
    // The coroutine library reports each signal that interrupts its poll as an error: a machine that is often stopped
    // and continued would write of nothing else.
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info,may=off"));
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if json {
        log.json().init();
    } else {
        log.init();
    }
}
