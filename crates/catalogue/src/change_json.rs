//! The JSON encoding of changes, in the change feed and in the write-ahead log: a pair of the number and the change.
//!
//! ```text
//! [8,{"put":{"title":"a","rates":[200,380.5],"groups":3,"length":60000,"holders":[1,4]}}]
//! [9,{"move":{"title":"a","from":4,"to":7}}]      [10,{"gone":7}]
//! ```
use crate::change::{Change, NumberedChange, Title};
use serde::{Deserialize, Serialize};
use walnutline::ids::{RackId, ServerId};

/// The change part of the pair. The variants are named after their JSON keys.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ChangeJson {
    Put(TitleData),
    Drop(String),
    Add(TitleHolder),
    Remove(TitleHolder),
    Move(HolderMove),
    Rates(TitleRates),
    Gone(u32),
    Back(u32),
    Stands(BoxRack),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TitleData {
    title: String,
    rates: Vec<f32>,
    groups: u32,
    length: u32,
    holders: Vec<u32>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TitleHolder {
    title: String,
    #[serde(rename = "box")]
    server: u32,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct HolderMove {
    title: String,
    from: u32,
    to: u32,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TitleRates {
    title: String,
    rates: Vec<f32>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct BoxRack {
    #[serde(rename = "box")]
    server: u32,
    rack: u32,
}

/// Encodes a change.
pub fn encode(numbered: &NumberedChange) -> String {
    let json = match numbered.change.clone() {
        Change::PutTitle(title) => ChangeJson::Put(TitleData {
            title: title.name,
            rates: title.rates,
            groups: title.group_mask,
            length: title.duration_ms,
            holders: title.holders.into_iter().map(|h| h.0).collect(),
        }),
        Change::RemoveTitle { name } => ChangeJson::Drop(name),
        Change::AddHolder { name, server } => ChangeJson::Add(TitleHolder { title: name, server: server.0 }),
        Change::RemoveHolder { name, server } => {
            ChangeJson::Remove(TitleHolder { title: name, server: server.0 })
        }
        Change::MoveHolder { name, from, to } => {
            ChangeJson::Move(HolderMove { title: name, from: from.0, to: to.0 })
        }
        Change::SetRates { name, rates } => ChangeJson::Rates(TitleRates { title: name, rates }),
        Change::ServerGone(server) => ChangeJson::Gone(server.0),
        Change::ServerBack(server) => ChangeJson::Back(server.0),
        Change::SetRack { server, rack } => ChangeJson::Stands(BoxRack { server: server.0, rack: rack.0 }),
    };
    // JSON has no numbers for rates that are not finite, but no valid title has such rates.
    serde_json::to_string(&(numbered.number, json)).unwrap_or_default()
}

/// Decodes a change. The error gives the line and column.
pub fn decode(text: &str) -> Result<NumberedChange, String> {
    let (number, json): (u64, ChangeJson) = serde_json::from_str(text).map_err(|e| format!("change: {e}"))?;
    let change = match json {
        ChangeJson::Put(data) => {
            let mut holders: Vec<ServerId> = data.holders.into_iter().map(ServerId).collect();
            holders.sort_unstable();
            Change::PutTitle(Title {
                name: data.title,
                rates: data.rates,
                group_mask: data.groups,
                duration_ms: data.length,
                holders,
            })
        }
        ChangeJson::Drop(name) => Change::RemoveTitle { name },
        ChangeJson::Add(a) => Change::AddHolder { name: a.title, server: ServerId(a.server) },
        ChangeJson::Remove(a) => Change::RemoveHolder { name: a.title, server: ServerId(a.server) },
        ChangeJson::Move(m) => {
            Change::MoveHolder { name: m.title, from: ServerId(m.from), to: ServerId(m.to) }
        }
        ChangeJson::Rates(r) => Change::SetRates { name: r.title, rates: r.rates },
        ChangeJson::Gone(server) => Change::ServerGone(ServerId(server)),
        ChangeJson::Back(server) => Change::ServerBack(ServerId(server)),
        ChangeJson::Stands(s) => Change::SetRack { server: ServerId(s.server), rack: RackId(s.rack) },
    };
    Ok(NumberedChange { number, change })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_round_trip_and_errors_give_their_position() {
        let title = Title {
            name: "a \"b\"".into(),
            rates: vec![0.5, 200.25],
            group_mask: 5,
            duration_ms: 9,
            holders: vec![ServerId(1), ServerId(7)],
        };
        let (name, server, to) = (title.name.clone(), ServerId(3), ServerId(4));
        let changes = [
            Change::PutTitle(title),
            Change::RemoveTitle { name: name.clone() },
            Change::AddHolder { name: name.clone(), server },
            Change::RemoveHolder { name: name.clone(), server },
            Change::MoveHolder { name: name.clone(), from: server, to },
            Change::SetRates { name, rates: vec![1.0] },
            Change::ServerGone(server),
            Change::ServerBack(server),
            Change::SetRack { server, rack: RackId(2) },
        ];
        for (number, change) in changes.into_iter().enumerate() {
            let numbered = NumberedChange { number: number as u64, change };
            assert_eq!(decode(&encode(&numbered)), Ok(numbered));
        }
        for (text, expected) in [
            ("[1,{\"gone\":\"x\"}]", "column 14"),
            ("[1,{\"explode\":3}]", "explode"),
            ("[1,{\"move\":{\"title\":\"a\",\"from\":1}}]", "to"),
            ("[{\"gone\":1}]", "column"),
            ("[", "line 1 column 1"),
        ] {
            let error = decode(text).unwrap_err();
            assert!(error.contains(expected), "{text}: {error}");
        }
    }
}
