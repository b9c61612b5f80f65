//! The front node on the operators' platform.
//!
//! - [`core`]: all sessions, connections and time-outs, without I/O: events with their time in, [`IoAction`]s out.
//!   What a session needs next is asked of the decisions through the desk.
//! - [`limits`]: what a peer may take, and why so much.
//! - [`edge`]: sockets, threads and signals round the core.
//!
//! [`IoAction`]: actions::IoAction
pub mod actions;
pub mod core;
pub mod edge;
pub mod limits;
