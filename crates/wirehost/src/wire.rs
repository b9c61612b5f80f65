//! Bytes of the wire: little-endian, no padding.
use std::io::Read;

/// One batch as it was read.
pub struct Frame {
    pub index: u32,
    pub clock: f64,
    pub records: u32,
    /// The whole frame, header included, so that positions are those of the frame.
    pub bytes: Vec<u8>,
}

pub const HEADER: usize = 20;

/// Reads a frame; `None` at a clean end of input.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, String> {
    let mut bytes = vec![0; HEADER];
    let got = fill(input, &mut bytes)?;
    if got == 0 {
        return Ok(None);
    }
    if got < HEADER {
        return Err(format!("input ends at byte {got} of a frame's header"));
    }
    let mut r = Reader { bytes: &bytes, at: 0 };
    let (index, len, clock, records) = (r.u32()?, r.u32()? as usize, r.f64()?, r.u32()?);
    if len < HEADER {
        return Err(format!("batch {index}: byte 4: length {len} is under a header's {HEADER}"));
    }
    if !clock.is_finite() {
        return Err(format!("batch {index}: byte 8: clock {clock} is no time"));
    }
    let rest = input
        .take((len - HEADER) as u64)
        .read_to_end(&mut bytes)
        .map_err(|e| format!("batch {index}: standard input: {e}"))?;
    if rest < len - HEADER {
        return Err(format!("batch {index}: input ends at byte {} of {len}", HEADER + rest));
    }
    Ok(Some(Frame { index, clock, records, bytes }))
}

fn fill(input: &mut impl Read, into: &mut [u8]) -> Result<usize, String> {
    let mut got = 0;
    while got < into.len() {
        match input.read(&mut into[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("standard input: {e}")),
        }
    }
    Ok(got)
}

pub struct Reader<'a> {
    pub bytes: &'a [u8],
    pub at: usize,
}

macro_rules! number {
    ($($name:ident: $of:ty),*) => {$(
        pub fn $name(&mut self) -> Result<$of, String> {
            let raw = self.take(std::mem::size_of::<$of>())?;
            Ok(<$of>::from_le_bytes(raw.try_into().expect("as many bytes as were asked")))
        }
    )*};
}

impl<'a> Reader<'a> {
    number!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32, f64: f64);

    pub fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        match self.at.checked_add(n).and_then(|end| self.bytes.get(self.at..end)) {
            Some(raw) => {
                self.at += n;
                Ok(raw)
            }
            None => Err(format!("byte {}: {n} bytes wanted, {} left", self.at, self.bytes.len() - self.at)),
        }
    }
}

/// A reply under way.
pub struct Reply(Vec<u8>);

impl Reply {
    pub fn new(index: u32) -> Self {
        let mut bytes = index.to_le_bytes().to_vec();
        bytes.extend([0; 4]);
        Reply(bytes)
    }

    pub fn record(&mut self, code: u8, who: u32) -> &mut Self {
        self.0.push(code);
        self.put(&who.to_le_bytes())
    }

    pub fn put(&mut self, raw: &[u8]) -> &mut Self {
        self.0.extend(raw);
        self
    }

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
    fn a_frame_is_read_whole_or_named_wrong(bytes: &[u8]) -> Result<bool, String> {
        read_frame(&mut &bytes[..]).map(|frame| frame.is_some())
    }
}
