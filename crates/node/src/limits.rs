//! Limits on what a viewer or server may use of this node, and the time-outs that apply to them. Placement of
//! sessions does not depend on anything here. Times are in milliseconds ([`Ms`]).
use walnutline::ids::Ms;

/// Time within which a new viewer's connection has to bring a complete message. The platform expects an error
/// or a close within 3 s.
pub const VIEWER_FIRST_MESSAGE_TIMEOUT: Ms = 2_000.0;
/// Time within which a message that a viewer has begun has to be complete. Its body may arrive up to 2 s
/// after its head, and malformed messages have to be answered within 3 s as well.
pub const VIEWER_MESSAGE_TIMEOUT: Ms = 2_500.0;
/// Time within which a message that a server has begun has to be complete. Longer than any network takes.
pub const SERVER_MESSAGE_TIMEOUT: Ms = 2_000.0;
/// Unanswered set-ups on one viewer's connection. More is treated as a flood: each of them would be placed
/// and cost a server work.
pub const MAX_OPEN_SETUPS_PER_VIEWER: usize = 128;
/// Longest wait accepted from a viewer, as a multiple of the longest wait that is configured for any class. A
/// larger value can only be a mistake.
pub const MAX_WAIT_FACTOR: f64 = 10.0;
/// Messages kept about sessions that have not been handed over yet, rungs and ends counted separately.
pub const MAX_EARLY_MESSAGES: usize = 4_096;
/// Time after the start for which messages about sessions that have not been handed over yet are kept.
pub const EARLY_MESSAGE_PERIOD: Ms = 10_000.0;
/// Connections to one server at once. A connection that breaks takes all set-ups on it along; up to this
/// number, each set-up has a connection of its own.
pub const MAX_CONNECTIONS_PER_SERVER: usize = 4;
/// Idle time after which a connection to a server is closed if it isn't the only one.
pub const EXTRA_CONNECTION_IDLE_TIMEOUT: Ms = 5_000.0;
/// With more servers than room for connections, the longest time for which a server with sessions has no
/// connection: viewers have to get the release of a session within 8 s of its end.
pub const MAX_TIME_WITHOUT_CONNECTION: Ms = 3_000.0;
/// Share of the platform's idle time-out after which the node closes a connection itself: if the server
/// closed it first, a set-up could cross the close.
pub const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// Ids of cancelled or refused set-ups kept for each connection, in case a positive answer is still on its
/// way: more than a node takes in while any of them could be answered.
pub const MAX_ENDED_SETUPS: usize = 1_024;
/// Time without a message after which a server with sessions is pinged. The release of a session that ends
/// with its machine has to reach its viewer within 8 s: with the ping's time-out, the connection attempt
/// after it and two sweeps, 6 s pass. Pings are priced as probes and every node sends its own: with a shorter
/// time, they were six of seven probes of the fleet.
pub const PING_AFTER_SILENCE: Ms = 4_000.0;
/// Requests on one connection to a server that are remembered as unanswered after they were given up.
pub const MAX_UNANSWERED_REQUESTS: usize = 1_024;
/// Time without an answer to a request, after which other connections to the server are preferred.
pub const DOUBT_AFTER: Ms = 1_200.0;
/// Time without an answer to a request, after which a ping finds out whether the connection still works. SETUPs are
/// given up by then.
pub const PING_IN_DOUBT_AFTER: Ms = 3_000.0;
/// Longest interval between two new connections to a server that may not have noticed the end of an earlier one. It sends
/// releases on that one and repeats them on the next new one, and viewers have to get them within 8 s of the
/// session's end.
pub const MAX_RELEASE_REPEAT_INTERVAL: Ms = 6_000.0;
/// Time without input on any connection to a server with sessions, after which a new one is opened: the server may have
/// forgotten those that there are. Viewers have to get the release of a session within 8 s of its end.
pub const MAX_IDLE_WITH_SESSIONS: Ms = 6_000.0;
/// Time-out of a ping. A new connection is then opened; if that fails too, the machine is taken for gone.
pub const PING_TIMEOUT: Ms = 1_200.0;
/// Shortest time in which a server's process can be replaced: a server that accepts a connection sooner than
/// this after its last message still has the same process.
pub const MIN_PROCESS_RESTART_TIME: Ms = 1_000.0;
/// Time within which everything that a process sent before its end has arrived.
pub const MAX_DELIVERY_DELAY: Ms = 250.0;
/// Time for which releases are kept that found no connection, or whose connection ended before they were
/// confirmed.
pub const RELEASE_RETENTION: Ms = 8_000.0;
/// Releases kept at once: those without a connection, and the unconfirmed ones of each connection.
pub const MAX_PENDING_RELEASES: usize = 4_096;
/// Queries for the list of servers whose answers are still accepted: those of at least the last 10 s, at the
/// rate of the shortest drain grace in use.
pub const MAX_OPEN_LIST_QUERIES: usize = 64;
/// Paths of changed settings written to the log when a new configuration is not applied.
pub const MAX_LOGGED_PATHS: usize = 8;
/// Interval at which all connections are checked.
pub const SWEEP_INTERVAL: Ms = 250.0;
/// Time after the request to stop during which new requests may still arrive; after that, the node ends as
/// soon as no work is left.
pub const SHUTDOWN_REQUEST_PERIOD: Ms = 700.0;
/// Time beyond the longest wait of a viewer, or beyond [`MAX_SHUTDOWN_WAIT`] if that is shorter, within which a
/// stopping node answers all requests and for which it keeps playing sessions. The platform kills the process
/// 250 ms later.
pub const SHUTDOWN_SESSION_GRACE: Ms = 450.0;
/// Longest viewer's wait for which the platform delays the kill.
pub const MAX_SHUTDOWN_WAIT: Ms = 3_000.0;
/// Interval at which a stopping node checks whether it may end.
pub const SHUTDOWN_CHECK_INTERVAL: Ms = 25.0;
/// Longest time for which the end is delayed for input not yet handled or output not yet sent. The kill comes
/// 100 ms later.
pub const SHUTDOWN_FLUSH_TIMEOUT: Ms = 150.0;
/// Longest time for which the ending process goes on reading from viewers after it has closed its side. After
/// all of the time-outs above, 35 ms are left before the kill.
pub const SHUTDOWN_READ_TIMEOUT: Ms = 40.0;
/// A viewer that ends its session sooner than this after the answer may not have received it; this is logged.
pub const IMMEDIATE_TEARDOWN: Ms = 5.0;
/// Unread bytes of its viewer that are read before a SETUP is sent, at most: a viewer that sends more without pause is
/// taken to want it.
pub const MAX_UNREAD_BEFORE_SETUP: u64 = 64 * 1024;
/// Descriptors for neither viewers nor servers: standard streams, listener, pollers, datagrams, signals, the
/// configuration, and some to spare.
pub const RESERVED_DESCRIPTORS: usize = 28;
/// Descriptors reserved for each server that is listed at the start.
pub const DESCRIPTORS_PER_SERVER: usize = MAX_CONNECTIONS_PER_SERVER;
/// Descriptors are reserved for at least this number of servers.
pub const MIN_SERVERS_PLANNED_FOR: usize = 16;
/// Viewers' connections beyond the limit that may be open while none of the others can be closed.
pub const EXTRA_VIEWER_CONNECTIONS: usize = 4;
/// Bytes waiting for a peer that does not read; beyond that, its connection is closed.
pub const MAX_BACKLOG_BYTES: usize = 256 * 1024;
/// Bytes read from a connection in one call.
pub const READ_BUFFER_BYTES: usize = 4_096;
/// Bytes read from one connection before the others are served, so that a peer that sends without pause delays no
/// other.
pub const MAX_BYTES_PER_TURN: usize = READ_BUFFER_BYTES;
/// Longest time for which connections to servers, and then those of viewers, are read before datagrams and timers are
/// served. The last turn may exceed it.
pub const MAX_READ_TIME: Ms = 10.0;

/// Returns the number of viewers' connections held at once, for a limit on sockets and the number of servers
/// listed at the start: at least a third of the sockets and at least 8, however many are reserved.
pub fn max_viewer_connections(sockets: usize, servers: usize) -> usize {
    let reserved = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_SERVER * servers.max(MIN_SERVERS_PLANNED_FOR);
    sockets.saturating_sub(reserved).max(sockets / 3).max(8)
}

/// Returns the number of connections to servers held at once, for a limit on sockets and the number of
/// viewers' connections: at least 4. There may be more servers than that.
pub fn max_server_connections(sockets: usize, viewers: usize) -> usize {
    sockets.saturating_sub(RESERVED_DESCRIPTORS + viewers).max(4)
}
