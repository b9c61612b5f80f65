//! What a rehearsal deploys: the settings of boxes and audit, the fronts' configuration documents, and their folder.
use crate::fleet::BoxSettings;
use crate::record::{AuditSettings, GroupSettings};
use crate::script::Script;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

/// Nominal duration of a segment.
pub const SEGMENT_MS: f64 = 500.0;

/// Settings of the boxes; the fronts' documents state the same values.
pub fn box_settings(script: &Script) -> BoxSettings {
    BoxSettings {
        max_streams: 40,
        link_kb_per_s: 12_000.0,
        uplink_kb_per_s: 12_000.0 * f64::from(script.boxes) / f64::from(script.racks) * 0.9,
        rung_kb_per_s: vec![200.0, 400.0, 700.0, 1_200.0],
        warm_up_ms: 6_000.0,
        initial_share: 0.4,
        cold_rate_multiple: 3.0,
        cold_window_ms: 1_000.0,
        busy_link_use: 1.2,
    }
}

/// Settings that the auditor judges by; the fronts' documents state the same values.
pub fn audit_settings() -> AuditSettings {
    let group = |name: &str, start_target_ms, wait_limit_ms, utility| GroupSettings {
        name: name.into(),
        start_target_ms,
        wait_limit_ms,
        utility,
        repeatable: true,
        lowest_rung: 0,
        max_sessions_per_title: 0,
    };
    AuditSettings {
        groups: vec![
            group("council-notice", 1_000.0, 3_000.0, 3.0),
            group("board-loop", 1_500.0, 4_000.0, 1.0),
        ],
        rung_count: 4,
        drain_grace_ms: 250.0,
        max_setups: 3,
        retry_budget: Some((5.0, 0.2, 10_000.0)),
        min_setup_timeout_ms: 100.0,
    }
}

/// The configuration document of one front.
pub fn front_document(
    script: &Script,
    box_settings: &BoxSettings,
    audit_settings: &AuditSettings,
    list_address: SocketAddr,
    front: u32,
) -> String {
    let mut text = format!("listen \"127.0.0.1:0\"\nlist \"http://{list_address}/boxes/{front}\"\n");
    text +=
        &format!("fronts {}\nseed {}\nladder {{\n", script.fronts, script.seed * 1_000 + u64::from(front));
    for (rung, kb_per_s) in box_settings.rung_kb_per_s.iter().enumerate() {
        let utility = (rung + 1) as f64 / box_settings.rung_kb_per_s.len() as f64;
        text += &format!("    rung kb={kb_per_s} utility={utility}\n");
    }
    text += "}\n";
    for group in &audit_settings.groups {
        text += &format!(
            "service-group \"{}\" start-target={} setup-timeout={} utility={} repeat=\"safe\"\n",
            group.name, group.start_target_ms, group.wait_limit_ms, group.utility
        );
    }
    text += &format!("kind \"box\" streams={}\n", box_settings.max_streams);
    text +=
        &format!("links link-kb={} uplink-kb={}\n", box_settings.link_kb_per_s, box_settings.uplink_kb_per_s);
    text += "reports via=\"probe\" delay=800 {\n    columns \"streams\" \"link\" \"uplink\"\n}\n";
    let (free, share, window) = audit_settings.retry_budget.unwrap_or((0.0, 0.0, 1_000.0));
    text += &format!(
        "setups most={} {{\n    budget free={free} share={share} span={window}\n}}\n",
        audit_settings.max_setups
    );
    text += &format!(
        "cold lasts={} from={} multiple={} span={}\n",
        box_settings.warm_up_ms,
        box_settings.initial_share,
        box_settings.cold_rate_multiple,
        box_settings.cold_window_ms
    );
    text += "come-back most=800\nwaits connect=500 probe=300 silence=15000 way-back=60\n";
    text += "viewers connections=4000 header-bytes=8192 headers=64 header-time=5000 idle=60000 pipelined=4 ";
    text += "write-time=5000\ntokens proof-age=10000 clock-skew=2000 proofs=200000 {\n";
    text += "    issuer-key \"k1\" file=\"k1.pub\"\n";
    text += &format!("    session-key \"f{front}\" file=\"f{front}.secret\"\n}}\n");
    text + &format!("manifest segment={SEGMENT_MS} update=2000 token-lasts=600000\n")
}

/// A temporary folder, deleted with this value.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder with a name of its own.
    pub fn new() -> Result<Self, String> {
        let now = Instant::now();
        let name = format!("walnutline-rehearsal-{}-{now:?}", std::process::id());
        let name: String = name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').collect();
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(TempFolder(path))
    }

    /// Writes a file into the folder.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.0.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
