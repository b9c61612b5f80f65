//! The language of bad days: a depot, its viewers, and troubles with their times. One statement a line, `#` begins
//! a comment. Faults are told with line and column.
//!
//! ```text
//! boxes 12 in 3 racks          fronts 3           seed 7
//! viewers 20 a second          sessions 4s to 12s length 30s
//! titles vary x0.6 to x1.8     # true rates beside the ladder's
//! at 5s kill 3 boxes           at 9s restart 3 boxes
//! at 6s hang box 2 for 4s      at 6s errors box 4 50% for 5s
//! at 8s links of rack 1 at 50% for 9s
//! at 8s reports 2s late for 9s at 8s list 3s late for 9s
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

#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    pub boxes: u32,
    pub racks: u32,
    pub fronts: u32,
    pub seed: u64,
    /// Viewers a second.
    pub viewers_per_second: f64,
    /// Least and greatest factor of titles' true rates over the ladder's.
    pub title_rate_factors: (f64, f64),
    /// Shortest and longest session, and the length of the day, in milliseconds.
    pub session_ms: (f64, f64),
    pub duration_ms: f64,
    pub faults: Vec<(f64, Fault)>,
}

/// BoxSelection boxes a trouble hits.
#[derive(Debug, Clone, PartialEq)]
pub enum BoxSelection {
    Box(u32),
    Rack(u32),
    /// So many, drawn by chance.
    Some(u32),
    All,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(BoxSelection),
    Restart(BoxSelection),
    Hang {
        which: BoxSelection,
        lasts: f64,
    },
    /// Share of the SETUPs that fail.
    Errors {
        which: BoxSelection,
        share: f64,
        lasts: f64,
    },
    /// Share of the SETUPs' answers that are lost.
    LoseAnswers {
        which: BoxSelection,
        share: f64,
        lasts: f64,
    },
    Links {
        which: BoxSelection,
        share: f64,
        lasts: f64,
    },
    ReportsLate {
        late: f64,
        lasts: f64,
    },
    ListLate {
        late: f64,
        lasts: f64,
    },
    Crowd {
        times: f64,
        titles: u32,
        lasts: f64,
    },
    Roll {
        which: BoxSelection,
        by: u32,
        every: f64,
    },
    FrontsRestart {
        within: f64,
    },
    StopFront {
        front: u32,
        lasts: f64,
    },
}

enum Statement {
    Boxes(u32, u32),
    Fronts(u32),
    Seed(u64),
    Viewers(f64),
    Sessions(f64, f64),
    Vary(f64, f64),
    Length(f64),
    At(f64, Fault),
    Nothing,
}

pub fn parse(file: &str, text: &str) -> Result<Script, String> {
    let mut s = Script {
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
    for (n, line) in text.lines().enumerate() {
        let code = line.split('#').next().unwrap_or("");
        let statement = statement.parse(code).map_err(|e| {
            let column = code[..e.offset().min(code.len())].chars().count() + 1;
            let why = e.inner().to_string().replace('\n', ", ");
            let why = if why.is_empty() { "not understood".to_owned() } else { why };
            format!("{file}:{}:{column}: {why}", n + 1)
        })?;
        match statement {
            Statement::Boxes(boxes, racks) => (s.boxes, s.racks) = (boxes, racks),
            Statement::Fronts(n) => s.fronts = n,
            Statement::Seed(n) => s.seed = n,
            Statement::Viewers(n) => s.viewers_per_second = n,
            Statement::Sessions(a, b) => s.session_ms = (a, b),
            Statement::Vary(a, b) => s.title_rate_factors = (a, b),
            Statement::Length(t) => s.duration_ms = t,
            Statement::At(t, what) => s.faults.push((t, what)),
            Statement::Nothing => {}
        }
        check(&s).map_err(|why| format!("{file}:{}:1: {why}", n + 1))?;
    }
    s.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(s)
}

fn check(s: &Script) -> Result<(), &'static str> {
    match s {
        _ if s.racks == 0 || s.boxes < s.racks => Err("every rack needs a box"),
        _ if s.fronts == 0 || s.fronts > 64 => Err("between 1 and 64 fronts are wanted"),
        _ if s.boxes > 1_000 => Err("at most 1000 boxes are wanted"),
        _ if !(s.viewers_per_second > 0.0 && s.viewers_per_second <= 5_000.0) => {
            Err("up to 5000 viewers a second are wanted")
        }
        _ if s.session_ms.0 > s.session_ms.1 => Err("the shortest session is longer than the longest"),
        _ if !(0.01..=100.0).contains(&s.title_rate_factors.0)
            || !(s.title_rate_factors.0..=100.0).contains(&s.title_rate_factors.1) =>
        {
            Err("titles vary from x0.01, up to x100 at most")
        }
        _ if s.duration_ms > 600_000.0 => Err("a day of at most 600 s is wanted"),
        _ => Ok(()),
    }
}

type Parsed<T> = Result<T, winnow::error::ErrMode<ContextError>>;

fn wanted(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn word<'a>(w: &'static str) -> impl Parser<&'a str, &'a str, winnow::error::ErrMode<ContextError>> {
    terminated(w, space0).context(StrContext::Expected(StrContextValue::StringLiteral(w)))
}

fn number(i: &mut &str) -> Parsed<u32> {
    terminated(digit1.parse_to(), space0).context(wanted("a whole number")).parse_next(i)
}

fn share(i: &mut &str) -> Parsed<f64> {
    let percent = terminated(float::<_, f64, _>, ('%', space0)).verify(|p: &f64| (0.0..=100.0).contains(p));
    percent.map(|p: f64| p / 100.0).context(wanted("a share of 0% to 100%")).parse_next(i)
}

/// A length of time, in milliseconds.
fn time(i: &mut &str) -> Parsed<f64> {
    let unit = alt(("ms".value(1.0), "s".value(1_000.0), "m".value(60_000.0)));
    let time = terminated((float, unit), space0).map(|(n, unit): (f64, f64)| n * unit);
    time.verify(|t| (0.0..=3.6e6).contains(t)).context(wanted("a time like 5s or 250ms")).parse_next(i)
}

fn times(i: &mut &str) -> Parsed<f64> {
    delimited('x', float, space0).context(wanted("a factor like x1.5")).parse_next(i)
}

fn lasts(i: &mut &str) -> Parsed<f64> {
    preceded(word("for"), cut_err(time)).parse_next(i)
}

fn which(i: &mut &str) -> Parsed<BoxSelection> {
    alt((
        preceded(word("box "), number).map(BoxSelection::Box),
        preceded(word("rack"), number).map(BoxSelection::Rack),
        (word("all"), word("boxes")).value(BoxSelection::All),
        terminated(number, word("boxes")).map(BoxSelection::Some),
    ))
    .context(wanted("box N, rack N, N boxes or all boxes"))
    .parse_next(i)
}

const STATEMENTS: [&str; 8] = ["boxes", "fronts", "seed", "viewers", "titles", "sessions", "length", "at"];
const TROUBLES: [&str; 12] = [
    "kill", "restart", "hang", "errors", "lose", "links", "reports", "list", "crowd", "roll", "fronts",
    "stop",
];

/// One of some words; where it is another, the fault stands at its beginning.
fn head<'a>(
    known: &'static [&'static str],
    all: &'static str,
) -> impl Parser<&'a str, &'a str, winnow::error::ErrMode<ContextError>> {
    let letters = take_while(1.., |c: char| c.is_ascii_alphabetic());
    terminated(letters.verify(|w: &str| known.contains(&w)), space0).context(wanted(all))
}

fn statement(i: &mut &str) -> Parsed<Statement> {
    space0.parse_next(i)?;
    if i.is_empty() {
        return Ok(Statement::Nothing);
    }
    let mut head = head(&STATEMENTS, "boxes, fronts, seed, viewers, titles, sessions, length or at");
    let mut statement = dispatch! { head;
        "boxes" => cut_err((number, preceded(word("in"), number), word("racks")))
            .map(|(boxes, racks, _)| Statement::Boxes(boxes, racks)),
        "fronts" => cut_err(number).map(Statement::Fronts),
        "seed" => cut_err(number).map(|n| Statement::Seed(n.into())),
        "viewers" => cut_err((terminated(float, space1), word("a"), word("second")))
            .map(|(n, _, _)| Statement::Viewers(n)),
        "sessions" => cut_err((time, preceded(word("to"), time))).map(|(a, b)| Statement::Sessions(a, b)),
        "titles" => cut_err((word("vary"), times, preceded(word("to"), times)))
            .map(|(_, a, b)| Statement::Vary(a, b)),
        "length" => cut_err(time).map(Statement::Length),
        "at" => cut_err((time, trouble)).map(|(t, what)| Statement::At(t, what)),
        _ => fail,
    };
    let done = statement.parse_next(i)?;
    cut_err(eof.context(wanted("the end of the line"))).parse_next(i)?;
    Ok(done)
}

fn trouble(i: &mut &str) -> Parsed<Fault> {
    let mut head = head(
        &TROUBLES,
        "a trouble: kill, restart, hang, errors, lose, links, reports, list, crowd, roll, fronts or stop",
    );
    let mut trouble = dispatch! { head;
        "kill" => cut_err(which).map(Fault::Kill),
        "restart" => cut_err(which).map(Fault::Restart),
        "hang" => cut_err((which, lasts)).map(|(which, lasts)| Fault::Hang { which, lasts }),
        "errors" => cut_err((which, share, lasts))
            .map(|(which, share, lasts)| Fault::Errors { which, share, lasts }),
        "lose" => cut_err((word("answers"), word("of"), which, share, lasts))
            .map(|(_, _, which, share, lasts)| Fault::LoseAnswers { which, share, lasts }),
        "links" => cut_err((word("of"), which, word("at"), share, lasts))
            .map(|(_, which, _, share, lasts)| Fault::Links { which, share, lasts }),
        "reports" => cut_err((time, word("late"), lasts))
            .map(|(late, _, lasts)| Fault::ReportsLate { late, lasts }),
        "list" => cut_err((time, word("late"), lasts)).map(|(late, _, lasts)| Fault::ListLate { late, lasts }),
        "crowd" => cut_err((delimited('x', float, space1), word("on"), number, word("titles"), lasts))
            .map(|(times, _, titles, _, lasts)| Fault::Crowd { times, titles, lasts }),
        "roll" => cut_err((which, word("by"), number, word("every"), time))
            .map(|(which, _, by, _, every)| Fault::Roll { which, by: by.max(1), every }),
        "fronts" => cut_err((word("restart"), word("within"), time))
            .map(|(_, _, within)| Fault::FrontsRestart { within }),
        "stop" => cut_err((word("front"), number, lasts))
            .map(|(_, front, lasts)| Fault::StopFront { front, lasts }),
        _ => fail,
    };
    trouble.parse_next(i)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_day_with_every_trouble() {
        let text =
            "# a day\nboxes 4 in 2 racks\nfronts 2\nviewers 2.5 a second\nsessions 4s to 8s\nlength 1m\n\
            seed 9\ntitles vary x0.5 to x2\nat 5s kill 3 boxes  # sudden\nat 9s restart rack 1\nat 250ms hang box 2 for 4s\n\
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
    fn faults_have_their_place() {
        for (text, wanted) in [
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
            let told = parse("d", text).unwrap_err();
            assert!(told.starts_with(wanted), "{text}: {told}");
        }
    }

    proptest::proptest! {
        #[test]
        fn rubbish_is_refused_with_its_place(text in "(at |boxes |[0-9]{1,22}|s |%|for |x|[a-z]{1,9} |\\PC){0,12}") {
            if let Err(told) = parse("d", &text) {
                proptest::prop_assert!(told.starts_with("d:1:"), "{told}");
            }
        }
    }
}
