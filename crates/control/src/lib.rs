//! Codecs of the boxes' side: bytes to plain values and back, no decision.
//!
//! - [`rtsp`]: the control messages between front and box (RTSP 2.0, RFC 7826).
//! - [`box_list`]: the document of the list of boxes.
//! - [`event_stream`]: the event stream that the list comes by (server-sent events, WHATWG HTML).
pub mod box_list;
pub mod event_stream;
pub mod rtsp;
