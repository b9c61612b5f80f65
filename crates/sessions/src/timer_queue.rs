//! Timers in the order in which they are due: a heap with one entry per outstanding SETUP, probe and connection.
//! Scheduling and popping take O(log n). Entries are not cancelled one by one: an entry that has become obsolete comes up
//! at its time, and its owner skips it. Before that, the owner removes all obsolete entries whenever the queue asks for it,
//! so that the heap holds at most about twice as many entries as are in use.
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use walnutline::ids::Ms;

/// Obsolete entries are not searched for below this length.
const MIN_PURGE_LENGTH: usize = 1_024;

struct Entry<T> {
    due_at: Ms,
    sequence: u64,
    item: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// The earliest entry is the greatest; of equal times the one that was scheduled first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.due_at.total_cmp(&self.due_at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Items that become due at their time; items of the same time come out in the order of scheduling.
pub struct TimerQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    /// Number of entries scheduled so far.
    scheduled: u64,
    /// Length at which obsolete entries are to be removed.
    purge_length: usize,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { heap: BinaryHeap::new(), scheduled: 0, purge_length: MIN_PURGE_LENGTH }
    }
}

impl<T> TimerQueue<T> {
    /// Adds an item that is due at a time.
    pub fn schedule(&mut self, due_at: Ms, item: T) {
        self.scheduled += 1;
        self.heap.push(Entry { due_at, sequence: self.scheduled, item });
    }

    /// When the next item is due.
    pub fn next_due_at(&self) -> Option<Ms> {
        self.heap.peek().map(|entry| entry.due_at)
    }

    /// Removes and returns the next item if it is due.
    pub fn pop_due(&mut self, now: Ms) -> Option<T> {
        if self.next_due_at()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.item)
    }

    /// Whether the queue has doubled since obsolete items were last removed from it.
    pub fn needs_purge(&self) -> bool {
        self.heap.len() >= self.purge_length
    }

    /// Removes the items that are obsolete. Takes O(n).
    pub fn purge(&mut self, is_obsolete: impl Fn(&T) -> bool) {
        self.heap.retain(|entry| !is_obsolete(&entry.item));
        self.purge_length = MIN_PURGE_LENGTH.max(2 * self.heap.len());
    }

    /// Number of scheduled items.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether nothing is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn items_are_due_by_time_then_in_the_order_of_scheduling() {
        let mut timers = TimerQueue::default();
        for (due_at, item) in [(5.0, 'c'), (1.0, 'a'), (5.0, 'd'), (3.0, 'b')] {
            timers.schedule(due_at, item);
        }
        assert_eq!(timers.pop_due(0.5), None);
        let order: Vec<char> = std::iter::from_fn(|| timers.pop_due(5.0)).collect();
        assert_eq!(order, ['a', 'b', 'c', 'd']);
    }
}
