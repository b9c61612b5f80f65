//! The name service: the list of servers as DNS records (RFC 1035).
use crate::ServerRecord;
use simple_dns::rdata::RData;
use simple_dns::{Name, Packet, PacketFlag, Question, CLASS, QCLASS, QTYPE, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

/// What is asked for.
pub const SERVER_LIST_NAME: &str = "_data._tcp.farm.lan";
/// Longest answer that is taken, in bytes: any datagram. The platform's are of 8,000 at most, which holds some dozens of
/// servers; a longer one that arrives whole is as good.
pub const MAX_ANSWER_BYTES: usize = 65_535;
/// Records tell ten times the weight.
const WEIGHT_SCALE: f64 = 10.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerError {
    Malformed,
    /// Its id or question is not the one that was asked.
    Mismatch,
    /// It reports a failure, or was cut short.
    Failed,
    /// A record that is needed is missing or out of range.
    Incomplete,
}

#[derive(Debug, PartialEq)]
pub struct ServerList {
    /// Number of the last change.
    pub serial: u32,
    pub servers: Vec<ServerRecord>,
}

pub fn encode_query(id: u16) -> Vec<u8> {
    let mut packet = Packet::new_query(id);
    let name = Name::new_unchecked(SERVER_LIST_NAME);
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::SRV), QCLASS::CLASS(CLASS::IN), false));
    // A fixed name of short labels is always written.
    packet.build_bytes_vec().unwrap_or_default()
}

/// The answer to the query of this id.
pub fn parse_answer(bytes: &[u8], id: u16) -> Result<ServerList, AnswerError> {
    let packet = Packet::parse(bytes).map_err(|_| AnswerError::Malformed)?;
    let same = |name: &Name, other: &str| name.to_string().eq_ignore_ascii_case(other);
    // Names are the same in any case of their letters.
    let key = |name: &Name| name.to_string().to_ascii_lowercase();
    let asked = packet.questions.first().is_none_or(|q| same(&q.qname, SERVER_LIST_NAME));
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) || !asked {
        return Err(AnswerError::Mismatch);
    }
    if packet.rcode() != RCODE::NoError || packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(AnswerError::Failed);
    }
    let serial = packet.name_servers.iter().find_map(|r| match &r.rdata {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    });
    let mut addresses = HashMap::new();
    let mut texts = HashMap::new();
    for r in packet.answers.iter().chain(&packet.additional_records) {
        match &r.rdata {
            RData::A(a) => drop(addresses.insert(key(&r.name), Ipv4Addr::from(a.address))),
            RData::TXT(txt) => drop(texts.insert(key(&r.name), txt.attributes())),
            _ => {}
        }
    }
    let mut servers = Vec::new();
    for r in &packet.answers {
        let RData::SRV(srv) = &r.rdata else { continue };
        if !same(&r.name, SERVER_LIST_NAME) {
            continue;
        }
        let target = key(&srv.target);
        let address = addresses.get(&target).ok_or(AnswerError::Incomplete)?;
        let told = texts.get(&target).ok_or(AnswerError::Incomplete)?;
        let text = |key: &str| told.get(key).cloned().flatten().ok_or(AnswerError::Incomplete);
        // By the labels' own bytes: a dot or a space inside of one is part of a name.
        let mut labels = srv.target.as_bytes().map(|l| String::from_utf8_lossy(l).into_owned());
        let (name, zone) = labels.next().zip(labels.next()).ok_or(AnswerError::Incomplete)?;
        let started: f64 = text("started")?.parse().map_err(|_| AnswerError::Incomplete)?;
        servers.push(ServerRecord {
            name,
            address: SocketAddr::from((*address, srv.port)),
            zone,
            kind: text("kind")?,
            cell: text("cell")?.parse().map_err(|_| AnswerError::Incomplete)?,
            draining: srv.priority != 0,
            weight: srv.weight as f64 / WEIGHT_SCALE,
            started_unix_ms: (started.is_finite() && started != 0.0).then_some(started),
        });
    }
    Ok(ServerList { serial: serial.ok_or(AnswerError::Incomplete)?, servers })
}
