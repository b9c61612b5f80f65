//! The platform's own fields in messages.

pub const HEADER_CALL_CLASS: &str = "X-Call-Class";
pub const HEADER_RING_LIMIT: &str = "X-Ring-Limit";
pub const HEADER_EXPECTED_MS: &str = "Expected-Ms";
pub const HEADER_DEST: &str = "X-Dest";
pub const HEADER_HOLD_OFF: &str = "X-Hold-Off";
pub const HEADER_RATE_STEP: &str = "Rate-Step";
pub const HEADER_WHY: &str = "X-Why";
pub const HEADER_FIGURE: &str = "Figure";
pub const HEADER_CIRCUITS: &str = "X-Circuits";
pub const HEADER_REASON: &str = "Reason";

/// Causes that a release tells.
pub const RELEASE_CAUSE_ENDED: u32 = 16;
pub const RELEASE_CAUSE_WITHDRAWN: u32 = 31;
pub const RELEASE_CAUSE_INTERRUPTED: u32 = 41;

/// Longest wait that is read, in milliseconds. Sessions that are handed over tell one of 71 minutes, which means
/// nothing; what a viewer may mean is for the node to judge.
const LONGEST_WAIT: f64 = u32::MAX as f64;

/// Where a session may go, and its viewer's figures: `home:4;copies:3;top:4;viewer:00000000b4d65521`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Destination {
    pub home_cell: u32,
    pub copies: u32,
    pub top_rung: u8,
    /// The server that the session plays at already.
    pub current_server: Option<String>,
}

/// Reads `X-Dest`. Names that are not known are passed over; their figures are nobody's here.
pub fn parse_destination(text: &str) -> Result<Destination, String> {
    let (mut home, mut copies, mut top, mut at) = (None, None, None, None);
    for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
        let (name, value) =
            part.split_once(':').ok_or_else(|| format!("{HEADER_DEST}: {part:?} has no figure"))?;
        let number =
            || value.parse::<u32>().map_err(|_| format!("{HEADER_DEST}: {name}: not a number in range"));
        match name {
            "home" => home = Some(number()?),
            "copies" => copies = Some(number()?),
            "top" => {
                top = Some(u8::try_from(number()?).map_err(|_| format!("{HEADER_DEST}: top: out of range"))?)
            }
            "viewer" => {
                u64::from_str_radix(value, 16).map_err(|_| format!("{HEADER_DEST}: viewer: not an id"))?;
            }
            "at" => at = Some(value.to_owned()),
            _ => {}
        }
    }
    let need = |name: &str| format!("{HEADER_DEST}: {name}: missing");
    Ok(Destination {
        home_cell: home.ok_or_else(|| need("home"))?,
        copies: copies.ok_or_else(|| need("copies"))?,
        top_rung: top.ok_or_else(|| need("top"))?,
        current_server: at,
    })
}

/// A time in milliseconds, above zero.
pub fn parse_wait_ms(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|t: &f64| t.is_finite() && *t > 0.0 && *t <= LONGEST_WAIT)
}

/// A figure that is one.
pub fn parse_finite(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|t: &f64| t.is_finite())
}

/// A report: `x0:12;x1:40;queue:3`. What is no figure is left out.
pub fn parse_load_report(text: &str) -> Vec<(String, f64)> {
    let parts = text.split(';').filter_map(|p| p.trim().split_once(':'));
    parts.filter_map(|(name, v)| Some((name.trim().to_owned(), parse_finite(v)?))).collect()
}

/// `Reason: cause=16`.
pub fn parse_release_cause(text: &str) -> Option<u32> {
    text.split(';').find_map(|p| p.trim().strip_prefix("cause=")).and_then(|n| n.trim().parse().ok())
}
