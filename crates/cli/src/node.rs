//! `walnutline node`: the front node on the operators' platform.
use std::path::PathBuf;
use walnutline_node::edge::{self, StartOptions};

/// Runs until SIGTERM; what it is told comes by the environment, as the platform prescribes.
pub fn run() -> Result<(), String> {
    let told = |name: &str| match std::env::var(name) {
        Ok(value) if !value.is_empty() => Ok(value),
        _ => Err(format!("{name}: not set")),
    };
    let listen = told("NODE_LISTEN")?;
    let listen = listen.parse().map_err(|e| format!("NODE_LISTEN: {listen}: {e}"))?;
    let name = told("NODE_NAME")?;
    tracing::info!(target: "walnutline::mode", name, "node starts");
    edge::run(StartOptions {
        listen_address: listen,
        configuration_path: PathBuf::from(told("NODE_CONFIG")?),
    })
}
