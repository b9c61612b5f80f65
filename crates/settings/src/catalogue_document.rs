//! A catalogue as a KDL document, for loading by hand. Every fault is told with file, line and column.
//!
//! ```kdl
//! number 12
//! groups "council-notice" "board-loop"
//! box 3 rack=1
//! box 4 rack=1 gone=true
//! title "water-outage" length=60000 {
//!     rates 180 360 630
//!     groups "council-notice"
//!     holders 3 4
//! }
//! ```
use crate::document::{Num, Text};
use crate::{place, syntax, too_deep, DocumentError, DEEPEST};
use knus::span::Span;
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::Title;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};

#[derive(knus::Decode)]
struct Document {
    #[knus(child, unwrap(argument))]
    number: Option<Num>,
    #[knus(child, unwrap(arguments))]
    groups: Vec<Text>,
    #[knus(children(name = "box"))]
    boxes: Vec<BoxNode>,
    #[knus(children(name = "title"))]
    titles: Vec<TitleNode>,
}

#[derive(knus::Decode)]
struct BoxNode {
    #[knus(argument)]
    id: Num,
    #[knus(property)]
    rack: Option<Num>,
    #[knus(property)]
    gone: Option<bool>,
}

#[derive(knus::Decode)]
struct TitleNode {
    #[knus(argument)]
    name: Text,
    #[knus(property)]
    length: Num,
    #[knus(child, unwrap(arguments))]
    rates: Vec<Num>,
    #[knus(child, unwrap(arguments))]
    groups: Vec<Text>,
    #[knus(child, unwrap(arguments))]
    holders: Vec<Num>,
}

/// Reads a catalogue; `file` is its name in what is told of faults.
pub fn parse(file: &str, text: &str) -> Result<Version, Vec<DocumentError>> {
    let fault = |(offset, reason): (usize, String)| {
        let (line, column) = place(text, offset);
        DocumentError { file: file.into(), line, column, reason }
    };
    if let Some(offset) = too_deep(text) {
        return Err(vec![fault((offset, format!("nested deeper than {DEEPEST}")))]);
    }
    let document = knus::parse_with_context::<Document, Span, _>(file, text, |_| {});
    let document = document.map_err(|e| syntax(&e).into_iter().map(fault).collect::<Vec<_>>())?;
    version(document).map_err(|faults| faults.into_iter().map(fault).collect())
}

fn id(n: Num, what: &str) -> Result<u32, (usize, String)> {
    match n.value {
        v if v.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&v) => Ok(v as u32),
        v => Err((n.at, format!("{what}: {v} is not a whole number of 0 to {}", u32::MAX))),
    }
}

fn version(d: Document) -> Result<Version, Vec<(usize, String)>> {
    let names: Vec<String> = d.groups.iter().map(|g| g.value.clone()).collect();
    let number = d.number.map_or(Ok(0), |n| id(n, "number")).map_err(|f| vec![f])?;
    let at = d.groups.first().map_or(0, |g| g.at);
    let mut builder =
        VersionBuilder::new(number.into(), names.clone(), None).map_err(|why| vec![(at, why)])?;
    let mut faults = Vec::new();
    for b in d.boxes {
        let rack = b.rack.map(|r| id(r, "rack").map(RackId)).transpose();
        match (id(b.id, "box"), rack) {
            (Ok(server), Ok(rack)) => {
                builder.add_box(BoxState { server: ServerId(server), gone: b.gone.unwrap_or(false), rack })
            }
            (server, rack) => faults.extend(server.err().into_iter().chain(rack.err())),
        }
    }
    for t in d.titles {
        let at = t.name.at;
        let done = title(t, &names).and_then(|t| {
            let packed = PackedTitle::new(&t).map_err(|why| (at, why))?;
            builder.add_title(packed).map_err(|why| (at, why))
        });
        faults.extend(done.err());
    }
    if faults.is_empty() {
        Ok(builder.finish())
    } else {
        Err(faults)
    }
}

fn title(t: TitleNode, names: &[String]) -> Result<Title, (usize, String)> {
    let mut groups = 0;
    for g in &t.groups {
        let bit = names.iter().position(|n| *n == g.value);
        groups |=
            1 << bit.ok_or_else(|| (g.at, format!("service group {:?} is not among the groups", g.value)))?;
    }
    let mut holders = Vec::new();
    for h in &t.holders {
        holders.push(ServerId(id(*h, "holders")?));
    }
    holders.sort_unstable();
    let rates = t.rates.iter().map(|r| r.value as f32).collect();
    Ok(Title { name: t.name.value, rates, group_mask: groups, duration_ms: id(t.length, "length")?, holders })
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "number 12\ngroups \"council\" \"board\"\nbox 3 rack=1\nbox 4 rack=1 gone=true\n\
        title \"water\" length=60000 {\n    rates 180 360.5\n    groups \"board\"\n    holders 4 3\n}\n";

    #[test]
    fn a_document_is_read() {
        let v = parse("c.kdl", GOOD).unwrap();
        assert_eq!((v.number(), v.len(), v.under_replicated_counts()), (12, 1, (0, 1)));
        let t = v.title("water").unwrap().unpack();
        assert_eq!((t.rates, t.group_mask, t.duration_ms), (vec![180.0, 360.5], 2, 60_000));
        assert_eq!(t.holders, [ServerId(3), ServerId(4)]);
        assert_eq!(v.rack_contents(RackId(1)).0, t.holders);
    }

    #[test]
    fn faults_have_their_place() {
        for (from, to, wanted) in [
            ("180 360.5", "360 180", "c.kdl:5:7: title \"water\": rates"),
            ("groups \"board\"", "groups \"bored\"", "c.kdl:7:12: service group \"bored\""),
            ("holders 4 3", "holders 4 4", "c.kdl:5:7: title \"water\": its holders"),
            ("holders 4 3", "holders 4 0.5", "c.kdl:8:15: holders: 0.5 is not"),
            ("rack=1\nbox", "rack=-1\nbox", "c.kdl:3:12: rack: -1 is not"),
            ("length=60000", "", "c.kdl:5:1: "),
            ("groups \"council\" \"board\"", "groups \"board\" \"board\"", "c.kdl:2:8: 2 service groups"),
            ("rates 180", "rates {", "c.kdl:"),
        ] {
            let told = parse("c.kdl", &GOOD.replace(from, to)).unwrap_err();
            assert!(told[0].to_string().starts_with(wanted), "{to}: {}", told[0]);
        }
        let twice = format!("{GOOD}{}", &GOOD[GOOD.find("title").unwrap()..]);
        assert_eq!(
            parse("c.kdl", &twice).unwrap_err()[0].to_string(),
            "c.kdl:10:7: title \"water\" is given twice"
        );
    }
}
