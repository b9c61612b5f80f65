//! The language of rehearsal scripts: the boxes, fronts and viewers, and the faults with their times. Each line holds one
//! statement, `#` begins a comment. Errors name line and column.
//!
//! ```text
//! boxes 12 in 3 racks
//! fronts 3
//! seed 7
//! viewers 20 a second
//! sessions 4s to 12s
//! length 30s
//! titles vary x0.6 to x1.8     # true rates relative to the ladder's
//! at 5s kill 3 boxes
//! at 6s hang box 2 for 4s
//! at 6s errors box 4 50% for 5s
//! at 8s links of rack 1 at 50% for 9s
//! at 8s reports 2s late for 9s
//! at 8s list 3s late for 9s
//! at 9s restart 3 boxes
//! at 9s crowd x4 on 2 titles for 5s
//! at 12s roll all boxes by 3 every 3s
//! at 15s fronts restart within 1s
//! at 15s stop front 1 for 2s
//! at 15s lose answers of rack 0 30% for 5s
//! ```
use winnow::ascii::{digit1, float, space0, space1};
use winnow::combinator::{alt, cut_err, delimited, dispatch, eof, fail, preceded, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// A parsed script.
#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    /// Number of boxes, spread evenly over the racks.
    pub boxes: u32,
    /// Number of racks.
    pub racks: u32,
    /// Number of fronts.
    pub fronts: u32,
    /// Seed of all random draws.
    pub seed: u64,
    /// Mean arrival rate.
    pub viewers_per_second: f64,
    /// Least and greatest true rate of a title, as a multiple of the ladder's rates.
    pub title_rate_factors: (f64, f64),
    /// Shortest and longest session.
    pub session_ms: (f64, f64),
    /// How long viewers arrive.
    pub duration_ms: f64,
    /// Faults with their times in milliseconds from the start, in the order of time.
    pub faults: Vec<(f64, Fault)>,
}

/// The boxes that a fault affects. Records hold the `Debug` form: renaming a variant changes them.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxSelection {
    /// The box with this number.
    Box(u32),
    /// All boxes of the rack with this number.
    Rack(u32),
    /// This many, drawn at random.
    Some(u32),
    /// All boxes.
    All,
}

/// A fault, or another event of a script. Records hold the `Debug` form: renaming a variant or field changes them.
/// Times and durations are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The processes of the boxes are killed.
    Kill(BoxSelection),
    /// The boxes start cold; `Some(n)` starts that many of the boxes that are down, if any are.
    Restart(BoxSelection),
    /// The boxes stop responding for this time.
    Hang { which: BoxSelection, lasts: f64 },
    /// This share of the SETUPs fails.
    Errors { which: BoxSelection, share: f64, lasts: f64 },
    /// The answers of this share of the SETUPs are lost.
    LoseAnswers { which: BoxSelection, share: f64, lasts: f64 },
    /// The links have this share of their capacity.
    Links { which: BoxSelection, share: f64, lasts: f64 },
    /// Load reports are this late.
    ReportsLate { late: f64, lasts: f64 },
    /// The list shows changes this late.
    ListLate { late: f64, lasts: f64 },
    /// The arrival rate is multiplied, and the additional viewers request the last titles, which few boxes hold.
    Crowd { times: f64, titles: u32, lasts: f64 },
    /// The boxes are drained and restarted in groups of `by`, one group `every` so often.
    Roll { which: BoxSelection, by: u32, every: f64 },
    /// All fronts are killed and restarted, spread evenly over this time.
    FrontsRestart { within: f64 },
    /// The process of a front is suspended.
    StopFront { front: u32, lasts: f64 },
}

enum Statement {
    Boxes(u32, u32),
    Fronts(u32),
    Seed(u64),
    Viewers(f64),
    Sessions(f64, f64),
    TitleRates(f64, f64),
    Length(f64),
    At(f64, Fault),
    /// An empty line or a comment.
    Empty,
}

/// Parses a script; `file` is its name in errors, which read `FILE:LINE:COLUMN: reason`.
pub fn parse(file: &str, text: &str) -> Result<Script, String> {
    let mut script = Script {
        boxes: 12,
        racks: 3,
        fronts: 3,
        seed: 1,
        viewers_per_second: 20.0,
        title_rate_factors: (1.0, 1.0),
        session_ms: (4_000.0, 12_000.0),
        duration_ms: 30_000.0,
        faults: Vec::new(),
    };
    for (index, line) in text.lines().enumerate() {
        let code = line.split('#').next().unwrap_or("");
        let statement = statement.parse(code).map_err(|e| {
            let column = code[..e.offset().min(code.len())].chars().count() + 1;
            let reason = e.inner().to_string().replace('\n', ", ");
            let reason = if reason.is_empty() { "invalid statement".to_owned() } else { reason };
            format!("{file}:{}:{column}: {reason}", index + 1)
        })?;
        match statement {
            Statement::Boxes(boxes, racks) => (script.boxes, script.racks) = (boxes, racks),
            Statement::Fronts(n) => script.fronts = n,
            Statement::Seed(n) => script.seed = n,
            Statement::Viewers(n) => script.viewers_per_second = n,
            Statement::Sessions(shortest, longest) => script.session_ms = (shortest, longest),
            Statement::TitleRates(least, greatest) => script.title_rate_factors = (least, greatest),
            Statement::Length(duration_ms) => script.duration_ms = duration_ms,
            Statement::At(at_ms, fault) => script.faults.push((at_ms, fault)),
            Statement::Empty => {}
        }
        validate(&script).map_err(|reason| format!("{file}:{}:1: {reason}", index + 1))?;
    }
    script.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(script)
}

fn validate(script: &Script) -> Result<(), &'static str> {
    match script {
        _ if script.racks == 0 || script.boxes < script.racks => Err("every rack needs a box"),
        _ if script.fronts == 0 || script.fronts > 64 => Err("between 1 and 64 fronts are allowed"),
        _ if script.boxes > 1_000 => Err("at most 1000 boxes are allowed"),
        _ if !(script.viewers_per_second > 0.0 && script.viewers_per_second <= 5_000.0) => {
            Err("viewers a second must be above 0, 5000 at most")
        }
        _ if script.session_ms.0 > script.session_ms.1 => {
            Err("the shortest session is longer than the longest")
        }
        _ if !(0.01..=100.0).contains(&script.title_rate_factors.0)
            || !(script.title_rate_factors.0..=100.0).contains(&script.title_rate_factors.1) =>
        {
            Err("titles vary between x0.01 and x100, the lower factor first")
        }
        _ if script.duration_ms > 600_000.0 => Err("the length is 600 s at most"),
        _ => Ok(()),
    }
}

/// Result of a parser.
type Parsed<T> = Result<T, winnow::error::ErrMode<ContextError>>;

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

/// A word of the language and the spaces after it.
fn word<'a>(literal: &'static str) -> impl Parser<&'a str, &'a str, winnow::error::ErrMode<ContextError>> {
    terminated(literal, space0).context(StrContext::Expected(StrContextValue::StringLiteral(literal)))
}

fn number(input: &mut &str) -> Parsed<u32> {
    terminated(digit1.parse_to(), space0).context(expected("a whole number")).parse_next(input)
}

/// A percentage, as a share of 0 to 1.
fn share(input: &mut &str) -> Parsed<f64> {
    let percent = terminated(float::<_, f64, _>, ('%', space0)).verify(|p: &f64| (0.0..=100.0).contains(p));
    percent.map(|p: f64| p / 100.0).context(expected("a share of 0% to 100%")).parse_next(input)
}

/// A duration, in milliseconds.
fn duration(input: &mut &str) -> Parsed<f64> {
    let unit = alt(("ms".value(1.0), "s".value(1_000.0), "m".value(60_000.0)));
    let duration = terminated((float, unit), space0).map(|(n, unit): (f64, f64)| n * unit);
    duration
        .verify(|ms| (0.0..=3.6e6).contains(ms))
        .context(expected("a time like 5s or 250ms"))
        .parse_next(input)
}

/// A factor such as `x1.5`.
fn factor(input: &mut &str) -> Parsed<f64> {
    delimited('x', float, space0).context(expected("a factor like x1.5")).parse_next(input)
}

/// The duration after `for`.
fn lasting(input: &mut &str) -> Parsed<f64> {
    preceded(word("for"), cut_err(duration)).parse_next(input)
}

fn box_selection(input: &mut &str) -> Parsed<BoxSelection> {
    alt((
        preceded(word("box "), number).map(BoxSelection::Box),
        preceded(word("rack"), number).map(BoxSelection::Rack),
        (word("all"), word("boxes")).value(BoxSelection::All),
        terminated(number, word("boxes")).map(BoxSelection::Some),
    ))
    .context(expected("box N, rack N, N boxes or all boxes"))
    .parse_next(input)
}

const STATEMENTS: [&str; 8] = ["boxes", "fronts", "seed", "viewers", "titles", "sessions", "length", "at"];
const FAULTS: [&str; 12] = [
    "kill", "restart", "hang", "errors", "lose", "links", "reports", "list", "crowd", "roll", "fronts",
    "stop",
];

/// The first word of a statement or fault; an error for an unknown word points at its beginning.
fn keyword<'a>(
    known: &'static [&'static str],
    description: &'static str,
) -> impl Parser<&'a str, &'a str, winnow::error::ErrMode<ContextError>> {
    let letters = take_while(1.., |c: char| c.is_ascii_alphabetic());
    terminated(letters.verify(|word: &str| known.contains(&word)), space0).context(expected(description))
}

fn statement(input: &mut &str) -> Parsed<Statement> {
    space0.parse_next(input)?;
    if input.is_empty() {
        return Ok(Statement::Empty);
    }
    let mut keyword = keyword(&STATEMENTS, "boxes, fronts, seed, viewers, titles, sessions, length or at");
    let mut statement = dispatch! { keyword;
        "boxes" => cut_err((number, preceded(word("in"), number), word("racks")))
            .map(|(boxes, racks, _)| Statement::Boxes(boxes, racks)),
        "fronts" => cut_err(number).map(Statement::Fronts),
        "seed" => cut_err(number).map(|n| Statement::Seed(n.into())),
        "viewers" => cut_err((terminated(float, space1), word("a"), word("second")))
            .map(|(n, _, _)| Statement::Viewers(n)),
        "sessions" => cut_err((duration, preceded(word("to"), duration)))
            .map(|(shortest, longest)| Statement::Sessions(shortest, longest)),
        "titles" => cut_err((word("vary"), factor, preceded(word("to"), factor)))
            .map(|(_, least, greatest)| Statement::TitleRates(least, greatest)),
        "length" => cut_err(duration).map(Statement::Length),
        "at" => cut_err((duration, fault)).map(|(at_ms, fault)| Statement::At(at_ms, fault)),
        _ => fail,
    };
    let parsed = statement.parse_next(input)?;
    cut_err(eof.context(expected("the end of the line"))).parse_next(input)?;
    Ok(parsed)
}

fn fault(input: &mut &str) -> Parsed<Fault> {
    let mut keyword = keyword(
        &FAULTS,
        "a fault: kill, restart, hang, errors, lose, links, reports, list, crowd, roll, fronts or stop",
    );
    let mut fault = dispatch! { keyword;
        "kill" => cut_err(box_selection).map(Fault::Kill),
        "restart" => cut_err(box_selection).map(Fault::Restart),
        "hang" => cut_err((box_selection, lasting)).map(|(which, lasts)| Fault::Hang { which, lasts }),
        "errors" => cut_err((box_selection, share, lasting))
            .map(|(which, share, lasts)| Fault::Errors { which, share, lasts }),
        "lose" => cut_err((word("answers"), word("of"), box_selection, share, lasting))
            .map(|(_, _, which, share, lasts)| Fault::LoseAnswers { which, share, lasts }),
        "links" => cut_err((word("of"), box_selection, word("at"), share, lasting))
            .map(|(_, which, _, share, lasts)| Fault::Links { which, share, lasts }),
        "reports" => cut_err((duration, word("late"), lasting))
            .map(|(late, _, lasts)| Fault::ReportsLate { late, lasts }),
        "list" => cut_err((duration, word("late"), lasting))
            .map(|(late, _, lasts)| Fault::ListLate { late, lasts }),
        "crowd" => cut_err((delimited('x', float, space1), word("on"), number, word("titles"), lasting))
            .map(|(times, _, titles, _, lasts)| Fault::Crowd { times, titles, lasts }),
        "roll" => cut_err((box_selection, word("by"), number, word("every"), duration))
            .map(|(which, _, by, _, every)| Fault::Roll { which, by: by.max(1), every }),
        "fronts" => cut_err((word("restart"), word("within"), duration))
            .map(|(_, _, within)| Fault::FrontsRestart { within }),
        "stop" => cut_err((word("front"), number, lasting))
            .map(|(_, front, lasts)| Fault::StopFront { front, lasts }),
        _ => fail,
    };
    fault.parse_next(input)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_statement_and_fault_is_parsed() {
        let text =
            "# comment\nboxes 4 in 2 racks\nfronts 2\nviewers 2.5 a second\nsessions 4s to 8s\nlength 1m\n\
            seed 9\ntitles vary x0.5 to x2\nat 5s kill 3 boxes  # comment\nat 9s restart rack 1\nat 250ms hang box 2 for 4s\n\
            at 6s errors box 1 50% for 5s\nat 6s lose answers of all boxes 30% for 5s\n\
            at 8s links of rack 1 at 50% for 9s\nat 8s reports 2s late for 9s\nat 8s list 3s late for 9s\n\
            at 9s crowd x4 on 2 titles for 5s\nat 12s roll all boxes by 3 every 3s\n\
            at 15s fronts restart within 1s\nat 15s stop front 1 for 2s\n";
        let s = parse("d", text).unwrap();
        assert_eq!((s.boxes, s.racks, s.fronts, s.seed, s.duration_ms), (4, 2, 2, 9, 60_000.0));
        assert_eq!((s.title_rate_factors, s.faults.len()), ((0.5, 2.0), 12));
        assert_eq!(s.faults[0], (250.0, Fault::Hang { which: BoxSelection::Box(2), lasts: 4_000.0 }));
        assert!(s.faults.contains(&(9_000.0, Fault::Crowd { times: 4.0, titles: 2, lasts: 5_000.0 })));
    }

    #[test]
    fn errors_name_line_and_column() {
        for (text, expected) in [
            ("boxes 4 in 2 racks\nat 5s explode", "d:2:7"),
            ("at soon kill box 1", "d:1:4"),
            ("at 5s hang box 1", "d:1:17"),
            ("at 5s errors box 1 500% for 1s", "d:1:20"),
            ("frogs 3", "d:1:1"),
            ("titles vary 2 to x3", "d:1:13"),
            ("titles vary x3 to x2", "d:1:1: titles vary"),
            ("fronts 3 or so", "d:1:10"),
            ("boxes 2 in 3 racks", "d:1:1: every rack needs a box"),
        ] {
            let error = parse("d", text).unwrap_err();
            assert!(error.starts_with(expected), "{text}: {error}");
        }
    }

    proptest::proptest! {
        #[test]
        fn arbitrary_text_gives_an_error_with_a_position(text in "(at |boxes |[0-9]{1,22}|s |%|for |x|[a-z]{1,9} |\\PC){0,12}") {
            if let Err(error) = parse("d", &text) {
                proptest::prop_assert!(error.starts_with("d:1:"), "{error}");
            }
        }
    }
}
