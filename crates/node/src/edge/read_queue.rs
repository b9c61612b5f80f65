//! The order in which connections are read. Servers come first. Viewers have their turns by start-time fair queueing: each
//! turn is charged with the bytes that it read, so that a viewer that sends without pause waits behind its own bytes, and
//! hardly delays the others.
use crate::actions::ConnectionId;
use std::collections::{BTreeSet, HashMap, VecDeque};
use walnutline_platform::rtsp::MAX_MESSAGE_BYTES;

/// Virtual time in bytes: what each viewer that sends without pause has been read since the start.
type VirtualTime = u64;

/// Bytes that a turn is charged with at least: it has a price even if it reads nothing.
const MIN_TURN_BYTES: VirtualTime = 64;

/// Bytes that a viewer which sends less than its share may be ahead of the others: one message.
const MAX_CREDIT: VirtualTime = MAX_MESSAGE_BYTES as VirtualTime;

/// A viewer's connection in the queue, ordered by its start tag and then by its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ViewerTurn {
    start_tag: VirtualTime,
    arrival: u64,
    conn: ConnectionId,
}

/// What is known of a viewer's connection.
#[derive(Debug)]
struct ViewerShare {
    /// Start of its last turn, in virtual time.
    start_tag: VirtualTime,
    /// End of its last turn.
    finish_tag: VirtualTime,
    /// Its place in the queue, if it is there.
    queued: Option<ViewerTurn>,
}

/// Connections that may have data to read, each of them once.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    servers: VecDeque<ConnectionId>,
    viewers: BTreeSet<ViewerTurn>,
    shares: HashMap<ConnectionId, ViewerShare>,
    /// The latest start tag of a turn.
    virtual_time: VirtualTime,
    arrivals: u64,
}

impl ReadQueue {
    /// Adds a connection to a server, which must not be in the queue.
    pub fn push_server(&mut self, conn: ConnectionId) {
        self.servers.push_back(conn);
    }

    /// Adds a viewer's connection, or moves it to the place that it is due.
    pub fn push_viewer(&mut self, conn: ConnectionId) {
        // A new connection has no credit, but is read before those that send without pause.
        let newest_tag = self.virtual_time.saturating_sub(1);
        let new_share = ViewerShare { start_tag: newest_tag, finish_tag: newest_tag, queued: None };
        let share = self.shares.entry(conn).or_insert(new_share);
        let start_tag = share.finish_tag.max(self.virtual_time.saturating_sub(MAX_CREDIT));
        let turn = ViewerTurn { start_tag, arrival: self.arrivals, conn };
        self.arrivals += 1;
        if let Some(previous) = share.queued.replace(turn) {
            self.viewers.remove(&previous);
        }
        self.viewers.insert(turn);
    }

    /// Removes and returns the server's connection that is read next.
    pub fn pop_server(&mut self) -> Option<ConnectionId> {
        self.servers.pop_front()
    }

    /// Removes and returns the viewer's connection that is read next.
    pub fn pop_viewer(&mut self) -> Option<ConnectionId> {
        let turn = self.viewers.pop_first()?;
        self.virtual_time = self.virtual_time.max(turn.start_tag);
        if let Some(share) = self.shares.get_mut(&turn.conn) {
            (share.start_tag, share.queued) = (turn.start_tag, None);
        }
        Some(turn.conn)
    }

    /// Charges the viewer's connection that was removed last with the bytes that its turn has read. It may be in the
    /// queue again by now.
    pub fn charge_viewer(&mut self, conn: ConnectionId, bytes: usize) {
        let Some(share) = self.shares.get_mut(&conn) else { return };
        share.finish_tag = share.start_tag + MIN_TURN_BYTES.max(bytes as VirtualTime);
        if share.queued.is_some() {
            self.push_viewer(conn);
        }
    }

    /// Removes a viewer's connection that has ended.
    pub fn remove_viewer(&mut self, conn: ConnectionId) {
        if let Some(turn) = self.shares.remove(&conn).and_then(|share| share.queued) {
            self.viewers.remove(&turn);
        }
    }

    /// Number of connections to servers in the queue.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Number of viewers' connections in the queue.
    pub fn viewer_count(&self) -> usize {
        self.viewers.len()
    }

    /// Whether no connection is in the queue.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.viewers.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BUSY: [ConnectionId; 3] = [ConnectionId(1), ConnectionId(2), ConnectionId(3)];
    const USUAL: ConnectionId = ConnectionId(9);

    /// Guards against answers that are late for usual viewers: a round-robin served each busy connection first.
    #[test]
    fn viewer_that_sends_little_is_next_whatever_others_send() {
        let mut queue = ReadQueue::default();
        BUSY.iter().for_each(|conn| queue.push_viewer(*conn));
        queue.push_viewer(USUAL);
        for turn in 0..2_000 {
            let usual_asks = turn >= 20 && turn % 2 == 0;
            if usual_asks {
                queue.push_viewer(USUAL);
            }
            let conn = queue.pop_viewer().unwrap();
            assert!(conn == USUAL || !usual_asks, "turn {turn}");
            if conn != USUAL {
                queue.push_viewer(conn);
            }
            queue.charge_viewer(conn, if conn == USUAL { 300 } else { 4_096 });
        }
    }

    #[test]
    fn busy_viewers_share_the_bytes_and_an_idle_one_saves_none_up() {
        let mut queue = ReadQueue::default();
        let mut read = HashMap::new();
        BUSY[..2].iter().for_each(|conn| queue.push_viewer(*conn));
        for turn in 0..600 {
            if turn == 200 {
                read.clear();
                queue.push_viewer(BUSY[2]);
            }
            let conn = queue.pop_viewer().unwrap();
            let bytes = if conn == BUSY[0] { 4_000 } else { 1_000 };
            *read.entry(conn).or_insert(0) += bytes;
            queue.push_viewer(conn);
            queue.charge_viewer(conn, bytes);
        }
        let (least, most) = read.values().fold((usize::MAX, 0), |(l, m), n| (l.min(*n), m.max(*n)));
        assert!(read.len() == 3 && most - least <= 8_000, "{read:?}");
        queue.push_viewer(ConnectionId(4));
        assert_eq!(queue.pop_viewer(), Some(ConnectionId(4)), "a new viewer doesn't wait for busy ones");
    }
}
