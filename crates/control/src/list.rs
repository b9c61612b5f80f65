//! The document of the list of boxes, as JSON in the events of its stream: the event `whole` carries the complete
//! list, `changes` the lines that are new or other than before.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub const WHOLE: &str = "whole";
pub const CHANGES: &str = "changes";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct List {
    pub boxes: Vec<Line>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The same at every front, and in requests.
    pub id: u32,
    pub name: String,
    pub state: State,
    pub rack: u32,
    /// Position of its building in the settings.
    pub building: u8,
    /// Position of its kind of machine in the settings.
    pub kind: u8,
    /// Size of its link, in units of the settings' `link-kb`.
    pub weight: f64,
    /// When its process started, in Unix milliseconds, where that was not long ago.
    pub started: Option<f64>,
    /// Where it is controlled.
    pub control: SocketAddr,
    /// Where viewers fetch segments: `http://host:port`.
    pub media: String,
}

/// Reads a document; the error tells line and column, or the box at fault.
pub fn read(json: &str) -> Result<List, String> {
    let list: List = serde_json::from_str(json).map_err(|e| format!("list: {e}"))?;
    for line in &list.boxes {
        if !(line.weight.is_finite() && line.weight > 0.0) {
            return Err(format!("list: box {} {:?}: weight must be above 0", line.id, line.name));
        }
    }
    Ok(list)
}

pub fn write(list: &List) -> String {
    serde_json::to_string(list).expect("texts and numbers")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn read_back_and_faults_named() {
        let line = Line {
            id: 3,
            name: "a-3".into(),
            state: State::Draining,
            rack: 1,
            building: 0,
            kind: 0,
            weight: 2.0,
            started: Some(5.5),
            control: ([127, 0, 0, 1], 554).into(),
            media: "http://127.0.0.1:80".into(),
        };
        let list = List { boxes: vec![line.clone()] };
        assert_eq!(read(&write(&list)), Ok(list));
        let zero = List { boxes: vec![Line { weight: 0.0, ..line }] };
        assert_eq!(read(&write(&zero)).unwrap_err(), "list: box 3 \"a-3\": weight must be above 0");
        assert!(read("{\"boxes\": [{}]}").unwrap_err().contains("line 1 column"));
    }
}
