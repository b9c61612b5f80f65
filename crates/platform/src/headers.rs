//! Header fields that the platform adds to RTSP, with the parsers of their values.

/// Class of the request, one of the names in the node's configuration.
pub const HEADER_CALL_CLASS: &str = "X-Call-Class";
/// Time in milliseconds for which the sender waits for the response to a SETUP.
pub const HEADER_RING_LIMIT: &str = "X-Ring-Limit";
/// Time in milliseconds that a viewer expects; validated and otherwise unused.
pub const HEADER_EXPECTED_MS: &str = "Expected-Ms";
/// Where a session may be placed; see [`Destination`].
pub const HEADER_DEST: &str = "X-Dest";
/// Time in milliseconds after which a refused viewer should retry.
pub const HEADER_HOLD_OFF: &str = "X-Hold-Off";
/// Rung of a session.
pub const HEADER_RATE_STEP: &str = "Rate-Step";
/// Quantity that an ANNOUNCE reports; see [`Quantity`](crate::server::Quantity).
pub const HEADER_WHY: &str = "X-Why";
/// Value of the quantity that an ANNOUNCE reports.
pub const HEADER_FIGURE: &str = "Figure";
/// Load report of a server; see [`parse_load_report`].
pub const HEADER_CIRCUITS: &str = "X-Circuits";
/// Cause of a release; see [`parse_release_cause`].
pub const HEADER_REASON: &str = "Reason";

/// Release cause: the session ended normally.
pub const RELEASE_CAUSE_ENDED: u32 = 16;
/// Release cause: the viewer ended the session.
pub const RELEASE_CAUSE_WITHDRAWN: u32 = 31;
/// Release cause: the session was interrupted by a failure.
pub const RELEASE_CAUSE_INTERRUPTED: u32 = 41;

/// Longest wait that the parser accepts. A SETUP that hands a session over to this node carries a wait of 71 minutes,
/// which has no meaning; the node checks the waits of viewers against its own limit.
const MAX_WAIT_MS: f64 = u32::MAX as f64;

/// Value of the `X-Dest` header: the cells whose servers hold the title, and the rungs that the viewer can play.
///
/// Example: `home:4;copies:3;top:4;viewer:00000000b4d65521`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Destination {
    /// First cell that holds the title.
    pub home_cell: u32,
    /// Number of cells that hold the title.
    pub copies: u32,
    /// Highest rung that the session may use.
    pub top_rung: u8,
    /// Server that already plays the session, set when the session is handed over to this node.
    pub current_server: Option<String>,
}

/// Parses the value of `X-Dest`. Parameters with other names are ignored, as the node does not use them.
pub fn parse_destination(text: &str) -> Result<Destination, String> {
    let (mut home_cell, mut copies, mut top_rung, mut current_server) = (None, None, None, None);
    for parameter in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
        let (name, value) =
            parameter.split_once(':').ok_or_else(|| format!("{HEADER_DEST}: {parameter:?} has no value"))?;
        let number =
            || value.parse::<u32>().map_err(|_| format!("{HEADER_DEST}: {name}: not a number in range"));
        match name {
            "home" => home_cell = Some(number()?),
            "copies" => copies = Some(number()?),
            "top" => {
                top_rung =
                    Some(u8::try_from(number()?).map_err(|_| format!("{HEADER_DEST}: top: out of range"))?)
            }
            "viewer" => {
                u64::from_str_radix(value, 16)
                    .map_err(|_| format!("{HEADER_DEST}: viewer: not a hexadecimal id"))?;
            }
            "at" => current_server = Some(value.to_owned()),
            _ => {}
        }
    }
    let missing = |name: &str| format!("{HEADER_DEST}: {name}: missing");
    Ok(Destination {
        home_cell: home_cell.ok_or_else(|| missing("home"))?,
        copies: copies.ok_or_else(|| missing("copies"))?,
        top_rung: top_rung.ok_or_else(|| missing("top"))?,
        current_server,
    })
}

/// Parses a positive time in milliseconds.
pub fn parse_wait_ms(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|t: &f64| t.is_finite() && *t > 0.0 && *t <= MAX_WAIT_MS)
}

/// Parses a number; rejects infinities and NaN.
pub fn parse_finite(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|t: &f64| t.is_finite())
}

/// Parses a load report such as `x0:12;x1:40;queue:3` into names and values. Entries without a finite value are
/// left out.
pub fn parse_load_report(text: &str) -> Vec<(String, f64)> {
    let entries = text.split(';').filter_map(|entry| entry.trim().split_once(':'));
    entries.filter_map(|(name, value)| Some((name.trim().to_owned(), parse_finite(value)?))).collect()
}

/// Parses the cause in the value of a `Reason` header such as `cause=16`.
pub fn parse_release_cause(text: &str) -> Option<u32> {
    text.split(';')
        .find_map(|parameter| parameter.trim().strip_prefix("cause="))
        .and_then(|n| n.trim().parse().ok())
}
