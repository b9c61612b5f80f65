//! What a peer may take of this node, and how long it may take it. Nothing here bears on where a session goes.
use walnutline::ids::Ms;

/// A viewer's connection says something whole within this time. Peers are owed an error or a close within 3 s.
pub const VIEWER_FIRST_MESSAGE_TIMEOUT: Ms = 2_000.0;
/// A viewer's message that has begun is whole within this time: a body may come 2 s after its head, and those 3 s
/// hold for bad ones.
pub const VIEWER_MESSAGE_TIMEOUT: Ms = 2_500.0;
/// Likewise a server's. Long for any network.
pub const SERVER_MESSAGE_TIMEOUT: Ms = 2_000.0;
/// Set-ups open on one viewer's connection. More is a flood: each of them would be placed, and cost a server work.
pub const MAX_OPEN_SETUPS_PER_VIEWER: usize = 128;
/// Longest wait taken from a viewer, by the longest of any class. More is no wait that anyone means.
pub const MAX_WAIT_FACTOR: f64 = 10.0;
/// What is told of sessions that are not handed over yet: of so many of them, and only so long after the
/// start.
pub const MAX_EARLY_MESSAGES: usize = 4_096;
pub const EARLY_MESSAGE_PERIOD: Ms = 10_000.0;
/// Connections to one server at once. A connection that breaks takes all set-ups on it along; each set-up has its
/// own as far as this goes.
pub const MAX_CONNECTIONS_PER_SERVER: usize = 4;
/// A further connection to a server that was idle for so long is closed.
pub const EXTRA_CONNECTION_IDLE_TIMEOUT: Ms = 5_000.0;
/// Where there are more servers than room for connections, one where sessions stand is without for so long at most:
/// releases are owed within 8 s of a session's end.
pub const MAX_TIME_WITHOUT_CONNECTION: Ms = 3_000.0;
/// Share of the platform's idle time after which a connection is closed from here, before its server does:
/// a set-up would cross the server's close.
pub const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// Ids of set-ups that are over, given up or refused, and kept for a connection, in case a good answer is
/// still under way: more than a node takes in while any of them could be answered.
pub const MAX_ENDED_SETUPS: usize = 1_024;
/// A server where sessions stand and that was not heard for so long is tested. What ends there has to be released within
/// 8 s: with the wait for the answer, the connection that then does not open and two sweeps, 6 s pass. Tests are
/// priced as probes are, and every node tests for itself: sooner, they were six of seven probes of the fleet.
pub const PING_AFTER_SILENCE: Ms = 4_000.0;
/// A test that is not answered within this time is followed by a new connection: if that does not open either,
/// the machine is gone.
pub const PING_TIMEOUT: Ms = 1_200.0;
/// A process that ends is not replaced within this time: one that was heard and takes a connection again is the same.
pub const MIN_PROCESS_RESTART_TIME: Ms = 1_000.0;
/// What was on its way from a process that ended has come in by then.
pub const MAX_DELIVERY_DELAY: Ms = 250.0;
/// Releases that found no connection, or whose connection ended before they were heard, are kept for so long,
/// and so many.
pub const RELEASE_RETENTION: Ms = 8_000.0;
pub const MAX_PENDING_RELEASES: usize = 4_096;
/// Questions whose answers are still taken: those of the last ten seconds and more, at the pace of the
/// shortest grace seen.
pub const MAX_OPEN_LIST_QUERIES: usize = 64;
/// A name service that has told nothing but lower numbers than the one known, for so long and so often,
/// counts anew. An older list that is told by mistake is followed by newer ones within 4.5 s.
pub const SERIAL_RESET_TIME: Ms = 5_000.0;
pub const SERIAL_RESET_ANSWERS: u32 = 4;
/// Paths of what a new configuration changes that are told in the log.
pub const MAX_LOGGED_PATHS: usize = 8;
/// How often connections are looked over.
pub const SWEEP_INTERVAL: Ms = 250.0;
/// After being told to stop, requests still come for so long; then the node ends once nothing is owed.
pub const SHUTDOWN_REQUEST_PERIOD: Ms = 700.0;
/// Sessions that stand are kept up for so long after the longest wait of a viewer, or after the longest that the
/// platform gives for it: the kill comes 250 ms later.
pub const SHUTDOWN_SESSION_GRACE: Ms = 450.0;
pub const MAX_SHUTDOWN_WAIT: Ms = 3_000.0;
/// How often it is then looked whether the node may end.
pub const SHUTDOWN_CHECK_INTERVAL: Ms = 25.0;
/// How long the end waits at most for what came in and is unheard, or was written and has not gone out: the
/// kill comes 100 ms later.
pub const SHUTDOWN_FLUSH_TIMEOUT: Ms = 150.0;
/// How long the ending process reads on from viewers that it has closed its side to, at most. With all before, the
/// kill comes 35 ms later.
pub const SHUTDOWN_READ_TIMEOUT: Ms = 40.0;
/// A viewer that ends its session so soon after the answer may not have heard it: that is told in the log.
pub const IMMEDIATE_TEARDOWN: Ms = 5.0;
/// How long a SETUP is held back at most while something of its viewer is unheard: one that sends without end
/// counts as there.
pub const MAX_SETUP_HOLD: Ms = 50.0;
/// Descriptors that are neither viewers' nor servers': standard streams, listener, pollers, datagrams, signals, the
/// configuration, and some to spare.
pub const RESERVED_DESCRIPTORS: usize = 28;
/// Descriptors kept for servers, by server listed at the start, and at the least.
pub const DESCRIPTORS_PER_SERVER: usize = MAX_CONNECTIONS_PER_SERVER;
pub const MIN_SERVERS_PLANNED_FOR: usize = 16;
/// So many viewers' connections more than there is room for may be open while none of the others can be
/// closed.
pub const EXTRA_VIEWER_CONNECTIONS: usize = 4;
/// Bytes that wait for a peer that does not read. Then its connection is closed.
pub const MAX_BACKLOG_BYTES: usize = 256 * 1024;
/// Bytes read of one connection at once, and how often before others have their turn: one that sends without end
/// holds up nobody.
pub const READ_BUFFER_BYTES: usize = 4_096;
pub const MAX_CONSECUTIVE_READS: usize = 4;

/// How many connections of viewers are held at once.
pub fn max_viewer_connections(sockets: usize, servers: usize) -> usize {
    let kept = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_SERVER * servers.max(MIN_SERVERS_PLANNED_FOR);
    sockets.saturating_sub(kept).max(sockets / 3).max(8)
}

/// How many connections to servers there may be, whatever the number of servers.
pub fn max_server_connections(sockets: usize, viewers: usize) -> usize {
    sockets.saturating_sub(RESERVED_DESCRIPTORS + viewers).max(4)
}
