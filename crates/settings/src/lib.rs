//! Reads the settings document of a front node (KDL) and checks it.
//!
//! [`load`] and [`parse`] turn a document into [`FrontSettings`], plain values that the other crates use directly.
//! Every error carries file, line and column. All limits and everything that differs between service groups are
//! defined in the document; this crate makes no decisions about sessions.
pub mod catalogue_document;
mod check;
mod document;

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

/// The complete settings of one front node.
pub struct FrontSettings {
    /// Address on which viewers connect.
    pub listen_address: SocketAddr,
    /// Base URL under which viewers reach this front; proofs are checked against it. `None`: `http://` and the
    /// address that the front listens on.
    pub public_url: Option<String>,
    /// Server that publishes the list of boxes.
    pub list_address: SocketAddr,
    /// Path of the list's event stream on that server.
    pub list_path: String,
    /// Seed of the random number generators. `None`: derived from the clock and the process id.
    pub seed: Option<u64>,
    /// Settings of the placement decisions.
    pub policy: PolicySettings,
    /// Time-outs of connections to boxes and of the list and catalogue streams.
    pub timeouts: Timeouts,
    /// Name of each service group and how long its viewers wait at most, in the order of
    /// [`PolicySettings::service_groups`].
    pub service_groups: Vec<(String, Ms)>,
    /// Limits on viewers' connections.
    pub viewer_limits: ViewerLimits,
    /// Rules by which viewers' tokens and proofs are accepted.
    pub authorization: AuthorizationPolicy,
    /// Maximum number of proofs stored for replay detection.
    pub max_stored_proofs: usize,
    /// Times that apply to manifests and to the session tokens in them.
    pub manifest: ManifestSettings,
    /// `None`: the front has no catalogue.
    pub catalogue: Option<CatalogueSettings>,
    /// Public keys that verify viewers' tokens.
    pub issuer_keys: KeySet<VerifyingKey>,
    /// Private keys that sign session tokens.
    pub session_keys: KeySet<SigningKey>,
}

/// Limits on viewers' connections. docs/operate/front.md describes what happens when each one is reached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ViewerLimits {
    /// Connections open at the same time.
    pub max_connections: usize,
    /// Size of a request's header section in bytes.
    pub max_header_bytes: usize,
    /// Header fields of a request.
    pub max_headers: usize,
    /// Time for receiving a complete request, from its first byte.
    pub request_timeout_ms: Ms,
    /// Time for the next request to begin.
    pub idle_timeout_ms: Ms,
    /// Requests of a connection that are read and not yet answered.
    pub max_pipelined: usize,
    /// Time for writing a complete response.
    pub write_timeout_ms: Ms,
}

/// Where the catalogue is stored and fetched from, and how it is used.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogueSettings {
    /// Folder in which the catalogue is stored.
    pub folder: PathBuf,
    /// The catalogue's publisher: its address, and the path that `/snapshot` and `/changes` are appended to.
    pub source: Option<(SocketAddr, String)>,
    /// Limits on probes of boxes that are sent ahead of requests.
    pub probe_budget: ProbeBudget,
    /// Whether placement and manifests use a title's own rates, where known, instead of the ladder's.
    pub use_title_rates: bool,
}

/// Times that apply to manifests and to the session tokens in them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ManifestSettings {
    /// Duration of one segment.
    pub segment_duration_ms: Ms,
    /// How often viewers fetch their manifest anew.
    pub update_period_ms: Ms,
    /// How long a session token is valid.
    pub session_token_lifetime_ms: Ms,
}

/// An error in a document and its position. Lines and columns count from 1.
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

/// Reads a settings document from a file. Relative paths in it are resolved against its folder.
pub fn load(path: &Path) -> Result<FrontSettings, Vec<DocumentError>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![DocumentError { file: file.clone(), line: 1, column: 1, reason: format!("cannot be read: {e}") }]
    })?;
    parse(&file, &text, path.parent().unwrap_or(Path::new(".")))
}

/// Parses and checks a settings document. `file` names it in errors; relative paths are resolved against `folder`.
pub fn parse(file: &str, text: &str, folder: &Path) -> Result<FrontSettings, Vec<DocumentError>> {
    let located = |(offset, reason): (usize, String)| {
        let (line, column) = line_and_column(text, offset);
        DocumentError { file: file.into(), line, column, reason }
    };
    if let Some(offset) = find_excessive_nesting(text) {
        return Err(vec![located((offset, format!("nested deeper than {MAX_NESTING_DEPTH}")))]);
    }
    let document = knus::parse_with_context::<document::Document, Span, _>(file, text, |_| {});
    let document = document.map_err(|e| parser_errors(&e).into_iter().map(located).collect::<Vec<_>>())?;
    check::front_settings(document, folder).map_err(|errors| errors.into_iter().map(located).collect())
}

/// Maximum nesting of braces. The KDL parser recurses at each level, so unlimited depth would overflow the stack. Valid
/// documents need one level.
const MAX_NESTING_DEPTH: usize = 16;

/// Offset at which braces are nested too deep. Braces within strings are counted too; valid documents have too few of
/// them to reach the limit.
fn find_excessive_nesting(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    for (offset, byte) in text.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING_DEPTH {
            return Some(offset);
        }
    }
    None
}

/// Offset and message of each error that the KDL parser found.
fn parser_errors(error: &knus::Error) -> Vec<(usize, String)> {
    use miette::Diagnostic;
    let mut errors = Vec::new();
    for diagnostic in error.related().into_iter().flatten() {
        let label = diagnostic.labels().into_iter().flatten().next();
        let offset = label.as_ref().map_or(0, |l| l.offset());
        let detail = label.and_then(|l| l.label().map(str::to_owned)).filter(|l| !l.is_empty());
        let reason = match detail {
            Some(detail) => format!("{diagnostic}: {detail}"),
            None => diagnostic.to_string(),
        };
        errors.push((offset, reason));
    }
    if errors.is_empty() {
        errors.push((0, error.to_string()));
    }
    errors
}

/// Line and column of a byte offset, each from 1. Columns count characters.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let line_start = before.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
    (line, String::from_utf8_lossy(&before[line_start..]).chars().count() + 1)
}

#[cfg(test)]
mod tests;
