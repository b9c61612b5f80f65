//! Framing of the wire protocol: batches of records in, replies out; little-endian, without padding.
use std::io::Read;

/// A batch of records as it was read.
pub struct Frame {
    /// Number of the batch.
    pub index: u32,
    /// Simulated time of the batch in milliseconds.
    pub now: f64,
    /// Number of records after the header.
    pub record_count: u32,
    /// The whole frame with its header, so that positions in errors count from the start of the frame.
    pub bytes: Vec<u8>,
}

/// Size of a frame's header: index, length, time and number of records.
pub const HEADER_BYTES: usize = 20;

/// Reads a frame; `None` if the input ends before it.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, String> {
    let mut bytes = vec![0; HEADER_BYTES];
    let got = read_up_to(input, &mut bytes)?;
    if got == 0 {
        return Ok(None);
    }
    if got < HEADER_BYTES {
        return Err(format!("input ends at byte {got} of a frame's header"));
    }
    let mut reader = Reader { bytes: &bytes, position: 0 };
    let (index, len, now, record_count) =
        (reader.u32()?, reader.u32()? as usize, reader.f64()?, reader.u32()?);
    if len < HEADER_BYTES {
        return Err(format!("batch {index}: byte 4: length {len} is under a header's {HEADER_BYTES}"));
    }
    if !now.is_finite() {
        return Err(format!("batch {index}: byte 8: time {now} is not finite"));
    }
    let rest = input
        .take((len - HEADER_BYTES) as u64)
        .read_to_end(&mut bytes)
        .map_err(|e| format!("batch {index}: standard input: {e}"))?;
    if rest < len - HEADER_BYTES {
        return Err(format!("batch {index}: input ends at byte {} of {len}", HEADER_BYTES + rest));
    }
    Ok(Some(Frame { index, now, record_count, bytes }))
}

/// Fills the buffer unless the input ends before; returns how many bytes were read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, String> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("standard input: {e}")),
        }
    }
    Ok(got)
}

/// Reads values from a frame one after the other.
pub struct Reader<'a> {
    /// The whole frame.
    pub bytes: &'a [u8],
    /// Where the next value starts.
    pub position: usize,
}

macro_rules! number_readers {
    ($($name:ident: $type:ty),*) => {$(
        pub fn $name(&mut self) -> Result<$type, String> {
            let raw = self.take(std::mem::size_of::<$type>())?;
            Ok(<$type>::from_le_bytes(raw.try_into().expect("as many bytes as requested")))
        }
    )*};
}

impl<'a> Reader<'a> {
    number_readers!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32, f64: f64);

    /// Takes the next `n` bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        match self.position.checked_add(n).and_then(|end| self.bytes.get(self.position..end)) {
            Some(raw) => {
                self.position += n;
                Ok(raw)
            }
            None => Err(format!(
                "byte {}: {n} bytes wanted, {} left",
                self.position,
                self.bytes.len() - self.position
            )),
        }
    }
}

/// The reply to a batch while it is being encoded.
pub struct Reply(Vec<u8>);

impl Reply {
    /// Starts the reply to the batch with this number.
    pub fn new(index: u32) -> Self {
        let mut bytes = index.to_le_bytes().to_vec();
        bytes.extend([0; 4]);
        Reply(bytes)
    }

    /// Starts a record for an instance; its content is appended.
    pub fn start_record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.0.push(code);
        self.append(&instance.to_le_bytes())
    }

    /// Appends bytes to the record that was started last.
    pub fn append(&mut self, raw: &[u8]) -> &mut Self {
        self.0.extend(raw);
        self
    }

    /// Writes the length into the header and returns the bytes.
    pub fn finish(mut self) -> Vec<u8> {
        let len = self.0.len() as u32;
        self.0[4..8].copy_from_slice(&len.to_le_bytes());
        self.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&[] => Ok(false); "clean end")]
    #[test_case(&[1, 0] => Err("input ends at byte 2 of a frame's header".into()); "short header")]
    #[test_case(&[1, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]
        => Err("batch 1: byte 4: length 9 is under a header's 20".into()); "length under a header")]
    #[test_case(&[1, 0, 0, 0, 22, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 7]
        => Err("batch 1: input ends at byte 21 of 22".into()); "short body")]
    #[test_case(&[1, 0, 0, 0, 20, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0] => Ok(true); "empty batch")]
    fn a_frame_is_read_or_the_error_states_the_position(bytes: &[u8]) -> Result<bool, String> {
        read_frame(&mut &bytes[..]).map(|frame| frame.is_some())
    }
}
