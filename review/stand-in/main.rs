//! Runs one case of the review: starts front nodes by the `run` line of the deploy file, plays their viewers, servers,
//! name service and datagram network, writes what was sent and answered to a record, and judges it. Exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case couldn't run.
//!
//! Usage: stand-in CASE RECORD ROOT. With TROUBLE=0 in the environment, the disruption is left out.
mod cases;
mod name_service;
mod peers;
mod process;
mod record;
mod rtsp;
mod server;
mod site;
mod viewer;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path, root] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD ROOT");
        std::process::exit(2);
    };
    record::start(record_path);
    std::panic::set_hook(Box::new(|panic| process::finish(2, &format!("could not run: {panic}"))));
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        process::finish(2, "the case took too long");
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::line("case", &format!("{case}, with the disruption: {trouble}"));
    let broken = cases::run(case, std::path::Path::new(root), trouble);
    match broken {
        Err(reason) => process::finish(2, &format!("could not run: {reason}")),
        Ok(Some(reason)) => process::finish(1, &format!("RULE BROKEN: {reason}")),
        Ok(None) => process::finish(0, "the rule held"),
    }
}
