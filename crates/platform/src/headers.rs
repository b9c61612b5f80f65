//! The platform's own fields in messages.

pub const CLASS: &str = "X-Call-Class";
pub const LIMIT: &str = "X-Ring-Limit";
pub const HINT: &str = "Expected-Ms";
pub const DEST: &str = "X-Dest";
pub const HOLD_OFF: &str = "X-Hold-Off";
pub const RUNG: &str = "Rate-Step";
pub const WHY: &str = "X-Why";
pub const FIGURE: &str = "Figure";
pub const CIRCUITS: &str = "X-Circuits";
pub const REASON: &str = "Reason";

/// Causes that a release tells.
pub const ENDED: u32 = 16;
pub const WITHDRAWN: u32 = 31;
pub const CUT: u32 = 41;

/// Longest wait that is read, in milliseconds. Sessions that are handed over tell one of 71 minutes, which means
/// nothing; what a viewer may mean is for the node to judge.
const LONGEST_WAIT: f64 = u32::MAX as f64;

/// Where a session may go, and its viewer's figures: `home:4;copies:3;top:4;viewer:00000000b4d65521`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Dest {
    pub home: u32,
    pub copies: u32,
    pub top: u8,
    /// The server that the session plays at already.
    pub at: Option<String>,
}

/// Reads `X-Dest`. Names that are not known are passed over; their figures are nobody's here.
pub fn dest(text: &str) -> Result<Dest, String> {
    let (mut home, mut copies, mut top, mut at) = (None, None, None, None);
    for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
        let (name, value) = part.split_once(':').ok_or_else(|| format!("{DEST}: {part:?} has no figure"))?;
        let number = || value.parse::<u32>().map_err(|_| format!("{DEST}: {name}: not a number in range"));
        match name {
            "home" => home = Some(number()?),
            "copies" => copies = Some(number()?),
            "top" => top = Some(u8::try_from(number()?).map_err(|_| format!("{DEST}: top: out of range"))?),
            "viewer" => {
                u64::from_str_radix(value, 16).map_err(|_| format!("{DEST}: viewer: not an id"))?;
            }
            "at" => at = Some(value.to_owned()),
            _ => {}
        }
    }
    let need = |name: &str| format!("{DEST}: {name}: missing");
    Ok(Dest {
        home: home.ok_or_else(|| need("home"))?,
        copies: copies.ok_or_else(|| need("copies"))?,
        top: top.ok_or_else(|| need("top"))?,
        at,
    })
}

/// A time in milliseconds, above zero.
pub fn wait(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|t: &f64| t.is_finite() && *t > 0.0 && *t <= LONGEST_WAIT)
}

/// A figure that is one.
pub fn figure(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|t: &f64| t.is_finite())
}

/// A report: `x0:12;x1:40;queue:3`. What is no figure is left out.
pub fn circuits(text: &str) -> Vec<(String, f64)> {
    let parts = text.split(';').filter_map(|p| p.trim().split_once(':'));
    parts.filter_map(|(name, v)| Some((name.trim().to_owned(), figure(v)?))).collect()
}

/// `Reason: cause=16`.
pub fn cause(text: &str) -> Option<u32> {
    text.split(';').find_map(|p| p.trim().strip_prefix("cause=")).and_then(|n| n.trim().parse().ok())
}
