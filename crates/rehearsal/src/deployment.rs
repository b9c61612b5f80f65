//! The deployment that a rehearsal plays: the depot's terms, the fronts' documents, their folder.
use crate::depot::Kind;
use crate::record::{GroupTerms, Terms};
use crate::script::Script;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

/// Length of a segment, in milliseconds.
pub const SEGMENT: f64 = 500.0;

/// The depot's terms: what the fronts' documents and the auditor say alike.
pub fn kind(script: &Script) -> Kind {
    Kind {
        streams: 40,
        link_kb: 12_000.0,
        uplink_kb: 12_000.0 * f64::from(script.boxes) / f64::from(script.racks) * 0.9,
        rung_kb: vec![200.0, 400.0, 700.0, 1_200.0],
        cold: 6_000.0,
        cold_from: 0.4,
        tip_multiple: 3.0,
        tip_after: 1_000.0,
        busy_from: 1.2,
    }
}

pub fn terms() -> Terms {
    let group = |name: &str, start_target, patience, utility| GroupTerms {
        name: name.into(),
        start_target,
        patience,
        utility,
        repeat: true,
        floor: 0,
        seats: 0,
    };
    Terms {
        groups: vec![
            group("council-notice", 1_000.0, 3_000.0, 3.0),
            group("board-loop", 1_500.0, 4_000.0, 1.0),
        ],
        rungs: 4,
        drain_grace: 250.0,
        max_setups: 3,
        budget: Some((5.0, 0.2, 10_000.0)),
        least_timeout: 100.0,
    }
}

/// The settings document of one front of a depot.
pub fn document(script: &Script, kind: &Kind, terms: &Terms, list: SocketAddr, front: u32) -> String {
    let mut text = format!("listen \"127.0.0.1:0\"\nlist \"http://{list}/boxes/{front}\"\n");
    text +=
        &format!("fronts {}\nseed {}\nladder {{\n", script.fronts, script.seed * 1_000 + u64::from(front));
    for (rung, kb) in kind.rung_kb.iter().enumerate() {
        let utility = (rung + 1) as f64 / kind.rung_kb.len() as f64;
        text += &format!("    rung kb={kb} utility={utility}\n");
    }
    text += "}\n";
    for g in &terms.groups {
        text += &format!(
            "service-group \"{}\" start-target={} setup-timeout={} utility={} repeat=\"safe\"\n",
            g.name, g.start_target, g.patience, g.utility
        );
    }
    text += &format!("kind \"box\" streams={}\n", kind.streams);
    text += &format!("links link-kb={} uplink-kb={}\n", kind.link_kb, kind.uplink_kb);
    text += "reports via=\"probe\" delay=800 {\n    columns \"streams\" \"link\" \"uplink\"\n}\n";
    let (free, share, span) = terms.budget.unwrap_or((0.0, 0.0, 1_000.0));
    text += &format!(
        "setups most={} {{\n    budget free={free} share={share} span={span}\n}}\n",
        terms.max_setups
    );
    text += &format!(
        "cold lasts={} from={} multiple={} span={}\n",
        kind.cold, kind.cold_from, kind.tip_multiple, kind.tip_after
    );
    text += "come-back most=800\nwaits connect=500 probe=300 silence=15000 way-back=60\n";
    text += "viewers connections=4000 header-bytes=8192 headers=64 header-time=5000 idle=60000 pipelined=4 ";
    text += "write-time=5000\ntokens proof-age=10000 clock-skew=2000 proofs=200000 {\n";
    text += "    issuer-key \"k1\" file=\"k1.pub\"\n";
    text += &format!("    session-key \"f{front}\" file=\"f{front}.secret\"\n}}\n");
    text + &format!("manifest segment={SEGMENT} update=2000 token-lasts=600000\n")
}

/// Files of one rehearsal, gone with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Result<Self, String> {
        let unique = Instant::now();
        let name = format!("walnutline-rehearsal-{}-{unique:?}", std::process::id());
        let name: String = name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').collect();
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }

    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.0.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
