//! Viewers' requests: bytes to plain values within stated limits, and answers to bytes (HTTP/1.1, RFC 9112).
use walnutline_settings::ViewerLimits;

#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub method: String,
    /// Without the query.
    pub path: String,
    pub query: String,
    /// The viewer's token and its proof, as they were sent.
    pub token: Option<String>,
    pub proof: Option<String>,
    pub keep_alive: bool,
    /// When it was read whole.
    pub received_at: f64,
}

/// A request that is not taken: its status, and why. The connection closes after the answer.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    pub status: u16,
    pub reason: String,
}

fn bad<T>(status: u16, why: impl Into<String>) -> Result<T, RequestError> {
    Err(RequestError { status, reason: why.into() })
}

/// Reads the first request in a buffer; with how many bytes it took. `None` while it is not whole.
pub fn parse_request(
    buffer: &[u8],
    limits: &ViewerLimits,
    at: f64,
) -> Result<Option<(Request, usize)>, RequestError> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut raw = httparse::Request::new(&mut headers);
    let used = match raw.parse(buffer) {
        Ok(httparse::Status::Complete(used)) if used <= limits.max_header_bytes => used,
        Ok(httparse::Status::Partial) if buffer.len() <= limits.max_header_bytes => return Ok(None),
        Ok(_) => return bad(431, format!("more than {} bytes of header", limits.max_header_bytes)),
        Err(httparse::Error::TooManyHeaders) => {
            return bad(431, format!("more than {} headers", limits.max_headers))
        }
        Err(e) => return bad(400, e.to_string()),
    };
    let (method, target) = (raw.method.unwrap_or(""), raw.path.unwrap_or(""));
    let one_one = raw.version == Some(1);
    let mut request = Request {
        method: method.into(),
        path: String::new(),
        query: String::new(),
        token: None,
        proof: None,
        keep_alive: one_one,
        received_at: at,
    };
    let mut host = 0;
    for header in raw.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let Ok(value) = std::str::from_utf8(header.value) else {
            return bad(400, format!("header {name} is not text"));
        };
        let value = value.trim();
        let once = |slot: &mut Option<String>| match slot.replace(value.to_owned()) {
            Some(_) => bad(400, format!("header {name} is given twice")),
            None => Ok(()),
        };
        match name.as_str() {
            "host" => host += 1,
            "cta-common-access-token" => once(&mut request.token)?,
            "dpop" => once(&mut request.proof)?,
            "connection" if value.eq_ignore_ascii_case("close") => request.keep_alive = false,
            "connection" if value.eq_ignore_ascii_case("keep-alive") => request.keep_alive = true,
            // No request here has a body; one that is announced could be taken for the next request.
            "transfer-encoding" => return bad(501, "a body is not taken"),
            "content-length" if value != "0" => return bad(413, "a body is not taken"),
            _ => {}
        }
    }
    if one_one && host != 1 {
        return bad(400, "one Host header is wanted");
    }
    if !target.starts_with('/') {
        return bad(400, "the target is not a path");
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    (request.path, request.query) = (path.into(), query.into());
    Ok(Some((request, used)))
}

/// A value of the query, percent-decoded.
pub fn query_parameter(query: &str, name: &str) -> Option<String> {
    let value = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1;
    percent_encoding::percent_decode_str(value).decode_utf8().ok().map(|v| v.into_owned())
}

#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
    pub content_type: &'static str,
}

impl Response {
    /// One that says in a line why there is no manifest.
    pub fn plain_text(status: u16, why: &str) -> Self {
        Response { status, headers: Vec::new(), body: format!("{why}\n"), content_type: "text/plain" }
    }
}

pub fn encode_response(r: &Response, head_only: bool, keep_alive: bool) -> Vec<u8> {
    let phrase = match r.status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        410 => "Gone",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Internal Server Error",
    };
    let mut text = format!("HTTP/1.1 {} {phrase}\r\nContent-Type: {}\r\n", r.status, r.content_type);
    text += &format!("Content-Length: {}\r\nCache-Control: no-store\r\n", r.body.len());
    for (name, value) in &r.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" };
    if !head_only {
        text += &r.body;
    }
    text.into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const LIMITS: ViewerLimits = ViewerLimits {
        max_connections: 1,
        max_header_bytes: 600,
        max_headers: 8,
        request_timeout_ms: 1.0,
        idle_timeout_ms: 1.0,
        max_pipelined: 1,
        write_timeout_ms: 1.0,
    };

    fn status(text: &str) -> Option<u16> {
        parse_request(text.as_bytes(), &LIMITS, 0.0).err().map(|b| b.status)
    }

    #[test_case("GET /m/a.mpd HTTP/1.1\r\nHost: a\r\n\r\n" => None; "good")]
    #[test_case("GET /m/a.mpd HTTP/1.1\r\n\r\n" => Some(400); "no host")]
    #[test_case("GET /m/a.mpd HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" => Some(400); "two hosts")]
    #[test_case("GET a HTTP/1.1\r\nHost: a\r\n\r\n" => Some(400); "no path")]
    #[test_case("GET / HTTP/1.1\r\nHost: a\r\nDPoP: a\r\nDPoP: b\r\n\r\n" => Some(400); "two proofs")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n" => Some(413); "a body")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" => Some(501); "chunks")]
    #[test_case("\u{0}\u{1}" => Some(400); "rubbish")]
    #[test_case("GET / HTTP/9.1\r\n\r\n" => Some(400); "version")]
    #[test_case(&format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(700)) => Some(431); "long path")]
    #[test_case(&format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(700)) => Some(431); "long and never whole")]
    #[test_case(&format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(9)) => Some(431); "many headers")]
    fn faults(text: &str) -> Option<u16> {
        status(text)
    }

    #[test]
    fn requests_one_after_another() {
        let two = "GET /m/a.mpd?wait=5&top=%31 HTTP/1.1\r\nHost: a\r\nDPoP: p\r\n\r\nGET /b HTTP/1.0\r\n\r\n";
        let (one, used) = parse_request(two.as_bytes(), &LIMITS, 7.0).unwrap().unwrap();
        assert_eq!((one.path.as_str(), one.keep_alive, one.proof.as_deref()), ("/m/a.mpd", true, Some("p")));
        assert_eq!(query_parameter(&one.query, "top").as_deref(), Some("1"));
        assert_eq!(query_parameter(&one.query, "no"), None);
        let (next, rest) = parse_request(&two.as_bytes()[used..], &LIMITS, 7.0).unwrap().unwrap();
        assert_eq!((next.path.as_str(), next.keep_alive, used + rest), ("/b", false, two.len()));
    }

    proptest! {
        #[test]
        fn rubbish_is_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..700)) {
            let _ = parse_request(&bytes, &LIMITS, 0.0);
        }

        /// A request is not whole until its last byte, and is the same however it comes.
        #[test]
        fn cut_anywhere(cut in 0usize..60) {
            let whole = "GET /m/a.mpd?wait=5 HTTP/1.1\r\nHost: a\r\nDPoP: some-proof\r\n\r\n";
            let cut = cut.min(whole.len() - 1);
            prop_assert_eq!(parse_request(&whole.as_bytes()[..cut], &LIMITS, 0.0), Ok(None));
        }
    }
}
