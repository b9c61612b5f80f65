//! A hierarchical timer wheel (Varghese and Lauck, 1987). It reads no clock: every call passes the time in.
//!
//! - Starting and cancelling a timer are O(1). Timers live in a slab whose entries are reused, so that no timer needs an
//!   allocation of its own. An entry takes 32 bytes and the value.
//! - Six levels of 64 slots. A timer is placed on the level of the highest digit in which its due time differs from the
//!   current tick, and moves down as that time approaches, at most five times. Timers beyond the last level are placed in
//!   the slot of that level that is reached last, and placed anew then.
//! - A timer is exact to one tick. With slack, its due time is rounded up to a multiple of the slack, so that many idle
//!   time-outs come due together and cost one wake-up.
//! - Due timers are returned by priority, then by due time, then in the order of starting: after a stall, set-up
//!   time-outs come before idle ones. Each carries how late it is, and late timers are counted.
use std::num::Wrapping;

/// Milliseconds with fractions, on the caller's clock.
pub type Ms = f64;

const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
const LEVELS: usize = 6;
/// End of a list, in place of an index of the slab.
const NONE: u32 = u32::MAX;

/// Identifies a timer that was started; no longer valid once the timer fired or was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimerKey {
    index: u32,
    generation: Wrapping<u32>,
}

/// The order of timers that are due together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Time limits of SETUPs and probes.
    High,
    /// Time-outs of idle connections.
    Low,
}

#[derive(Debug)]
struct Timer<T> {
    due_tick: u64,
    /// Number of the start call, from 1 on.
    start_number: u64,
    priority: Priority,
    /// Level times [`SLOTS`] plus position on the level.
    slot: u16,
    /// Previous timer of the same slot.
    prev: u32,
    /// Next timer of the same slot; in a free entry, the next free entry.
    next: u32,
    generation: Wrapping<u32>,
    /// `None` in a free entry.
    value: Option<T>,
}

/// A timer that came due.
#[derive(Debug, Clone, PartialEq)]
pub struct FiredTimer<T> {
    /// The key that the timer had; no longer valid.
    pub key: TimerKey,
    /// The value that the timer was started with.
    pub value: T,
    /// Time from the due tick to the call that returned the timer.
    pub late_by_ms: Ms,
}

/// Counts of fired and late timers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatenessStats {
    /// Timers that fired.
    pub fired: u64,
    /// Timers that were late by more than the bound given to [`TimerWheel::new`].
    pub late: u64,
    /// Lateness of the latest timer.
    pub max_late_ms: Ms,
}

/// The timer wheel; `T` is the value that a timer carries.
#[derive(Debug)]
pub struct TimerWheel<T> {
    tick_ms: Ms,
    lateness_bound: Ms,
    /// The tick up to which all due timers have been returned.
    current_tick: u64,
    /// The slab.
    timers: Vec<Timer<T>>,
    /// First free entry of the slab.
    first_free: u32,
    /// First timer of each slot.
    slots: Vec<u32>,
    /// One bit for each slot that is not empty.
    occupied: [u64; LEVELS],
    len: usize,
    start_count: u64,
    lateness: LatenessStats,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel with ticks of `tick_ms`. A timer counts as late when it is returned more than
    /// `lateness_bound` after its due time.
    pub fn new(tick_ms: Ms, lateness_bound: Ms, now: Ms) -> TimerWheel<T> {
        TimerWheel {
            tick_ms,
            lateness_bound,
            current_tick: (now / tick_ms) as u64,
            timers: Vec::new(),
            first_free: NONE,
            slots: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            len: 0,
            start_count: 0,
            lateness: LatenessStats::default(),
        }
    }

    /// Number of timers that have neither fired nor been cancelled.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no timer is running.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Counts of fired and late timers since the wheel was created.
    pub fn lateness(&self) -> LatenessStats {
        self.lateness
    }

    /// Starts a timer. It never fires before `due`; `slack` is how far it may be delayed to fire together with others.
    pub fn start(&mut self, due: Ms, slack: Ms, priority: Priority, value: T) -> TimerKey {
        let ticks = (due / self.tick_ms).ceil().max(0.0) as u64;
        let step = ((slack / self.tick_ms) as u64).max(1);
        // A due time in the past fires with the next tick.
        let due_tick = ticks.div_ceil(step).saturating_mul(step).max(self.current_tick + 1);
        let index = self.allocate();
        self.start_count += 1;
        let (start_number, t) = (self.start_count, &mut self.timers[index as usize]);
        (t.due_tick, t.start_number, t.priority, t.value) = (due_tick, start_number, priority, Some(value));
        let key = TimerKey { index, generation: t.generation };
        self.len += 1;
        self.link(index);
        key
    }

    /// Takes an entry of the slab.
    fn allocate(&mut self) -> u32 {
        if self.first_free != NONE {
            let index = self.first_free;
            self.first_free = self.timers[index as usize].next;
            return index;
        }
        self.timers.push(Timer {
            due_tick: 0,
            start_number: 0,
            priority: Priority::Low,
            slot: 0,
            prev: NONE,
            next: NONE,
            generation: Wrapping(0),
            value: None,
        });
        self.timers.len() as u32 - 1
    }

    /// Cancels a timer and returns its value; `None` if it has fired or was cancelled before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let t = self.timers.get(key.index as usize)?;
        if t.generation != key.generation || t.value.is_none() {
            return None;
        }
        self.unlink(key.index);
        Some(self.release(key.index).0)
    }

    /// Frees an entry of the slab and returns its value and key.
    fn release(&mut self, index: u32) -> (T, TimerKey) {
        let next_free = std::mem::replace(&mut self.first_free, index);
        let t = &mut self.timers[index as usize];
        let key = TimerKey { index, generation: t.generation };
        t.generation += 1;
        t.next = next_free;
        self.len -= 1;
        (t.value.take().expect("a timer in a slot has its value"), key)
    }

    /// The slot for a due tick: the level of the highest digit that differs from the current tick, and the position of
    /// that digit.
    fn slot_of(&self, due_tick: u64) -> usize {
        let difference = (due_tick ^ self.current_tick) | 1;
        let level = ((63 - difference.leading_zeros()) / SLOT_BITS) as usize;
        if level < LEVELS {
            return level * SLOTS + (due_tick >> (level as u32 * SLOT_BITS)) as usize % SLOTS;
        }
        // Beyond the last level: the slot of that level that is reached last.
        let top = LEVELS as u32 - 1;
        (LEVELS - 1) * SLOTS + ((self.current_tick >> (top * SLOT_BITS)) as usize + SLOTS - 1) % SLOTS
    }

    /// Puts a timer at the head of its slot's list.
    fn link(&mut self, index: u32) {
        let slot = self.slot_of(self.timers[index as usize].due_tick);
        let head = std::mem::replace(&mut self.slots[slot], index);
        if head != NONE {
            self.timers[head as usize].prev = index;
        }
        let t = &mut self.timers[index as usize];
        (t.slot, t.prev, t.next) = (slot as u16, NONE, head);
        self.occupied[slot / SLOTS] |= 1 << (slot % SLOTS);
    }

    /// Takes a timer out of its slot's list.
    fn unlink(&mut self, index: u32) {
        let t = &self.timers[index as usize];
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
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }

    /// The next tick at which a slot that is not empty begins.
    fn next_tick(&self) -> Option<u64> {
        let begins_at = |level: usize| {
            let shift = level as u32 * SLOT_BITS;
            let current = (self.current_tick >> shift) as u32 % SLOTS as u32;
            // Bit 0 is the slot after the current one; the current one comes last.
            let ahead = self.occupied[level].rotate_right((current + 1) % SLOTS as u32);
            let steps = u64::from(ahead.trailing_zeros()) + 1;
            (self.occupied[level] != 0).then(|| ((self.current_tick >> shift) + steps) << shift)
        };
        (0..LEVELS).filter_map(begins_at).min()
    }

    /// The time of the next [`TimerWheel::advance`] that has work to do: possibly before the first timer is due, never
    /// after.
    pub fn next_wakeup_at(&self) -> Option<Ms> {
        self.next_tick().map(|tick| tick as f64 * self.tick_ms)
    }

    /// Appends all timers that are due by `now` to `out`, high priority first.
    pub fn advance(&mut self, now: Ms, out: &mut Vec<FiredTimer<T>>) {
        let until = (now / self.tick_ms).max(0.0) as u64;
        let mut due: Vec<(Priority, u64, u64, u32)> = Vec::new();
        while let Some(next) = self.next_tick().filter(|t| *t <= until) {
            self.current_tick = next;
            // Empties the slots that begin at this tick, from the top level down: a timer that is not due yet moves to a
            // lower level, and may be found there again at this same tick.
            for level in (0..LEVELS).rev() {
                let shift = level as u32 * SLOT_BITS;
                if next & ((1 << shift) - 1) != 0 {
                    continue;
                }
                let slot = level * SLOTS + (next >> shift) as usize % SLOTS;
                let mut index = std::mem::replace(&mut self.slots[slot], NONE);
                self.occupied[level] &= !(1 << (slot % SLOTS));
                while index != NONE {
                    let t = &self.timers[index as usize];
                    let following = t.next;
                    if t.due_tick <= next {
                        due.push((t.priority, t.due_tick, t.start_number, index));
                    } else {
                        self.link(index);
                    }
                    index = following;
                }
            }
        }
        self.current_tick = self.current_tick.max(until);
        due.sort_unstable();
        for (_, due_tick, _, index) in due {
            let late_by_ms = (now - due_tick as f64 * self.tick_ms).max(0.0);
            self.lateness.fired += 1;
            self.lateness.late += u64::from(late_by_ms > self.lateness_bound);
            self.lateness.max_late_ms = self.lateness.max_late_ms.max(late_by_ms);
            let (value, key) = self.release(index);
            out.push(FiredTimer { key, value, late_by_ms });
        }
    }
}
