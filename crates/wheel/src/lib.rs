//! A hierarchical timer wheel (Varghese and Lauck, 1987) without input or output: times come in with each call.
//!
//! - Starting and cancelling a timer are O(1); its record stands in a slab and is used again, so that no timer costs an
//!   allocation of its own. 32 bytes and the value each.
//! - Six levels of 64 slots: a timer stands at the level where its time differs from the present one, and moves down as
//!   that comes near, at most five times. Times beyond the last level wait at its end and are looked at again there.
//! - A timer is exact to one tick, or has some slack: then its time is put off to a multiple of that, so that many idle
//!   time-outs come due together and cost one wake-up.
//! - What is due is handed out by urgency first, then by time, then in the order of starting: after a stall, set-up
//!   time-outs go before idle ones. How late it came is told with it and counted.
use std::num::Wrapping;

/// Milliseconds with fractions, on the caller's clock.
pub type Ms = f64;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 6;
const NONE: u32 = u32::MAX;

/// Names a timer that was started; of no more use once it fired or was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimerKey {
    at: u32,
    generation: Wrapping<u32>,
}

/// What goes first when several timers are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Limits of SETUPs and probes.
    High,
    /// Time-outs of idle connections.
    Low,
}

#[derive(Debug)]
struct Timer<T> {
    /// In ticks; the slab's free list is kept in `next`.
    due: u64,
    started: u64,
    urgency: Priority,
    /// Its slot: level times [`SLOTS`] and position.
    slot: u16,
    prev: u32,
    next: u32,
    generation: Wrapping<u32>,
    value: Option<T>,
}

/// A timer that came due.
#[derive(Debug, Clone, PartialEq)]
pub struct FiredTimer<T> {
    pub key: TimerKey,
    pub value: T,
    /// How long after its time it was handed out, by the tick.
    pub late_by_ms: Ms,
}

/// How late timers were handed out.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatenessStats {
    pub fired: u64,
    /// Those that were late by more than the caller's bound.
    pub late: u64,
    pub max_late_ms: Ms,
}

#[derive(Debug)]
pub struct TimerWheel<T> {
    tick: Ms,
    bound: Ms,
    /// The tick up to which all that was due is handed out.
    now: u64,
    timers: Vec<Timer<T>>,
    free: u32,
    slots: Vec<u32>,
    /// One bit for each slot that is not empty.
    filled: [u64; LEVELS],
    len: usize,
    started: u64,
    lateness: LatenessStats,
}

impl<T> TimerWheel<T> {
    /// `tick`: to how many milliseconds times are exact. Timers handed out more than `bound` after their time count as
    /// late.
    pub fn new(tick: Ms, bound: Ms, now: Ms) -> TimerWheel<T> {
        TimerWheel {
            tick,
            bound,
            now: (now / tick) as u64,
            timers: Vec::new(),
            free: NONE,
            slots: vec![NONE; LEVELS * SLOTS],
            filled: [0; LEVELS],
            len: 0,
            started: 0,
            lateness: LatenessStats::default(),
        }
    }

    /// Timers that have neither fired nor been cancelled.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn lateness(&self) -> LatenessStats {
        self.lateness
    }

    /// Starts a timer, never handed out before `due`; `slack`: by how much it may be put off to come due with others.
    pub fn start(&mut self, due: Ms, slack: Ms, urgency: Priority, value: T) -> TimerKey {
        let ticks = (due / self.tick).ceil().max(0.0) as u64;
        let step = ((slack / self.tick) as u64).max(1);
        // Never in the past: what is due already comes with the next advance.
        let due = ticks.div_ceil(step).saturating_mul(step).max(self.now + 1);
        let at = self.take_place();
        self.started += 1;
        let (started, t) = (self.started, &mut self.timers[at as usize]);
        (t.due, t.started, t.urgency, t.value) = (due, started, urgency, Some(value));
        let key = TimerKey { at, generation: t.generation };
        self.len += 1;
        self.link(at);
        key
    }

    fn take_place(&mut self) -> u32 {
        if self.free != NONE {
            let at = self.free;
            self.free = self.timers[at as usize].next;
            return at;
        }
        self.timers.push(Timer {
            due: 0,
            started: 0,
            urgency: Priority::Low,
            slot: 0,
            prev: NONE,
            next: NONE,
            generation: Wrapping(0),
            value: None,
        });
        self.timers.len() as u32 - 1
    }

    /// Takes a timer back; `None` where it has fired or was cancelled before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let t = self.timers.get(key.at as usize)?;
        if t.generation != key.generation || t.value.is_none() {
            return None;
        }
        self.unlink(key.at);
        Some(self.release(key.at).0)
    }

    /// Gives a place back; its value and key.
    fn release(&mut self, at: u32) -> (T, TimerKey) {
        let free = std::mem::replace(&mut self.free, at);
        let t = &mut self.timers[at as usize];
        let key = TimerKey { at, generation: t.generation };
        t.generation += 1;
        t.next = free;
        self.len -= 1;
        (t.value.take().expect("a timer in a slot has its value"), key)
    }

    /// The level where a time differs from the present one, and the position there.
    fn slot_of(&self, due: u64) -> usize {
        let differs = (due ^ self.now) | 1;
        let level = ((63 - differs.leading_zeros()) / BITS) as usize;
        if level < LEVELS {
            return level * SLOTS + (due >> (level as u32 * BITS)) as usize % SLOTS;
        }
        // Beyond the last level: at its last slot before the present one comes round again.
        let top = LEVELS as u32 - 1;
        (LEVELS - 1) * SLOTS + ((self.now >> (top * BITS)) as usize + SLOTS - 1) % SLOTS
    }

    fn link(&mut self, at: u32) {
        let slot = self.slot_of(self.timers[at as usize].due);
        let head = std::mem::replace(&mut self.slots[slot], at);
        if head != NONE {
            self.timers[head as usize].prev = at;
        }
        let t = &mut self.timers[at as usize];
        (t.slot, t.prev, t.next) = (slot as u16, NONE, head);
        self.filled[slot / SLOTS] |= 1 << (slot % SLOTS);
    }

    fn unlink(&mut self, at: u32) {
        let t = &self.timers[at as usize];
        let (slot, prev, next) = (usize::from(t.slot), t.prev, t.next);
        if prev == NONE {
            self.slots[slot] = next;
        } else {
            self.timers[prev as usize].next = next;
        }
        if next != NONE {
            self.timers[next as usize].prev = prev;
        }
        if self.slots[slot] == NONE {
            self.filled[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }

    /// The next tick at which a timer is due or a slot is to be looked through.
    fn next_tick(&self) -> Option<u64> {
        let at = |level: usize| {
            let shift = level as u32 * BITS;
            let here = (self.now >> shift) as u32 % SLOTS as u32;
            // Slots from the present one on, which comes first again only after all others.
            let ahead = self.filled[level].rotate_right((here + 1) % SLOTS as u32);
            let steps = u64::from(ahead.trailing_zeros()) + 1;
            (self.filled[level] != 0).then(|| ((self.now >> shift) + steps) << shift)
        };
        (0..LEVELS).filter_map(at).min()
    }

    /// When [`TimerWheel::advance`] has something to do; may be before any timer is due, never after.
    pub fn next_wakeup_at(&self) -> Option<Ms> {
        self.next_tick().map(|t| t as f64 * self.tick)
    }

    /// Hands out all that is due by now, the urgent first.
    pub fn advance(&mut self, now: Ms, out: &mut Vec<FiredTimer<T>>) {
        let until = (now / self.tick).max(0.0) as u64;
        let mut due: Vec<(Priority, u64, u64, u32)> = Vec::new();
        while let Some(next) = self.next_tick().filter(|t| *t <= until) {
            self.now = next;
            // Slots that begin at this tick, the widest first: what they hold moves down, at last to this very tick.
            for level in (0..LEVELS).rev() {
                let shift = level as u32 * BITS;
                if next & ((1 << shift) - 1) != 0 {
                    continue;
                }
                let slot = level * SLOTS + (next >> shift) as usize % SLOTS;
                let mut at = std::mem::replace(&mut self.slots[slot], NONE);
                self.filled[level] &= !(1 << (slot % SLOTS));
                while at != NONE {
                    let t = &self.timers[at as usize];
                    let after = t.next;
                    if t.due <= next {
                        due.push((t.urgency, t.due, t.started, at));
                    } else {
                        self.link(at);
                    }
                    at = after;
                }
            }
        }
        self.now = self.now.max(until);
        due.sort_unstable();
        for (_, tick, _, at) in due {
            let late = (now - tick as f64 * self.tick).max(0.0);
            self.lateness.fired += 1;
            self.lateness.late += u64::from(late > self.bound);
            self.lateness.max_late_ms = self.lateness.max_late_ms.max(late);
            let (value, key) = self.release(at);
            out.push(FiredTimer { key, value, late_by_ms: late });
        }
    }
}
