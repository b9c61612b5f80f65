//! Hosts instances of the placement decisions for a simulator: reads batches of events from standard input, hands them
//! to the instances, and writes the actions that follow to standard output. It decides nothing itself.
mod host;
mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// Size of the buffers of standard input and output.
const BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = host::Host::default();
    loop {
        let reply = match wire::read_frame(&mut input) {
            Ok(None) => return ExitCode::SUCCESS,
            Ok(Some(frame)) => host.handle_batch(&frame),
            Err(e) => Err(e),
        };
        let written = reply.and_then(|bytes| {
            output
                .write_all(&bytes)
                .and_then(|()| output.flush())
                .map_err(|e| format!("standard output: {e}"))
        });
        if let Err(e) = written {
            eprintln!("walnutline-wirehost: {e}");
            return ExitCode::FAILURE;
        }
    }
}
