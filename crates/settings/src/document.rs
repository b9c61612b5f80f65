//! The document as it is written, each value with its place.
use knus::ast::{Literal, TypeName};
use knus::decode::{Context, Kind};
use knus::errors::DecodeError;
use knus::span::Spanned;
use knus::traits::ErrorSpan;
use knus::DecodeScalar;

/// A number, with or without a fraction, and its place.
#[derive(Debug, Clone, Copy, Default)]
pub struct Num {
    pub value: f64,
    pub at: usize,
}

/// A text and its place.
#[derive(Debug, Clone, Default)]
pub struct Text {
    pub value: String,
    pub at: usize,
}

fn offset<S: ErrorSpan>(span: &S) -> usize {
    let span: miette::SourceSpan = span.clone().into();
    span.offset()
}

impl<S: ErrorSpan> DecodeScalar<S> for Num {
    fn type_check(_: &Option<Spanned<TypeName, S>>, _: &mut Context<S>) {}

    fn raw_decode(v: &Spanned<Literal, S>, ctx: &mut Context<S>) -> Result<Self, DecodeError<S>> {
        let value = match &**v {
            Literal::Int(i) => i64::try_from(i).ok().map(|i| i as f64),
            Literal::Decimal(d) => f64::try_from(d).ok(),
            _ => {
                ctx.emit_error(DecodeError::scalar_kind(Kind::Decimal, v));
                return Ok(Num::default());
            }
        };
        match value.filter(|x| x.is_finite()) {
            Some(value) => Ok(Num { value, at: offset(v.span()) }),
            None => Err(DecodeError::conversion(v, "not a number that can be used")),
        }
    }
}

impl<S: ErrorSpan> DecodeScalar<S> for Text {
    fn type_check(_: &Option<Spanned<TypeName, S>>, _: &mut Context<S>) {}

    fn raw_decode(v: &Spanned<Literal, S>, ctx: &mut Context<S>) -> Result<Self, DecodeError<S>> {
        match &**v {
            Literal::String(s) => Ok(Text { value: s.to_string(), at: offset(v.span()) }),
            _ => {
                ctx.emit_error(DecodeError::scalar_kind(Kind::String, v));
                Ok(Text::default())
            }
        }
    }
}

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
    pub fronts: Num,
    #[knus(child)]
    pub ladder: Ladder,
    #[knus(children(name = "service-group"))]
    pub groups: Vec<Group>,
    #[knus(children(name = "kind"))]
    pub kinds: Vec<KindOf>,
    #[knus(child)]
    pub links: Links,
    #[knus(child)]
    pub reports: Reports,
    #[knus(child)]
    pub setups: Setups,
    #[knus(child)]
    pub cold: Option<Cold>,
    #[knus(child)]
    pub come_back: Option<ComeBack>,
    #[knus(child)]
    pub waits: WaitsNode,
    #[knus(child)]
    pub viewers: Viewers,
    #[knus(child)]
    pub tokens: Tokens,
    #[knus(child)]
    pub manifest: Manifest,
    #[knus(child)]
    pub catalogue: Option<Catalogue>,
}

#[derive(knus::Decode)]
pub struct Catalogue {
    /// Beside the settings.
    #[knus(property)]
    pub folder: Text,
    #[knus(property)]
    pub source: Option<Text>,
    #[knus(property)]
    pub probes_each: Num,
    #[knus(property)]
    pub probes_saved: Num,
    #[knus(property)]
    pub news_old: Num,
    #[knus(property)]
    pub rates: Option<bool>,
}

#[derive(knus::Decode)]
pub struct Ladder {
    #[knus(children(name = "rung"))]
    pub rungs: Vec<Rung>,
}

#[derive(knus::Decode)]
pub struct Rung {
    #[knus(property)]
    pub kb: Num,
    #[knus(property)]
    pub utility: Num,
}

#[derive(knus::Decode)]
pub struct Group {
    #[knus(argument)]
    pub name: Text,
    #[knus(property)]
    pub start_target: Num,
    #[knus(property)]
    pub setup_timeout: Num,
    #[knus(property)]
    pub utility: Num,
    #[knus(property)]
    pub repeat: Text,
    #[knus(property)]
    pub window: Option<Num>,
    #[knus(property)]
    pub floor: Option<Num>,
    #[knus(property)]
    pub top: Option<Num>,
    #[knus(property)]
    pub scale: Option<Num>,
    #[knus(property)]
    pub seats: Option<Num>,
}

#[derive(knus::Decode)]
pub struct KindOf {
    /// For the reader; the list names kinds by their position.
    #[knus(argument)]
    pub _name: String,
    #[knus(property)]
    pub streams: Num,
}

#[derive(knus::Decode)]
pub struct Links {
    #[knus(property)]
    pub link_kb: Num,
    #[knus(property)]
    pub uplink_kb: Num,
}

#[derive(knus::Decode)]
pub struct Reports {
    #[knus(property)]
    pub via: Text,
    #[knus(property)]
    pub delay: Num,
    #[knus(child, unwrap(arguments))]
    pub columns: Vec<Text>,
}

#[derive(knus::Decode)]
pub struct Setups {
    #[knus(property)]
    pub most: Num,
    #[knus(child)]
    pub budget: Option<BudgetOf>,
}

#[derive(knus::Decode)]
pub struct BudgetOf {
    #[knus(property)]
    pub free: Num,
    #[knus(property)]
    pub share: Num,
    #[knus(property)]
    pub span: Num,
}

#[derive(knus::Decode)]
pub struct Cold {
    #[knus(property)]
    pub lasts: Num,
    #[knus(property)]
    pub from: Num,
    #[knus(property)]
    pub multiple: Num,
    #[knus(property)]
    pub span: Num,
}

#[derive(knus::Decode)]
pub struct ComeBack {
    #[knus(property)]
    pub most: Num,
}

#[derive(knus::Decode)]
pub struct WaitsNode {
    #[knus(property)]
    pub connect: Num,
    #[knus(property)]
    pub probe: Num,
    #[knus(property)]
    pub silence: Num,
    #[knus(property)]
    pub way_back: Num,
}

#[derive(knus::Decode)]
pub struct Viewers {
    #[knus(property)]
    pub connections: Num,
    #[knus(property)]
    pub header_bytes: Num,
    #[knus(property)]
    pub headers: Num,
    #[knus(property)]
    pub header_time: Num,
    #[knus(property)]
    pub idle: Num,
    #[knus(property)]
    pub pipelined: Num,
    #[knus(property)]
    pub write_time: Num,
}

#[derive(knus::Decode)]
pub struct Tokens {
    #[knus(property)]
    pub proof_age: Num,
    #[knus(property)]
    pub clock_skew: Num,
    #[knus(property)]
    pub proofs: Num,
    #[knus(children(name = "issuer-key"))]
    pub issuer: Vec<Key>,
    #[knus(children(name = "session-key"))]
    pub session: Vec<Key>,
}

#[derive(knus::Decode)]
pub struct Key {
    #[knus(argument)]
    pub id: Text,
    /// Beside the settings; its text is the key's 32 bytes as base64url.
    #[knus(property)]
    pub file: Text,
    #[knus(property)]
    pub from: Option<Text>,
    #[knus(property)]
    pub until: Option<Text>,
}

#[derive(knus::Decode)]
pub struct Manifest {
    #[knus(property)]
    pub segment: Num,
    #[knus(property)]
    pub update: Num,
    #[knus(property)]
    pub token_lasts: Num,
}
