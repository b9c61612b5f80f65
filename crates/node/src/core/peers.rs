//! Load reports between front nodes: the decision engine chooses what is sent and is given what is received.
use super::Node;
use crate::actions::IoAction;
use std::net::SocketAddr;
use walnutline::api::PeerReport;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId};
use walnutline_platform::peers::{self, ServerStatus};

impl Node {
    pub(super) fn send_peer_reports(&mut self, reports: &[PeerReport], now: Ms) {
        let Some(to) = self.configuration.peer_broadcast_address else { return };
        let to_status = |report: &PeerReport| {
            let server = self.servers.get(&report.server)?;
            let known_uptime_ms = (now - server.process_known_since).max(0.0);
            Some(ServerStatus {
                name_hash: peers::hash_server_name(&server.name),
                age_ms: report.age,
                stream_share: report.stream_use,
                link_use: report.link_use,
                known_uptime_ms,
            })
        };
        let statuses: Vec<ServerStatus> = reports.iter().filter_map(to_status).collect();
        self.io_actions.push(IoAction::SendPeerReports { to, bytes: peers::encode(&statuses) });
    }

    /// Handles a datagram from `from` on the address for other front nodes. Datagrams from other senders,
    /// unreadable ones and reports on servers that are not listed are ignored.
    pub fn peer_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Ms) {
        if !self.configuration.peer_addresses.contains(&from) {
            return;
        }
        let Some(statuses) = peers::decode(bytes) else { return };
        let mut by_hash: Vec<(u32, ServerId)> = Vec::with_capacity(self.servers.len());
        let listed = self.servers.iter().filter(|(_, s)| s.list_state != ServerState::Gone);
        by_hash.extend(listed.map(|(id, s)| (peers::hash_server_name(&s.name), *id)));
        by_hash.sort_unstable();
        let to_report = |status: &ServerStatus| {
            let first = by_hash.partition_point(|(hash, _)| *hash < status.name_hash);
            let (hash, server) = *by_hash.get(first)?;
            let ambiguous = by_hash.get(first + 1).is_some_and(|(next, _)| *next == status.name_hash);
            (hash == status.name_hash && !ambiguous).then_some(PeerReport {
                server,
                stream_use: status.stream_share,
                link_use: status.link_use,
                age: status.age_ms,
                process_age: status.known_uptime_ms,
            })
        };
        let reports: Vec<PeerReport> = statuses.iter().filter_map(to_report).collect();
        // A server that answered another node is alive. Without this, each node would ping each server that
        // has sessions: pings are priced and take a server's time as probes do.
        for report in &reports {
            if let Some(s) = self.servers.get_mut(&report.server) {
                s.last_seen_at = s.last_seen_at.max(now - report.age);
            }
        }
        self.engine.record_peer_reports(&reports, now);
    }
}
