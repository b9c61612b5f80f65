//! Server-sent events (WHATWG HTML, section 9.2), the format of the event stream that carries the list of boxes: an
//! incremental parser and an encoder.

/// Longest event that is accepted. It has room for a list of several thousand boxes.
pub const MAX_EVENT_BYTES: usize = 4 << 20;

/// One event of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// Number from which the stream can be resumed, if the event carries one.
    pub id: Option<u64>,
    /// Event type; empty if the event carries none.
    pub name: String,
    /// Payload; its lines are separated by `\n`.
    pub data: String,
}

/// Why an event stream could not be parsed.
#[derive(Debug, PartialEq, Eq)]
pub struct EventStreamError {
    /// Offset of the invalid line in the stream, in bytes.
    pub offset: usize,
    /// What is wrong with the line.
    pub reason: String,
}

impl std::fmt::Display for EventStreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "event stream: byte {}: {}", self.offset, self.reason)
    }
}

/// Incremental parser of an event stream.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    after_cr: bool,
    /// Offset of the current line in the stream, in bytes.
    offset: usize,
    event: Event,
    has_data: bool,
}

impl EventReader {
    /// Parses the next bytes of the stream and returns the events that they complete. The reader must not be used after
    /// an error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventStreamError> {
        let mut events = Vec::new();
        for &byte in bytes {
            let line_ends = match byte {
                b'\n' if self.after_cr => false,
                b'\n' | b'\r' => true,
                _ => {
                    self.line.push(byte);
                    false
                }
            };
            self.after_cr = byte == b'\r';
            if line_ends {
                let line = std::mem::take(&mut self.line);
                let line_len = line.len();
                events.extend(self.parse_line(line)?);
                self.offset += line_len;
            }
            self.offset += usize::from(byte == b'\n' || byte == b'\r');
            if self.line.len() + self.event.data.len() > MAX_EVENT_BYTES {
                return Err(self.error(format!("event longer than {MAX_EVENT_BYTES} bytes")));
            }
        }
        Ok(events)
    }

    fn error(&self, reason: String) -> EventStreamError {
        EventStreamError { offset: self.offset, reason }
    }

    /// Parses a complete line. An empty line ends the current event, which is then returned.
    fn parse_line(&mut self, line: Vec<u8>) -> Result<Option<Event>, EventStreamError> {
        let line = String::from_utf8(line).map_err(|e| self.error(format!("not UTF-8: {e}")))?;
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            // An event without data is not dispatched.
            return Ok(std::mem::take(&mut self.has_data).then_some(event));
        }
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.into(),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            "id" => {
                let id = value.parse().map_err(|_| self.error(format!("id {value:?} is not a number")))?;
                self.event.id = Some(id);
            }
            // Other fields are ignored, and comments, whose field name is empty: they only keep the connection alive.
            _ => {}
        }
        Ok(None)
    }
}

/// Encodes an event.
pub fn encode(event: &Event) -> String {
    let mut text = String::new();
    if let Some(id) = event.id {
        text += &format!("id: {id}\n");
    }
    if !event.name.is_empty() {
        text += &format!("event: {}\n", event.name);
    }
    for line in event.data.split('\n') {
        text += &format!("data: {line}\n");
    }
    text + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn events_are_parsed_regardless_of_chunk_boundaries(
            events in prop::collection::vec(("[a-z]{0,5}", "[^\r]{0,40}", any::<Option<u64>>()), 0..5),
            chunk_lengths in prop::collection::vec(1usize..20, 1..20),
        ) {
            let expected: Vec<Event> =
                events.into_iter().map(|(name, data, id)| Event { id, name, data }).collect();
            let text: String = expected.iter().map(encode).collect();
            let (mut reader, mut parsed, mut rest) = (EventReader::default(), Vec::new(), text.as_bytes());
            for chunk_len in chunk_lengths.iter().cycle() {
                if rest.is_empty() {
                    break;
                }
                let (chunk, remaining) = rest.split_at((*chunk_len).min(rest.len()));
                parsed.extend(reader.push(chunk).unwrap());
                rest = remaining;
            }
            prop_assert_eq!(parsed, expected);
        }

        #[test]
        fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let _ = EventReader::default().push(&bytes);
        }
    }

    #[test]
    fn errors_carry_the_offset_of_the_line() {
        let mut reader = EventReader::default();
        reader.push(b": hello\r\n\r\nid: 4\r\n").unwrap();
        assert_eq!(
            reader.push(b"id: x\n").unwrap_err(),
            EventStreamError { offset: 18, reason: "id \"x\" is not a number".into() }
        );
    }
}
