//! Compares the timer wheel with a binary heap, an ordered map and a wheel from crates.io:
//! `cargo bench -p walnutline-wheel`.
//!
//! The load is that of idle time-outs: all timers are running, and each operation cancels one of them and starts it anew,
//! as a request on an idle connection does. At the end all fire. Times are in ns per operation.
use hierarchical_hash_wheel_timer::wheels::cancellable::{CancellableTimerEntry, QuadWheelWithOverflow};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use walnutline_wheel::{Priority, TimerKey, TimerWheel};

const MAX_TIMEOUT_MS: u32 = 60_000;
/// Operations of cancelling a timer and starting it anew.
const RESTARTS: usize = 1_000_000;

/// The operations that are measured for each structure.
trait Timers {
    type Key: Clone;
    fn start(&mut self, due: u32, n: u32) -> Self::Key;
    fn cancel(&mut self, key: Self::Key);
    /// Removes all timers that are due by `now` and returns their number.
    fn due(&mut self, now: u32) -> usize;
}

struct OwnWheel(TimerWheel<u32>);

impl Timers for OwnWheel {
    type Key = TimerKey;
    fn start(&mut self, due: u32, n: u32) -> TimerKey {
        self.0.start(f64::from(due), 0.0, Priority::Low, n)
    }
    fn cancel(&mut self, key: TimerKey) {
        self.0.cancel(key);
    }
    fn due(&mut self, now: u32) -> usize {
        let mut out = Vec::new();
        self.0.advance(f64::from(now), &mut out);
        out.len()
    }
}

/// A heap whose entries cannot be removed: a cancelled entry stays until its due time and is skipped then.
#[derive(Default)]
struct Heap {
    heap: BinaryHeap<Reverse<(u32, u32, u32)>>,
    /// For each timer, the generation of its running entry.
    generations: Vec<u32>,
}

impl Timers for Heap {
    type Key = u32;
    fn start(&mut self, due: u32, n: u32) -> u32 {
        if self.generations.len() <= n as usize {
            self.generations.resize(n as usize + 1, 0);
        }
        self.generations[n as usize] += 1;
        self.heap.push(Reverse((due, n, self.generations[n as usize])));
        n
    }
    fn cancel(&mut self, key: u32) {
        self.generations[key as usize] += 1;
    }
    fn due(&mut self, now: u32) -> usize {
        let mut count = 0;
        while let Some(Reverse((due, n, generation))) = self.heap.peek().copied() {
            if due > now {
                break;
            }
            self.heap.pop();
            count += usize::from(self.generations[n as usize] == generation);
        }
        count
    }
}

#[derive(Default)]
struct OrderedMap(BTreeMap<(u32, u32), ()>);

impl Timers for OrderedMap {
    type Key = (u32, u32);
    fn start(&mut self, due: u32, n: u32) -> (u32, u32) {
        self.0.insert((due, n), ());
        (due, n)
    }
    fn cancel(&mut self, key: (u32, u32)) {
        self.0.remove(&key);
    }
    fn due(&mut self, now: u32) -> usize {
        let later = self.0.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.0, later).len()
    }
}

#[derive(Debug)]
struct Entry(u32);

impl CancellableTimerEntry for Entry {
    type Id = u32;
    fn id(&self) -> &u32 {
        &self.0
    }
}

/// The timer wheel of the `hierarchical_hash_wheel_timer` crate.
struct HashWheel {
    wheel: QuadWheelWithOverflow<Entry>,
    now: u32,
}

impl Timers for HashWheel {
    type Key = u32;
    fn start(&mut self, due: u32, n: u32) -> u32 {
        let after = Duration::from_millis(u64::from(due - self.now));
        let _ = self.wheel.insert_ref_with_delay(Rc::new(Entry(n)), after);
        n
    }
    fn cancel(&mut self, key: u32) {
        let _ = self.wheel.cancel(&key);
    }
    fn due(&mut self, now: u32) -> usize {
        let mut count = 0;
        while self.now < now {
            count += self.wheel.tick().len();
            self.now += 1;
        }
        count
    }
}

fn measure<T: Timers>(name: &str, n: u32, mut timers: T) {
    let mut seed = 0x2545_f491_4f6c_dd1du64;
    let mut draw = move || {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        seed
    };
    let ns_per_operation = |began: Instant, n: usize| began.elapsed().as_secs_f64() * 1e9 / n as f64;
    let began = Instant::now();
    let mut keys: Vec<T::Key> =
        (0..n).map(|k| timers.start(1 + (draw() % u64::from(MAX_TIMEOUT_MS)) as u32, k)).collect();
    let start_ns = ns_per_operation(began, n as usize);
    let began = Instant::now();
    for _ in 0..RESTARTS {
        let k = (draw() % u64::from(n)) as usize;
        timers.cancel(keys[k].clone());
        keys[k] = timers.start(1 + (draw() % u64::from(MAX_TIMEOUT_MS)) as u32, k as u32);
    }
    let restart_ns = ns_per_operation(began, RESTARTS);
    let began = Instant::now();
    let fired: usize = (0..=MAX_TIMEOUT_MS / 10).map(|t| timers.due(t * 10)).sum();
    let due_ns = ns_per_operation(began, n as usize);
    assert_eq!(fired, n as usize, "{name} lost timers");
    println!("{n:9} {name:12} {start_ns:7.0} {restart_ns:15.0} {due_ns:7.0}");
}

fn main() {
    println!("   timers structure      start  cancel + start     due");
    for n in [1_000, 100_000, 1_000_000] {
        measure("wheel", n, OwnWheel(TimerWheel::new(1.0, 20.0, 0.0)));
        measure("BinaryHeap", n, Heap::default());
        measure("BTreeMap", n, OrderedMap::default());
        measure("hash wheel", n, HashWheel { wheel: QuadWheelWithOverflow::new(), now: 0 });
    }
}
