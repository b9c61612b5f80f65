//! The settings document as it is written: one struct for each KDL node, each value with its offset.
//!
//! Fields are named after the document's nodes and properties, which knus derives from them in kebab-case. Times are
//! in milliseconds and rates in kilobytes per second. [`crate::check`] checks ranges and fills in defaults.
use knus::ast::{Literal, TypeName};
use knus::decode::{Context, Kind};
use knus::errors::DecodeError;
use knus::span::Spanned;
use knus::traits::ErrorSpan;
use knus::DecodeScalar;

/// An integer or decimal and its byte offset in the document.
#[derive(Debug, Clone, Copy, Default)]
pub struct Number {
    pub value: f64,
    pub offset: usize,
}

/// A string and its byte offset in the document.
#[derive(Debug, Clone, Default)]
pub struct Text {
    pub value: String,
    pub offset: usize,
}

fn span_offset<S: ErrorSpan>(span: &S) -> usize {
    let source_span: miette::SourceSpan = span.clone().into();
    source_span.offset()
}

impl<S: ErrorSpan> DecodeScalar<S> for Number {
    fn type_check(_: &Option<Spanned<TypeName, S>>, _: &mut Context<S>) {}

    fn raw_decode(literal: &Spanned<Literal, S>, ctx: &mut Context<S>) -> Result<Self, DecodeError<S>> {
        let value = match &**literal {
            Literal::Int(i) => i64::try_from(i).ok().map(|i| i as f64),
            Literal::Decimal(d) => f64::try_from(d).ok(),
            _ => {
                ctx.emit_error(DecodeError::scalar_kind(Kind::Decimal, literal));
                return Ok(Number::default());
            }
        };
        match value.filter(|x| x.is_finite()) {
            Some(value) => Ok(Number { value, offset: span_offset(literal.span()) }),
            None => Err(DecodeError::conversion(literal, "number is out of range")),
        }
    }
}

impl<S: ErrorSpan> DecodeScalar<S> for Text {
    fn type_check(_: &Option<Spanned<TypeName, S>>, _: &mut Context<S>) {}

    fn raw_decode(literal: &Spanned<Literal, S>, ctx: &mut Context<S>) -> Result<Self, DecodeError<S>> {
        match &**literal {
            Literal::String(s) => Ok(Text { value: s.to_string(), offset: span_offset(literal.span()) }),
            _ => {
                ctx.emit_error(DecodeError::scalar_kind(Kind::String, literal));
                Ok(Text::default())
            }
        }
    }
}

/// The whole settings document.
#[derive(knus::Decode)]
pub struct Document {
    /// Address and port for viewers.
    #[knus(child, unwrap(argument))]
    pub listen: Text,
    /// Base URL under which viewers reach this front.
    #[knus(child, unwrap(argument))]
    pub public_url: Option<Text>,
    /// URL of the list of boxes.
    #[knus(child, unwrap(argument))]
    pub list: Text,
    #[knus(child, unwrap(argument))]
    pub seed: Option<u64>,
    /// Number of fronts that place sessions on the same boxes.
    #[knus(child, unwrap(argument))]
    pub fronts: Number,
    #[knus(child)]
    pub ladder: LadderNode,
    #[knus(children(name = "service-group"))]
    pub groups: Vec<ServiceGroupNode>,
    #[knus(children(name = "kind"))]
    pub kinds: Vec<KindNode>,
    #[knus(child)]
    pub links: LinksNode,
    #[knus(child)]
    pub reports: ReportsNode,
    #[knus(child)]
    pub setups: SetupsNode,
    #[knus(child)]
    pub cold: Option<ColdNode>,
    #[knus(child)]
    pub come_back: Option<ComeBackNode>,
    #[knus(child)]
    pub waits: WaitsNode,
    #[knus(child)]
    pub viewers: ViewersNode,
    #[knus(child)]
    pub tokens: TokensNode,
    #[knus(child)]
    pub manifest: ManifestNode,
    #[knus(child)]
    pub catalogue: Option<CatalogueNode>,
}

/// Where the catalogue is stored and fetched from. Without this node the front has no catalogue.
#[derive(knus::Decode)]
pub struct CatalogueNode {
    /// Relative to the document's folder.
    #[knus(property)]
    pub folder: Text,
    /// URL of the catalogue's publisher.
    #[knus(property)]
    pub source: Option<Text>,
    /// Probes sent ahead of requests, for each request on average.
    #[knus(property)]
    pub probes_each: Number,
    /// Maximum number of such probes that can be saved up.
    #[knus(property)]
    pub probes_saved: Number,
    /// Age from which a box's last report is stale.
    #[knus(property)]
    pub news_old: Number,
    /// Whether titles' own rates are used; the default is true.
    #[knus(property)]
    pub rates: Option<bool>,
}

/// The rungs of the rate ladder, lowest first.
#[derive(knus::Decode)]
pub struct LadderNode {
    #[knus(children(name = "rung"))]
    pub rungs: Vec<RungNode>,
}

/// Rate and utility of one rung.
#[derive(knus::Decode)]
pub struct RungNode {
    /// Rate in kilobytes per second.
    #[knus(property)]
    pub kb: Number,
    #[knus(property)]
    pub utility: Number,
}

/// What differs for the viewers of one service group.
#[derive(knus::Decode)]
pub struct ServiceGroupNode {
    #[knus(argument)]
    pub name: Text,
    /// Time from the request within which a session should play.
    #[knus(property)]
    pub start_target: Number,
    /// How long a viewer waits at most.
    #[knus(property)]
    pub setup_timeout: Number,
    /// Relative value of this group's sessions.
    #[knus(property)]
    pub utility: Number,
    /// Whether a SETUP may be sent again after an unclear outcome.
    #[knus(property)]
    pub repeat: Text,
    /// How long after a SETUP boxes remember its key.
    #[knus(property)]
    pub window: Option<Number>,
    /// Lowest rung; the default is 0.
    #[knus(property)]
    pub floor: Option<Number>,
    /// Highest rung; the default is the top of the ladder.
    #[knus(property)]
    pub top: Option<Number>,
    /// Factor on the ladder's rates; the default is 1.
    #[knus(property)]
    pub scale: Option<Number>,
    /// Maximum number of sessions of one title at a front; the default is 0 for no limit.
    #[knus(property)]
    pub seats: Option<Number>,
}

/// A kind of box.
#[derive(knus::Decode)]
pub struct KindNode {
    /// For people only: the list of boxes refers to kinds by position.
    #[knus(argument)]
    pub _name: String,
    /// Maximum number of streams.
    #[knus(property)]
    pub streams: Number,
}

/// Capacity of the boxes' links and of their racks' uplinks.
#[derive(knus::Decode)]
pub struct LinksNode {
    /// Capacity of a box's link for each unit of its weight.
    #[knus(property)]
    pub link_kb: Number,
    /// Capacity of a rack's uplink.
    #[knus(property)]
    pub uplink_kb: Number,
}

/// How boxes report their load.
#[derive(knus::Decode)]
pub struct ReportsNode {
    /// `probe`, `answers` or `none`.
    #[knus(property)]
    pub via: Text,
    /// Age of measurements when they arrive.
    #[knus(property)]
    pub delay: Number,
    /// Quantities that reports contain: `streams`, `link`, `uplink`.
    #[knus(child, unwrap(arguments))]
    pub columns: Vec<Text>,
}

/// Limits on the SETUPs for each request.
#[derive(knus::Decode)]
pub struct SetupsNode {
    /// Maximum number of SETUPs for one session.
    #[knus(property)]
    pub most: Number,
    #[knus(child)]
    pub budget: Option<BudgetNode>,
}

/// Limit on further SETUPs after the first one of each request.
#[derive(knus::Decode)]
pub struct BudgetNode {
    /// Retries allowed in a window whatever the number of requests.
    #[knus(property)]
    pub free: Number,
    /// Further retries allowed for each request in the window.
    #[knus(property)]
    pub share: Number,
    /// Length of the window.
    #[knus(property)]
    pub span: Number,
}

/// Restrictions on a box that has just started.
#[derive(knus::Decode)]
pub struct ColdNode {
    /// How long a box is cold after its start.
    #[knus(property)]
    pub lasts: Number,
    /// Share of its full capacity that a box has at its start.
    #[knus(property)]
    pub from: Number,
    /// SETUPs that a warm box can take in that time, as a multiple of its maximum number of streams.
    #[knus(property)]
    pub multiple: Number,
    /// Window in which the SETUPs to a cold box are counted.
    #[knus(property)]
    pub span: Number,
}

/// The wait that busy replies ask viewers for.
#[derive(knus::Decode)]
pub struct ComeBackNode {
    /// The longest wait.
    #[knus(property)]
    pub most: Number,
}

/// Time-outs of connections.
#[derive(knus::Decode)]
pub struct WaitsNode {
    /// For a connection to open.
    #[knus(property)]
    pub connect: Number,
    /// For the answer to a probe.
    #[knus(property)]
    pub probe: Number,
    /// For a connection on which nothing arrives from a box, the list or the publisher.
    #[knus(property)]
    pub silence: Number,
    /// Part of a viewer's wait that is reserved for delivering the answer.
    #[knus(property)]
    pub way_back: Number,
}

/// Limits on viewers' connections.
#[derive(knus::Decode)]
pub struct ViewersNode {
    #[knus(property)]
    pub connections: Number,
    #[knus(property)]
    pub header_bytes: Number,
    #[knus(property)]
    pub headers: Number,
    /// Time for receiving a complete request.
    #[knus(property)]
    pub header_time: Number,
    /// Time between two requests.
    #[knus(property)]
    pub idle: Number,
    /// Maximum number of requests that are read and not yet answered.
    #[knus(property)]
    pub pipelined: Number,
    /// Time for writing a complete response.
    #[knus(property)]
    pub write_time: Number,
}

/// Checks of tokens and proofs, and the keys for them.
#[derive(knus::Decode)]
pub struct TokensNode {
    /// Maximum age of a proof.
    #[knus(property)]
    pub proof_age: Number,
    /// Tolerated difference between the clocks of issuers, viewers and this front.
    #[knus(property)]
    pub clock_skew: Number,
    /// Maximum number of proofs stored for replay detection.
    #[knus(property)]
    pub proofs: Number,
    /// Public keys that verify viewers' tokens.
    #[knus(children(name = "issuer-key"))]
    pub issuer: Vec<KeyNode>,
    /// Private keys that sign session tokens.
    #[knus(children(name = "session-key"))]
    pub session: Vec<KeyNode>,
}

/// A key and the time in which it is valid.
#[derive(knus::Decode)]
pub struct KeyNode {
    #[knus(argument)]
    pub id: Text,
    /// File with the key's 32 bytes as base64url, relative to the document's folder.
    #[knus(property)]
    pub file: Text,
    /// When the key becomes valid (RFC 3339); without it, the key is valid at any time before `until`.
    #[knus(property)]
    pub from: Option<Text>,
    /// When the key becomes invalid (RFC 3339); without it, never.
    #[knus(property)]
    pub until: Option<Text>,
}

/// Times that apply to manifests and to the session tokens in them.
#[derive(knus::Decode)]
pub struct ManifestNode {
    /// Duration of a segment.
    #[knus(property)]
    pub segment: Number,
    /// How often viewers fetch their manifest anew.
    #[knus(property)]
    pub update: Number,
    /// How long a session token is valid.
    #[knus(property)]
    pub token_lasts: Number,
}
