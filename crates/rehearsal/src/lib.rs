//! Rehearsals: stand-ins for everything that a front node talks to, scripts of faults, and the auditor of the records.
//! This crate uses the codecs of the protocols, never the front or its decisions: the auditor judges only what the
//! stand-ins observed on their own sockets.
//!
//! - [`script`]: the language of rehearsal scripts. [`runner`]: runs a script with real fronts.
//! - [`deployment`]: settings and configuration documents of a rehearsal. [`catalogue`]: the catalogue of its titles, and
//!   the comparison of its uses.
//! - [`fleet`]: state of the simulated boxes. [`boxes`], [`list_server`], [`viewers`]: the sockets of boxes, server list
//!   and viewers.
//! - [`publisher`]: the stand-in of a catalogue publisher. [`standalone`]: runs the stand-ins one by one.
//! - [`record`]: what the stand-ins observed. [`audit`]: the rules and the service figure, judged from the records alone.
//! - [`soak`]: trials of the front node drawn from a seed, and their rules.
//! - [`net`]: coroutines, time-outs and HTTP reading.
pub mod audit;
pub mod boxes;
pub mod catalogue;
pub mod deployment;
pub mod fleet;
pub mod list_server;
pub mod net;
pub mod publisher;
pub mod record;
pub mod runner;
pub mod script;
pub mod soak;
pub mod standalone;
pub mod viewers;
