//! The document of the list of boxes, as JSON in the events of its stream: the event `whole` carries the complete
//! list, `changes` the lines that are new or other than before.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub const FULL_LIST_EVENT: &str = "whole";
pub const CHANGES_EVENT: &str = "changes";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BoxList {
    pub boxes: Vec<BoxEntry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BoxState {
    Ready,
    Draining,
    Gone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxEntry {
    /// The same at every front, and in requests.
    pub id: u32,
    pub name: String,
    pub state: BoxState,
    pub rack: u32,
    /// Position of its building in the settings.
    pub building: u8,
    /// Position of its kind of machine in the settings.
    pub kind: u8,
    /// Size of its link, in units of the settings' `link-kb`.
    pub weight: f64,
    /// When its process started, in Unix milliseconds, where that was not long ago.
    #[serde(rename = "started")]
    pub started_at_ms: Option<f64>,
    /// Where it is controlled.
    #[serde(rename = "control")]
    pub control_addr: SocketAddr,
    /// Where viewers fetch segments: `http://host:port`.
    #[serde(rename = "media")]
    pub media_url: String,
}

/// Reads a document; the error tells line and column, or the box at fault.
pub fn parse(json: &str) -> Result<BoxList, String> {
    let list: BoxList = serde_json::from_str(json).map_err(|e| format!("list: {e}"))?;
    for line in &list.boxes {
        if !(line.weight.is_finite() && line.weight > 0.0) {
            return Err(format!("list: box {} {:?}: weight must be above 0", line.id, line.name));
        }
    }
    Ok(list)
}

pub fn to_json(list: &BoxList) -> String {
    serde_json::to_string(list).expect("texts and numbers")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn read_back_and_faults_named() {
        let line = BoxEntry {
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
        let list = BoxList { boxes: vec![line.clone()] };
        assert_eq!(parse(&to_json(&list)), Ok(list));
        let zero = BoxList { boxes: vec![BoxEntry { weight: 0.0, ..line }] };
        assert_eq!(parse(&to_json(&zero)).unwrap_err(), "list: box 3 \"a-3\": weight must be above 0");
        assert!(parse("{\"boxes\": [{}]}").unwrap_err().contains("line 1 column"));
    }
}
