//! Changes as they are sent and kept: JSON, a pair of its number and what it is.
//!
//! ```text
//! [8,{"put":{"title":"a","rates":[200,380.5],"groups":3,"length":60000,"holders":[1,4]}}]
//! [9,{"move":{"title":"a","from":4,"to":7}}]      [10,{"gone":7}]
//! ```
use crate::change::{Change, NumberedChange, Title};
use serde::{Deserialize, Serialize};
use walnutline::ids::{RackId, ServerId};

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum What {
    Put(Put),
    Drop(String),
    Add(At),
    Remove(At),
    Move(Move),
    Rates(Rates),
    Gone(u32),
    Back(u32),
    Stands(Stands),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Put {
    title: String,
    rates: Vec<f32>,
    groups: u32,
    length: u32,
    holders: Vec<u32>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct At {
    title: String,
    #[serde(rename = "box")]
    server: u32,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Move {
    title: String,
    from: u32,
    to: u32,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rates {
    title: String,
    rates: Vec<f32>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stands {
    #[serde(rename = "box")]
    server: u32,
    rack: u32,
}

pub fn encode(n: &NumberedChange) -> String {
    let what = match n.change.clone() {
        Change::PutTitle(t) => What::Put(Put {
            title: t.name,
            rates: t.rates,
            groups: t.group_mask,
            length: t.duration_ms,
            holders: t.holders.into_iter().map(|h| h.0).collect(),
        }),
        Change::RemoveTitle { name } => What::Drop(name),
        Change::AddHolder { name, server } => What::Add(At { title: name, server: server.0 }),
        Change::RemoveHolder { name, server } => What::Remove(At { title: name, server: server.0 }),
        Change::MoveHolder { name, from, to } => What::Move(Move { title: name, from: from.0, to: to.0 }),
        Change::SetRates { name, rates } => What::Rates(Rates { title: name, rates }),
        Change::ServerGone(server) => What::Gone(server.0),
        Change::ServerBack(server) => What::Back(server.0),
        Change::SetRack { server, rack } => What::Stands(Stands { server: server.0, rack: rack.0 }),
    };
    // Rates that are not finite are no numbers to JSON; no such title is ever kept.
    serde_json::to_string(&(n.number, what)).unwrap_or_default()
}

/// Reads one change; the error tells line and column.
pub fn decode(text: &str) -> Result<NumberedChange, String> {
    let (number, what): (u64, What) = serde_json::from_str(text).map_err(|e| format!("change: {e}"))?;
    let change = match what {
        What::Put(p) => {
            let mut holders: Vec<ServerId> = p.holders.into_iter().map(ServerId).collect();
            holders.sort_unstable();
            Change::PutTitle(Title {
                name: p.title,
                rates: p.rates,
                group_mask: p.groups,
                duration_ms: p.length,
                holders,
            })
        }
        What::Drop(name) => Change::RemoveTitle { name },
        What::Add(a) => Change::AddHolder { name: a.title, server: ServerId(a.server) },
        What::Remove(a) => Change::RemoveHolder { name: a.title, server: ServerId(a.server) },
        What::Move(m) => Change::MoveHolder { name: m.title, from: ServerId(m.from), to: ServerId(m.to) },
        What::Rates(r) => Change::SetRates { name: r.title, rates: r.rates },
        What::Gone(server) => Change::ServerGone(ServerId(server)),
        What::Back(server) => Change::ServerBack(ServerId(server)),
        What::Stands(s) => Change::SetRack { server: ServerId(s.server), rack: RackId(s.rack) },
    };
    Ok(NumberedChange { number, change })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_change_is_read_back_and_faults_have_their_place() {
        let title = Title {
            name: "a \"b\"".into(),
            rates: vec![0.5, 200.25],
            group_mask: 5,
            duration_ms: 9,
            holders: vec![ServerId(1), ServerId(7)],
        };
        let (name, server, to) = (title.name.clone(), ServerId(3), ServerId(4));
        let all = [
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
        for (number, change) in all.into_iter().enumerate() {
            let n = NumberedChange { number: number as u64, change };
            assert_eq!(decode(&encode(&n)), Ok(n));
        }
        for (text, place) in [
            ("[1,{\"gone\":\"x\"}]", "column 14"),
            ("[1,{\"explode\":3}]", "explode"),
            ("[1,{\"move\":{\"title\":\"a\",\"from\":1}}]", "to"),
            ("[{\"gone\":1}]", "column"),
            ("[", "line 1 column 1"),
        ] {
            let told = decode(text).unwrap_err();
            assert!(told.contains(place), "{text}: {told}");
        }
    }
}
