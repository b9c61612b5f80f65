//! A catalogue written as a KDL document, for loading by hand. Every error carries file, line and column.
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
use crate::document::{Number, Text};
use crate::{find_excessive_nesting, line_and_column, parser_errors, DocumentError, MAX_NESTING_DEPTH};
use knus::span::Span;
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change::Title;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::{BoxState, Version, VersionBuilder};

#[derive(knus::Decode)]
struct Document {
    #[knus(child, unwrap(argument))]
    number: Option<Number>,
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
    id: Number,
    #[knus(property)]
    rack: Option<Number>,
    #[knus(property)]
    gone: Option<bool>,
}

#[derive(knus::Decode)]
struct TitleNode {
    #[knus(argument)]
    name: Text,
    #[knus(property)]
    length: Number,
    #[knus(child, unwrap(arguments))]
    rates: Vec<Number>,
    #[knus(child, unwrap(arguments))]
    groups: Vec<Text>,
    #[knus(child, unwrap(arguments))]
    holders: Vec<Number>,
}

/// Parses and checks a catalogue document; `file` names it in errors.
pub fn parse(file: &str, text: &str) -> Result<Version, Vec<DocumentError>> {
    let located = |(offset, reason): (usize, String)| {
        let (line, column) = line_and_column(text, offset);
        DocumentError { file: file.into(), line, column, reason }
    };
    if let Some(offset) = find_excessive_nesting(text) {
        return Err(vec![located((offset, format!("nested deeper than {MAX_NESTING_DEPTH}")))]);
    }
    let document = knus::parse_with_context::<Document, Span, _>(file, text, |_| {});
    let document = document.map_err(|e| parser_errors(&e).into_iter().map(located).collect::<Vec<_>>())?;
    version(document).map_err(|errors| errors.into_iter().map(located).collect())
}

/// Converts a number to a `u32`; `name` is its name in errors.
fn integer(number: Number, name: &str) -> Result<u32, (usize, String)> {
    match number.value {
        v if v.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&v) => Ok(v as u32),
        v => Err((number.offset, format!("{name}: {v} is not a whole number of 0 to {}", u32::MAX))),
    }
}

fn version(document: Document) -> Result<Version, Vec<(usize, String)>> {
    let group_names: Vec<String> = document.groups.iter().map(|g| g.value.clone()).collect();
    let number = document.number.map_or(Ok(0), |n| integer(n, "number")).map_err(|e| vec![e])?;
    let offset = document.groups.first().map_or(0, |g| g.offset);
    let mut builder = VersionBuilder::new(number.into(), group_names.clone(), None)
        .map_err(|reason| vec![(offset, reason)])?;
    let mut errors = Vec::new();
    for node in document.boxes {
        let rack = node.rack.map(|r| integer(r, "rack").map(RackId)).transpose();
        match (integer(node.id, "box"), rack) {
            (Ok(server), Ok(rack)) => {
                builder.add_box(BoxState { server: ServerId(server), gone: node.gone.unwrap_or(false), rack })
            }
            (server, rack) => errors.extend(server.err().into_iter().chain(rack.err())),
        }
    }
    for node in document.titles {
        let offset = node.name.offset;
        let added = title(node, &group_names).and_then(|t| {
            let packed = PackedTitle::new(&t).map_err(|reason| (offset, reason))?;
            builder.add_title(packed).map_err(|reason| (offset, reason))
        });
        errors.extend(added.err());
    }
    if errors.is_empty() {
        Ok(builder.finish())
    } else {
        Err(errors)
    }
}

fn title(node: TitleNode, group_names: &[String]) -> Result<Title, (usize, String)> {
    let mut group_mask = 0;
    for group in &node.groups {
        let bit = group_names.iter().position(|n| *n == group.value);
        group_mask |= 1
            << bit.ok_or_else(|| {
                (group.offset, format!("service group {:?} is not among the groups", group.value))
            })?;
    }
    let mut holders = Vec::new();
    for holder in &node.holders {
        holders.push(ServerId(integer(*holder, "holders")?));
    }
    holders.sort_unstable();
    let rates = node.rates.iter().map(|r| r.value as f32).collect();
    Ok(Title {
        name: node.name.value,
        rates,
        group_mask,
        duration_ms: integer(node.length, "length")?,
        holders,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = "number 12\ngroups \"council\" \"board\"\nbox 3 rack=1\nbox 4 rack=1 gone=true\n\
        title \"water\" length=60000 {\n    rates 180 360.5\n    groups \"board\"\n    holders 4 3\n}\n";

    #[test]
    fn a_valid_document_becomes_a_version() {
        let version = parse("c.kdl", VALID).unwrap();
        assert_eq!((version.number(), version.len(), version.under_replicated_counts()), (12, 1, (0, 1)));
        let title = version.title("water").unwrap().unpack();
        assert_eq!((title.rates, title.group_mask, title.duration_ms), (vec![180.0, 360.5], 2, 60_000));
        assert_eq!(title.holders, [ServerId(3), ServerId(4)]);
        assert_eq!(version.rack_contents(RackId(1)).0, title.holders);
    }

    #[test]
    fn every_error_names_its_line_and_column() {
        for (from, to, expected) in [
            ("180 360.5", "360 180", "c.kdl:5:7: title \"water\": rates"),
            ("groups \"board\"", "groups \"bored\"", "c.kdl:7:12: service group \"bored\""),
            ("holders 4 3", "holders 4 4", "c.kdl:5:7: title \"water\": its holders"),
            ("holders 4 3", "holders 4 0.5", "c.kdl:8:15: holders: 0.5 is not"),
            ("rack=1\nbox", "rack=-1\nbox", "c.kdl:3:12: rack: -1 is not"),
            ("length=60000", "", "c.kdl:5:1: "),
            ("groups \"council\" \"board\"", "groups \"board\" \"board\"", "c.kdl:2:8: 2 service groups"),
            ("rates 180", "rates {", "c.kdl:"),
        ] {
            let errors = parse("c.kdl", &VALID.replace(from, to)).unwrap_err();
            assert!(errors[0].to_string().starts_with(expected), "{to}: {}", errors[0]);
        }
        let duplicated = format!("{VALID}{}", &VALID[VALID.find("title").unwrap()..]);
        assert_eq!(
            parse("c.kdl", &duplicated).unwrap_err()[0].to_string(),
            "c.kdl:10:7: title \"water\" is given twice"
        );
    }
}
