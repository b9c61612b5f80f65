//! The rehearsal kit: stand-ins for all that a front talks to, scripts of trouble, and the auditor. It knows the
//! codecs, never the front or its decisions: what it judges by is what it saw on its own sockets.
//!
//! - [`script`]: the language of bad days. [`runner`]: a day played on a depot with real fronts.
//! - [`deployment`]: terms and documents of what is played. [`catalogue`]: one of its titles, and what it brings.
//! - [`fleet`]: what boxes are and carry. [`boxes`], [`list_server`], [`viewers`]: their sockets.
//! - [`publisher`]: the stand-in of a catalogue's publisher. [`standalone`]: the stand-ins one by one.
//! - [`record`]: what was seen. [`audit`]: the rules and the service, judged from that alone.
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
pub mod standalone;
pub mod viewers;
