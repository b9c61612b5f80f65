//! The settings document of a front (KDL), checked, to plain values. Every fault is told with file, line and
//! column. What differs by service group, and all limits, come from here; nothing here decides.
mod check;
mod document;
pub mod titles;

use knus::span::Span;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use walnutline::ids::Ms;
use walnutline::settings::PolicySettings;
use walnutline_auth::authorization::AuthorizationPolicy;
use walnutline_auth::keys::KeySet;
use walnutline_catalogue::probe_planner::ProbeBudget;
use walnutline_dash::{SigningKey, VerifyingKey};
use walnutline_sessions::session_manager::Timeouts;

/// All that one front is told at its start.
pub struct Deployment {
    pub listen: SocketAddr,
    /// How viewers reach this front: the start of the URL that proofs are made for. None: the address that it
    /// listens on.
    pub public_url: Option<String>,
    /// Where the list of boxes is followed.
    pub list: SocketAddr,
    pub list_path: String,
    pub seed: Option<u64>,
    pub terms: PolicySettings,
    pub waits: Timeouts,
    /// Service groups by name, in the order of the terms, with the time that viewers wait.
    pub groups: Vec<(String, Ms)>,
    pub viewers: ViewerLimits,
    pub admission: AuthorizationPolicy,
    /// Proofs that are remembered at most within their window.
    pub proofs: usize,
    pub manifest: ManifestTerms,
    /// None: the front has no catalogue.
    pub catalogue: Option<CatalogueTerms>,
    /// Keys that viewers' tokens are signed with.
    pub issuer: KeySet<VerifyingKey>,
    /// Keys that sessions' tokens are signed with.
    pub session: KeySet<SigningKey>,
}

/// Limits on viewers' connections. What happens at each stands in docs/operate/front.md.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ViewerLimits {
    pub connections: usize,
    pub header_bytes: usize,
    pub headers: usize,
    /// For a whole request to come in, from its first byte.
    pub header_time: Ms,
    /// For the next request to begin.
    pub idle: Ms,
    /// Requests taken ahead of the answer to the one before.
    pub pipelined: usize,
    /// For an answer to be taken off.
    pub write_time: Ms,
}

/// Where the catalogue is kept and followed, and what is made of it.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogueTerms {
    pub folder: PathBuf,
    /// Its publisher: address, and the path that `/snapshot` and `/changes` stand under.
    pub source: Option<(SocketAddr, String)>,
    /// What news of boxes may cost that is asked for ahead of requests.
    pub price: ProbeBudget,
    /// Whether titles' true rates are reckoned with.
    pub rates: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ManifestTerms {
    pub segment: Ms,
    pub update: Ms,
    /// How long a session's token is good.
    pub token_lasts: Ms,
}

/// What is wrong with a document, and where. Lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub why: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.why)
    }
}

/// Reads a document from a file; keys named in it by file stand beside it.
pub fn load(path: &Path) -> Result<Deployment, Vec<Fault>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![Fault { file: file.clone(), line: 1, column: 1, why: format!("cannot be read: {e}") }]
    })?;
    parse(&file, &text, path.parent().unwrap_or(Path::new(".")))
}

pub fn parse(file: &str, text: &str, folder: &Path) -> Result<Deployment, Vec<Fault>> {
    let fault = |(offset, why): (usize, String)| {
        let (line, column) = place(text, offset);
        Fault { file: file.into(), line, column, why }
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
        let why = match more {
            Some(more) => format!("{d}: {more}"),
            None => d.to_string(),
        };
        faults.push((offset, why));
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
