//! Codecs for the control of boxes. They convert between bytes and plain values and take no decisions.
//!
//! - [`rtsp`]: control messages between front and box (RTSP 2.0, RFC 7826).
//! - [`box_list`]: the list of boxes, as a JSON document.
//! - [`event_stream`]: the event stream that carries the list (server-sent events, WHATWG HTML).
pub mod box_list;
pub mod event_stream;
pub mod rtsp;
