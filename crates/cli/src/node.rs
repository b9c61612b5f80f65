//! `walnutline node`: runs the front node on the operators' platform.
use std::path::PathBuf;
use walnutline_node::edge::{self, StartOptions};

/// Runs the front node until SIGTERM. Its start options come from environment variables, as the platform requires.
pub fn run() -> Result<(), String> {
    let variable = |name: &str| match std::env::var(name) {
        Ok(value) if !value.is_empty() => Ok(value),
        _ => Err(format!("{name}: not set")),
    };
    let listen_address = variable("NODE_LISTEN")?;
    let listen_address = listen_address.parse().map_err(|e| format!("NODE_LISTEN: {listen_address}: {e}"))?;
    let name = variable("NODE_NAME")?;
    tracing::info!(target: "walnutline::mode", name, "node starts");
    edge::run(StartOptions { listen_address, configuration_path: PathBuf::from(variable("NODE_CONFIG")?) })
}
