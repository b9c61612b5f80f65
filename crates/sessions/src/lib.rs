//! Runs the placement decisions of a session front without input or output of its own.
//!
//! - [`engine`]: the decisions with their sessions and their timer; the simulator's adapter uses it as well.
//! - [`session_manager`]: viewers' requests, control connections to boxes and the server list of a live front.
//! - [`api`]: the values that go into and come out of the session manager.
//! - [`connection`]: the control connection to one box and the requests that are outstanding on it.
//! - [`list_sequence`]: which events of the server list may be applied.
//! - [`backoff`]: delays between attempts to connect.
//! - [`stall_detector`]: whether this process was suspended, and how long time-outs are then deferred.
//! - [`timer_queue`]: timers in the order in which they are due.
pub mod api;
pub mod backoff;
pub mod connection;
pub mod engine;
pub mod list_sequence;
pub mod session_manager;
pub mod stall_detector;
pub mod timer_queue;
