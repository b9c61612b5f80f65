//! HTTP/1.1 for viewers (RFC 9112): parses requests within the configured limits and encodes responses.
use walnutline_settings::ViewerLimits;

/// A viewer's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub method: String,
    /// The target's path, without the query.
    pub path: String,
    /// The target's query, without the question mark; empty if there is none.
    pub query: String,
    /// The viewer's token, as sent in its header.
    pub token: Option<String>,
    /// The proof of possession of the viewer's key, as sent in its header.
    pub proof: Option<String>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// When it was received completely, in Unix milliseconds.
    pub received_at: f64,
}

/// A request that is rejected before it is handled. The connection closes after the response.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    pub status: u16,
    /// Body of the response.
    pub reason: String,
}

fn reject<T>(status: u16, reason: impl Into<String>) -> Result<T, RequestError> {
    Err(RequestError { status, reason: reason.into() })
}

/// Parses the first request in a buffer; also returns its length in bytes. `None`: the request is incomplete.
pub fn parse_request(
    buffer: &[u8],
    limits: &ViewerLimits,
    received_at: f64,
) -> Result<Option<(Request, usize)>, RequestError> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut parsed = httparse::Request::new(&mut headers);
    let request_len = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(len)) if len <= limits.max_header_bytes => len,
        Ok(httparse::Status::Partial) if buffer.len() <= limits.max_header_bytes => return Ok(None),
        Ok(_) => return reject(431, format!("more than {} bytes of header", limits.max_header_bytes)),
        Err(httparse::Error::TooManyHeaders) => {
            return reject(431, format!("more than {} headers", limits.max_headers))
        }
        Err(e) => return reject(400, e.to_string()),
    };
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let is_http_1_1 = parsed.version == Some(1);
    let mut request = Request {
        method: method.into(),
        path: String::new(),
        query: String::new(),
        token: None,
        proof: None,
        keep_alive: is_http_1_1,
        received_at,
    };
    let mut host_headers = 0;
    for header in parsed.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let Ok(value) = std::str::from_utf8(header.value) else {
            return reject(400, format!("header {name} is not text"));
        };
        let value = value.trim();
        let set_once = |slot: &mut Option<String>| match slot.replace(value.to_owned()) {
            Some(_) => reject(400, format!("header {name} is given twice")),
            None => Ok(()),
        };
        match name.as_str() {
            "host" => host_headers += 1,
            "cta-common-access-token" => set_once(&mut request.token)?,
            "dpop" => set_once(&mut request.proof)?,
            "connection" if value.eq_ignore_ascii_case("close") => request.keep_alive = false,
            "connection" if value.eq_ignore_ascii_case("keep-alive") => request.keep_alive = true,
            // No request here has a body. If an announced body were ignored, it would be parsed as the next request.
            "transfer-encoding" => return reject(501, "a body is not taken"),
            "content-length" if value != "0" => return reject(413, "a body is not taken"),
            _ => {}
        }
    }
    if is_http_1_1 && host_headers != 1 {
        return reject(400, "one Host header is wanted");
    }
    if !target.starts_with('/') {
        return reject(400, "the target is not a path");
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    (request.path, request.query) = (path.into(), query.into());
    Ok(Some((request, request_len)))
}

/// The value of a query parameter, percent-decoded.
pub fn query_parameter(query: &str, name: &str) -> Option<String> {
    let value = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1;
    percent_encoding::percent_decode_str(value).decode_utf8().ok().map(|v| v.into_owned())
}

/// A response to a viewer.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    pub status: u16,
    /// Headers besides those that every response has.
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
    pub content_type: &'static str,
}

impl Response {
    /// A response with a line of plain text that gives the reason for the status.
    pub fn plain_text(status: u16, reason: &str) -> Self {
        Response { status, headers: Vec::new(), body: format!("{reason}\n"), content_type: "text/plain" }
    }
}

/// Encodes a response. `head_only` omits the body, as in the response to HEAD.
pub fn encode_response(response: &Response, head_only: bool, keep_alive: bool) -> Vec<u8> {
    let phrase = match response.status {
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
    let mut text =
        format!("HTTP/1.1 {} {phrase}\r\nContent-Type: {}\r\n", response.status, response.content_type);
    text += &format!("Content-Length: {}\r\nCache-Control: no-store\r\n", response.body.len());
    for (name, value) in &response.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" };
    if !head_only {
        text += &response.body;
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

    /// Status with which a request is rejected; `None` if it is accepted.
    fn rejection_status(text: &str) -> Option<u16> {
        parse_request(text.as_bytes(), &LIMITS, 0.0).err().map(|e| e.status)
    }

    #[test_case("GET /m/a.mpd HTTP/1.1\r\nHost: a\r\n\r\n" => None; "valid")]
    #[test_case("GET /m/a.mpd HTTP/1.1\r\n\r\n" => Some(400); "no host")]
    #[test_case("GET /m/a.mpd HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" => Some(400); "two hosts")]
    #[test_case("GET a HTTP/1.1\r\nHost: a\r\n\r\n" => Some(400); "no path")]
    #[test_case("GET / HTTP/1.1\r\nHost: a\r\nDPoP: a\r\nDPoP: b\r\n\r\n" => Some(400); "two proofs")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n" => Some(413); "a body")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" => Some(501); "chunks")]
    #[test_case("\u{0}\u{1}" => Some(400); "binary")]
    #[test_case("GET / HTTP/9.1\r\n\r\n" => Some(400); "version")]
    #[test_case(&format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(700)) => Some(431); "long path")]
    #[test_case(&format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(700)) => Some(431); "long and incomplete")]
    #[test_case(&format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(9)) => Some(431); "many headers")]
    fn invalid_requests_are_rejected_with_their_status(text: &str) -> Option<u16> {
        rejection_status(text)
    }

    #[test]
    fn pipelined_requests_are_parsed_one_by_one() {
        let two = "GET /m/a.mpd?wait=5&top=%31 HTTP/1.1\r\nHost: a\r\nDPoP: p\r\n\r\nGET /b HTTP/1.0\r\n\r\n";
        let (first, first_len) = parse_request(two.as_bytes(), &LIMITS, 7.0).unwrap().unwrap();
        assert_eq!(
            (first.path.as_str(), first.keep_alive, first.proof.as_deref()),
            ("/m/a.mpd", true, Some("p"))
        );
        assert_eq!(query_parameter(&first.query, "top").as_deref(), Some("1"));
        assert_eq!(query_parameter(&first.query, "no"), None);
        let (second, second_len) =
            parse_request(&two.as_bytes()[first_len..], &LIMITS, 7.0).unwrap().unwrap();
        assert_eq!(
            (second.path.as_str(), second.keep_alive, first_len + second_len),
            ("/b", false, two.len())
        );
    }

    proptest! {
        #[test]
        fn random_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..700)) {
            let _ = parse_request(&bytes, &LIMITS, 0.0);
        }

        /// A request that ends before its last byte is incomplete, not invalid.
        #[test]
        fn a_truncated_request_is_incomplete(cut in 0usize..60) {
            let request = "GET /m/a.mpd?wait=5 HTTP/1.1\r\nHost: a\r\nDPoP: some-proof\r\n\r\n";
            let cut = cut.min(request.len() - 1);
            prop_assert_eq!(parse_request(&request.as_bytes()[..cut], &LIMITS, 0.0), Ok(None));
        }
    }
}
