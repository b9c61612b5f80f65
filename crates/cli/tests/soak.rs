//! Soak trials: real front node processes that are stopped and killed while their servers fail. The trials of a few
//! fixed seeds run with the tests; `SOAK_SEEDS=1..50` in the environment plays others, and `SOAK_NODE=PATH` tries another build.
#[path = "../../platform/tests/support/dns.rs"]
mod dns;
#[path = "support/node.rs"]
mod node;
#[path = "soak/stand_ins.rs"]
mod stand_ins;
#[path = "soak/world.rs"]
mod world;

use walnutline_rehearsal::soak::trial::Trial;

/// Seeds that run with the tests, and how many at a time.
const CI_SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
const TRIALS_AT_A_TIME: usize = 3;

/// Seeds from the environment, as in `1..50`, else those of CI.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return CI_SEEDS.collect() };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS=1..50");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

/// Plays the trial of a seed and prints its result, with a timeline where a rule was broken. Returns whether all rules
/// were kept.
fn keeps_the_rules(seed: u64) -> bool {
    let trial = Trial::draw(seed);
    let record = world::World::new(trial.clone()).play();
    let breaks = record.breaks();
    record.timeline(&breaks).iter().for_each(|line| println!("{seed} {line}"));
    println!("{}", serde_json::json!({ "trial": trial, "counts": record.counts(), "breaks": breaks }));
    breaks.is_empty()
}

#[test]
fn rules_are_kept_while_nodes_stop_and_servers_fail() {
    let mut broken = Vec::new();
    for batch in seeds().chunks(TRIALS_AT_A_TIME) {
        let kept = std::thread::scope(|scope| {
            let threads: Vec<_> =
                batch.iter().map(|seed| scope.spawn(move || (*seed, keeps_the_rules(*seed)))).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect::<Vec<_>>()
        });
        broken.extend(kept.into_iter().filter(|(_, kept)| !kept).map(|(seed, _)| seed));
    }
    assert!(broken.is_empty(), "seeds {broken:?}");
}
