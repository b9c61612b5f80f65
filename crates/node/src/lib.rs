//! The front node on the operators' platform.
//!
//! - [`core`]: all sessions, connections and time-outs, without I/O: takes events with their times and
//!   returns [`IoAction`]s. The decisions on a session are made by the decision engine.
//! - [`actions`]: the interface between the core and the edge.
//! - [`limits`]: limits and time-outs for viewers and servers, with their reasons.
//! - [`request_log`]: what the log says of requests.
//! - [`edge`]: sockets, threads and signals around the core.
//!
//! [`IoAction`]: actions::IoAction
pub mod actions;
pub mod core;
pub mod edge;
pub mod limits;
pub mod request_log;
