//! Authorization decisions on plain values: no clock, no sockets, no codecs.
//!
//! - [`claims`]: the claims of access tokens and of DPoP proofs, as decoded.
//! - [`keys`]: key sets and the periods in which their keys are in force.
//! - [`authorization`]: whether a request with its token and proof is authorized, or why it is refused.
//! - [`replay`]: the cache of proofs that were used already.
pub mod authorization;
pub mod claims;
pub mod keys;
pub mod replay;

/// Milliseconds since the Unix epoch, with fractions.
pub type UnixMs = f64;
