//! The settings document of a front (KDL), checked, to plain values. Every fault is told with file, line and
//! column. What differs by service group, and all limits, come from here; nothing here decides.
pub mod catalogue_document;
mod check;
mod document;

use knus::span::Span;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use walnutline::ids::Ms;
use walnutline::settings::PolicySettings;
use walnutline_catalogue::probe_planner::ProbeBudget;
use walnutline_dash::{SigningKey, VerifyingKey};
use walnutline_desk::session_manager::Timeouts;
use walnutline_gate::authorization::AuthorizationPolicy;
use walnutline_gate::keys::KeySet;

/// All that one front is told at its start.
pub struct FrontSettings {
    pub listen_address: SocketAddr,
    /// How viewers reach this front: the start of the URL that proofs are made for. None: the address that it
    /// listens on.
    pub public_url: Option<String>,
    /// Where the list of boxes is followed.
    pub list_address: SocketAddr,
    pub list_path: String,
    pub seed: Option<u64>,
    pub policy: PolicySettings,
    pub timeouts: Timeouts,
    /// Service groups by name, in the order of the terms, with the time that viewers wait.
    pub service_groups: Vec<(String, Ms)>,
    pub viewer_limits: ViewerLimits,
    pub authorization: AuthorizationPolicy,
    /// Proofs that are remembered at most within their window.
    pub max_stored_proofs: usize,
    pub manifest: ManifestSettings,
    /// None: the front has no catalogue.
    pub catalogue: Option<CatalogueSettings>,
    /// Keys that viewers' tokens are signed with.
    pub issuer_keys: KeySet<VerifyingKey>,
    /// Keys that sessions' tokens are signed with.
    pub session_keys: KeySet<SigningKey>,
}

/// Limits on viewers' connections. What happens at each stands in docs/operate/front.md.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ViewerLimits {
    pub max_connections: usize,
    pub max_header_bytes: usize,
    pub max_headers: usize,
    /// For a whole request to come in, from its first byte.
    pub request_timeout_ms: Ms,
    /// For the next request to begin.
    pub idle_timeout_ms: Ms,
    /// Requests taken ahead of the answer to the one before.
    pub max_pipelined: usize,
    /// For an answer to be taken off.
    pub write_timeout_ms: Ms,
}

/// Where the catalogue is kept and followed, and what is made of it.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogueSettings {
    pub folder: PathBuf,
    /// Its publisher: address, and the path that `/snapshot` and `/changes` stand under.
    pub source: Option<(SocketAddr, String)>,
    /// What news of boxes may cost that is asked for ahead of requests.
    pub probe_budget: ProbeBudget,
    /// Whether titles' true rates are reckoned with.
    pub use_title_rates: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ManifestSettings {
    pub segment_duration_ms: Ms,
    pub update_period_ms: Ms,
    /// How long a session's token is good.
    pub session_token_lifetime_ms: Ms,
}

/// What is wrong with a document, and where. Lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentError {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub reason: String,
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.reason)
    }
}

/// Reads a document from a file; keys named in it by file stand beside it.
pub fn load(path: &Path) -> Result<FrontSettings, Vec<DocumentError>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![DocumentError { file: file.clone(), line: 1, column: 1, reason: format!("cannot be read: {e}") }]
    })?;
    parse(&file, &text, path.parent().unwrap_or(Path::new(".")))
}

pub fn parse(file: &str, text: &str, folder: &Path) -> Result<FrontSettings, Vec<DocumentError>> {
    let fault = |(offset, reason): (usize, String)| {
        let (line, column) = place(text, offset);
        DocumentError { file: file.into(), line, column, reason }
    };
    if let Some(offset) = too_deep(text) {
        return Err(vec![fault((offset, format!("nested deeper than {DEEPEST}")))]);
    }
    let document = knus::parse_with_context::<document::Document, Span, _>(file, text, |_| {});
    let document = document.map_err(|e| syntax(&e).into_iter().map(fault).collect::<Vec<_>>())?;
    check::deployment(document, folder).map_err(|faults| faults.into_iter().map(fault).collect())
}

/// Deepest nesting of braces that is read: the reader calls itself for each, and a document needs three.
const DEEPEST: usize = 16;

/// Where braces nest too deep. Braces in texts count too, which no sound document brings near the limit.
fn too_deep(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    for (at, b) in text.bytes().enumerate() {
        match b {
            b'{' => depth += 1,
            b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Some(at);
        }
    }
    None
}

/// Place and message of each thing that the reader found wrong.
fn syntax(error: &knus::Error) -> Vec<(usize, String)> {
    use miette::Diagnostic;
    let mut faults = Vec::new();
    for d in error.related().into_iter().flatten() {
        let label = d.labels().into_iter().flatten().next();
        let offset = label.as_ref().map_or(0, |l| l.offset());
        let more = label.and_then(|l| l.label().map(str::to_owned)).filter(|l| !l.is_empty());
        let reason = match more {
            Some(more) => format!("{d}: {more}"),
            None => d.to_string(),
        };
        faults.push((offset, reason));
    }
    if faults.is_empty() {
        faults.push((0, error.to_string()));
    }
    faults
}

fn place(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let start = before.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
    (line, String::from_utf8_lossy(&before[start..]).chars().count() + 1)
}

#[cfg(test)]
mod tests;
