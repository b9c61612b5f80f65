//! Datagrams between front nodes: the module says what is told, and what is heard goes to it.
use super::Node;
use crate::actions::IoAction;
use std::net::SocketAddr;
use walnutline::api::PeerReport;
use walnutline::fleet::ServerState;
use walnutline::ids::{Ms, ServerId};
use walnutline_platform::peers::{self, ServerStatus};

impl Node {
    pub(super) fn tell(&mut self, news: &[PeerReport], now: Ms) {
        let Some(to) = self.told.peer_broadcast_address else { return };
        let entry = |n: &PeerReport| {
            let s = self.servers.get(&n.server)?;
            let since = (now - s.process).max(0.0);
            Some(ServerStatus {
                name_hash: peers::hash_server_name(&s.name),
                age_ms: n.age,
                stream_share: n.stream_use,
                link_use: n.link_use,
                known_uptime_ms: since,
            })
        };
        let entries: Vec<ServerStatus> = news.iter().filter_map(entry).collect();
        self.dos.push(IoAction::SendPeerReports { to, bytes: peers::encode(&entries) });
    }

    /// A datagram on the address for other front nodes. What does not come from one of them, can't be read or tells of
    /// servers that are not listed is passed over.
    pub fn peer_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Ms) {
        if !self.told.peer_addresses.contains(&from) {
            return;
        }
        let Some(entries) = peers::decode(bytes) else { return };
        let mut by_hash: Vec<(u32, ServerId)> = Vec::with_capacity(self.servers.len());
        let there = self.servers.iter().filter(|(_, s)| s.listing != ServerState::Gone);
        by_hash.extend(there.map(|(id, s)| (peers::hash_server_name(&s.name), *id)));
        by_hash.sort_unstable();
        let news = |e: &ServerStatus| {
            let first = by_hash.partition_point(|(hash, _)| *hash < e.name_hash);
            let (hash, server) = *by_hash.get(first)?;
            let two = by_hash.get(first + 1).is_some_and(|(next, _)| *next == e.name_hash);
            (hash == e.name_hash && !two).then_some(PeerReport {
                server,
                stream_use: e.stream_share,
                link_use: e.link_use,
                age: e.age_ms,
                process_age: e.known_uptime_ms,
            })
        };
        let news: Vec<PeerReport> = entries.iter().filter_map(news).collect();
        // A server that answered another node is there. Guards against each node testing each server where something
        // stands: tests are priced and take a server's time as probes do.
        for n in &news {
            if let Some(s) = self.servers.get_mut(&n.server) {
                s.heard = s.heard.max(now - n.age);
            }
        }
        self.desk.record_peer_reports(&news, now);
    }
}
