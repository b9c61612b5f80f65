//! What is due when: a heap, entries checked by their owner when they come up. One entry per SETUP, probe and
//! connection under way; O(log n) to add and to take. Entries are not taken out early: an entry whose matter
//! is settled comes up at its time and is passed over, so the heap holds at most what was started within the
//! longest time-out.
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use walnutline::ids::Ms;

struct Entry<T> {
    at: Ms,
    order: u64,
    what: T,
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
    /// The earliest is the greatest; of equal times the one set first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

pub struct TimerQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    set: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T> TimerQueue<T> {
    pub fn schedule(&mut self, at: Ms, what: T) {
        self.set += 1;
        self.heap.push(Entry { at, order: self.set, what });
    }

    pub fn next_due_at(&self) -> Option<Ms> {
        self.heap.peek().map(|e| e.at)
    }

    pub fn pop_due(&mut self, now: Ms) -> Option<T> {
        if self.next_due_at()? > now {
            return None;
        }
        self.heap.pop().map(|e| e.what)
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn due_by_time_then_by_order_of_setting() {
        let mut t = TimerQueue::default();
        for (at, what) in [(5.0, 'c'), (1.0, 'a'), (5.0, 'd'), (3.0, 'b')] {
            t.schedule(at, what);
        }
        assert_eq!(t.pop_due(0.5), None);
        let order: Vec<char> = std::iter::from_fn(|| t.pop_due(5.0)).collect();
        assert_eq!(order, ['a', 'b', 'c', 'd']);
    }
}
