//! Who is let in, decided on plain values: no clock, no sockets, no codecs.
//!
//! - [`claims`]: what a token and a proof of possession say once they are read.
//! - [`keys`]: which keys are in force when.
//! - [`authorization`]: whether a request with its token and proof is let in, or why not.
//! - [`replay`]: proofs that were used already.
pub mod authorization;
pub mod claims;
pub mod keys;
pub mod replay;

/// Milliseconds since the Unix epoch, with fractions.
pub type UnixMs = f64;
