//! Plays one case of the review: `case NAME TROUBLE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.
mod cases;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, trouble, record] = &arguments[..] else { world::cannot_run("usage: case NAME 0|1 RECORD") };
    // Ends a run that hangs, within the time that a case may take.
    std::thread::spawn(|| {
        world::pause(115_000);
        world::cannot_run("the run took too long")
    });
    let record = world::Record::create(record);
    let verdict = cases::play(name, trouble != "0", &record);
    let (code, text) = match verdict {
        Ok(text) => (0, format!("the rule held: {text}")),
        Err(text) => (1, format!("the rule was broken: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code)
}
