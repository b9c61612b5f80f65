//! The settings document as it is written: one struct for each KDL node, each value with its offset.
//!
//! Fields are named after the document's nodes and properties, which knus derives from them in kebab-case. Times are
//! in milliseconds and rates in kilobytes per second. Units, ranges and defaults are checked in [`crate::check`].
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
    #[knus(child, unwrap(argument))]
    pub listen: Text,
    #[knus(child, unwrap(argument))]
    pub public_url: Option<Text>,
    #[knus(child, unwrap(argument))]
    pub list: Text,
    #[knus(child, unwrap(argument))]
    pub seed: Option<u64>,
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
    #[knus(property)]
    pub source: Option<Text>,
    #[knus(property)]
    pub probes_each: Number,
    #[knus(property)]
    pub probes_saved: Number,
    #[knus(property)]
    pub news_old: Number,
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
    #[knus(property)]
    pub start_target: Number,
    #[knus(property)]
    pub setup_timeout: Number,
    #[knus(property)]
    pub utility: Number,
    #[knus(property)]
    pub repeat: Text,
    #[knus(property)]
    pub window: Option<Number>,
    #[knus(property)]
    pub floor: Option<Number>,
    #[knus(property)]
    pub top: Option<Number>,
    #[knus(property)]
    pub scale: Option<Number>,
    #[knus(property)]
    pub seats: Option<Number>,
}

/// A kind of box.
#[derive(knus::Decode)]
pub struct KindNode {
    /// For people only: the list of boxes refers to kinds by position.
    #[knus(argument)]
    pub _name: String,
    #[knus(property)]
    pub streams: Number,
}

/// Capacity of the boxes' links and of their racks' uplinks.
#[derive(knus::Decode)]
pub struct LinksNode {
    #[knus(property)]
    pub link_kb: Number,
    #[knus(property)]
    pub uplink_kb: Number,
}

/// How boxes report their load.
#[derive(knus::Decode)]
pub struct ReportsNode {
    #[knus(property)]
    pub via: Text,
    #[knus(property)]
    pub delay: Number,
    #[knus(child, unwrap(arguments))]
    pub columns: Vec<Text>,
}

/// Limits on the SETUPs for each request.
#[derive(knus::Decode)]
pub struct SetupsNode {
    #[knus(property)]
    pub most: Number,
    #[knus(child)]
    pub budget: Option<BudgetNode>,
}

/// Limit on further SETUPs after the first one of each request.
#[derive(knus::Decode)]
pub struct BudgetNode {
    #[knus(property)]
    pub free: Number,
    #[knus(property)]
    pub share: Number,
    #[knus(property)]
    pub span: Number,
}

/// Restrictions on a box that has just started.
#[derive(knus::Decode)]
pub struct ColdNode {
    #[knus(property)]
    pub lasts: Number,
    #[knus(property)]
    pub from: Number,
    #[knus(property)]
    pub multiple: Number,
    #[knus(property)]
    pub span: Number,
}

/// The wait that busy replies ask viewers for.
#[derive(knus::Decode)]
pub struct ComeBackNode {
    #[knus(property)]
    pub most: Number,
}

/// Time-outs of connections.
#[derive(knus::Decode)]
pub struct WaitsNode {
    #[knus(property)]
    pub connect: Number,
    #[knus(property)]
    pub probe: Number,
    #[knus(property)]
    pub silence: Number,
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
    #[knus(property)]
    pub header_time: Number,
    #[knus(property)]
    pub idle: Number,
    #[knus(property)]
    pub pipelined: Number,
    #[knus(property)]
    pub write_time: Number,
}

/// Checks of tokens and proofs, and the keys for them.
#[derive(knus::Decode)]
pub struct TokensNode {
    #[knus(property)]
    pub proof_age: Number,
    #[knus(property)]
    pub clock_skew: Number,
    #[knus(property)]
    pub proofs: Number,
    #[knus(children(name = "issuer-key"))]
    pub issuer: Vec<KeyNode>,
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
    #[knus(property)]
    pub from: Option<Text>,
    #[knus(property)]
    pub until: Option<Text>,
}

/// Times that are written into manifests.
#[derive(knus::Decode)]
pub struct ManifestNode {
    #[knus(property)]
    pub segment: Number,
    #[knus(property)]
    pub update: Number,
    #[knus(property)]
    pub token_lasts: Number,
}
