//! Hosts instances of the decisions on the simulator's wire: standard input to calls, results to standard
//! output. It decides nothing.
mod host;
mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = host::Host::default();
    loop {
        let reply = match wire::read_frame(&mut input) {
            Ok(None) => return ExitCode::SUCCESS,
            Ok(Some(frame)) => host.batch(&frame),
            Err(e) => Err(e),
        };
        let sent = reply.and_then(|bytes| {
            output
                .write_all(&bytes)
                .and_then(|()| output.flush())
                .map_err(|e| format!("standard output: {e}"))
        });
        if let Err(e) = sent {
            eprintln!("walnutline-wirehost: {e}");
            return ExitCode::FAILURE;
        }
    }
}
