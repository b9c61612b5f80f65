//! The list of boxes, as JSON in the events of its stream. The event `whole` carries the complete list, the event
//! `changes` only the boxes that are new or have changed.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Name of the event that carries the complete list.
pub const FULL_LIST_EVENT: &str = "whole";
/// Name of the event that carries new and changed boxes.
pub const CHANGES_EVENT: &str = "changes";

/// A list of boxes: all of them or the changed ones, depending on the event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoxList {
    /// One entry for each box.
    pub boxes: Vec<BoxEntry>,
}

/// State of a box as the list reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BoxState {
    /// Accepts new sessions.
    Ready,
    /// Keeps its sessions but accepts no new ones.
    Draining,
    /// No longer in service.
    Gone,
}

/// One box of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxEntry {
    /// Id of the box, the same at every front and in the `holders` of tokens.
    pub id: u32,
    /// Name for logs and messages.
    pub name: String,
    /// Whether the box accepts sessions.
    pub state: BoxState,
    /// Number of the rack that the box is in.
    pub rack: u32,
    /// Index of the building in the settings.
    pub building: u8,
    /// Index of the machine kind in the settings.
    pub kind: u8,
    /// Capacity of the link, in units of `link-kb` from the settings.
    pub weight: f64,
    /// Start of the process in Unix milliseconds, given only if it was recent.
    #[serde(rename = "started")]
    pub started_at_ms: Option<f64>,
    /// Address for RTSP control connections.
    #[serde(rename = "control")]
    pub control_addr: SocketAddr,
    /// Base URL from which viewers fetch segments: `http://host:port`.
    #[serde(rename = "media")]
    pub media_url: String,
}

/// Parses a list. The error names the line and column, or the invalid box.
pub fn parse(json: &str) -> Result<BoxList, String> {
    let list: BoxList = serde_json::from_str(json).map_err(|e| format!("list: {e}"))?;
    for entry in &list.boxes {
        if !(entry.weight.is_finite() && entry.weight > 0.0) {
            return Err(format!("list: box {} {:?}: weight must be above 0", entry.id, entry.name));
        }
    }
    Ok(list)
}

/// Writes a list as a JSON document.
pub fn to_json(list: &BoxList) -> String {
    serde_json::to_string(list).expect("strings and numbers serialize")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn list_round_trips_and_errors_name_the_invalid_box() {
        let entry = BoxEntry {
            id: 3,
            name: "a-3".into(),
            state: BoxState::Draining,
            rack: 1,
            building: 0,
            kind: 0,
            weight: 2.0,
            started_at_ms: Some(5.5),
            control_addr: ([127, 0, 0, 1], 554).into(),
            media_url: "http://127.0.0.1:80".into(),
        };
        let list = BoxList { boxes: vec![entry.clone()] };
        assert_eq!(parse(&to_json(&list)), Ok(list));
        let zero_weight = BoxList { boxes: vec![BoxEntry { weight: 0.0, ..entry }] };
        assert_eq!(parse(&to_json(&zero_weight)).unwrap_err(), "list: box 3 \"a-3\": weight must be above 0");
        assert!(parse("{\"boxes\": [{}]}").unwrap_err().contains("line 1 column"));
    }
}
