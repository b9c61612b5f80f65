//! The event stream that the list comes by (server-sent events, WHATWG HTML, section 9.2): a reader that is handed
//! bytes as they come, and a writer.

/// Longest event that is taken, in bytes: a list of some thousand boxes.
pub const MAX_EVENT_BYTES: usize = 4 << 20;

#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// The number that the stream is resumed from, where the event carries one.
    pub id: Option<u64>,
    pub name: String,
    pub data: String,
}

#[derive(Debug, PartialEq, Eq)]
pub struct EventStreamError {
    /// Bytes of the stream before the line at fault.
    pub offset: usize,
    pub reason: String,
}

impl std::fmt::Display for EventStreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "event stream: byte {}: {}", self.offset, self.reason)
    }
}

#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    after_cr: bool,
    at: usize,
    event: Event,
    has_data: bool,
}

impl EventReader {
    /// Takes bytes; returns the events that they complete. After an error the stream is of no more use.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventStreamError> {
        let mut events = Vec::new();
        for &b in bytes {
            let ends = match b {
                b'\n' if self.after_cr => false,
                b'\n' | b'\r' => true,
                _ => {
                    self.line.push(b);
                    false
                }
            };
            self.after_cr = b == b'\r';
            if ends {
                let line = std::mem::take(&mut self.line);
                let len = line.len();
                events.extend(self.take_line(line)?);
                self.at += len;
            }
            self.at += usize::from(b == b'\n' || b == b'\r');
            if self.line.len() + self.event.data.len() > MAX_EVENT_BYTES {
                return Err(self.bad(format!("an event of more than {MAX_EVENT_BYTES} bytes")));
            }
        }
        Ok(events)
    }

    fn bad(&self, why: String) -> EventStreamError {
        EventStreamError { offset: self.at, reason: why }
    }

    fn take_line(&mut self, line: Vec<u8>) -> Result<Option<Event>, EventStreamError> {
        let line = String::from_utf8(line).map_err(|e| self.bad(format!("not UTF-8: {e}")))?;
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            // An event without data is none; comments keep the connection alive.
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
                let id = value.parse().map_err(|_| self.bad(format!("id {value:?} is not a number")))?;
                self.event.id = Some(id);
            }
            _ => {}
        }
        Ok(None)
    }
}

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
        fn any_cut_of_a_stream_gives_the_same_events(
            events in prop::collection::vec(("[a-z]{0,5}", "[^\r]{0,40}", any::<Option<u64>>()), 0..5),
            cuts in prop::collection::vec(1usize..20, 1..20),
        ) {
            let wanted: Vec<Event> =
                events.into_iter().map(|(name, data, id)| Event { id, name, data }).collect();
            let text: String = wanted.iter().map(encode).collect();
            let (mut reader, mut got, mut rest) = (EventReader::default(), Vec::new(), text.as_bytes());
            for cut in cuts.iter().cycle() {
                if rest.is_empty() {
                    break;
                }
                let (now, later) = rest.split_at((*cut).min(rest.len()));
                got.extend(reader.push(now).unwrap());
                rest = later;
            }
            prop_assert_eq!(got, wanted);
        }

        #[test]
        fn rubbish_is_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let _ = EventReader::default().push(&bytes);
        }
    }

    #[test]
    fn errors_name_their_place() {
        let mut r = EventReader::default();
        r.push(b": hello\r\n\r\nid: 4\r\n").unwrap();
        assert_eq!(
            r.push(b"id: x\n").unwrap_err(),
            EventStreamError { offset: 18, reason: "id \"x\" is not a number".into() }
        );
    }
}
