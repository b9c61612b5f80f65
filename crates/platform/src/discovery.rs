//! Service discovery: the list of servers as DNS records (RFC 1035).
//!
//! An answer has one SRV record for each server, with an A and a TXT record for the SRV's target. The first two labels
//! of the target are the server's id and zone. The serial of the SOA record is the version of the list.
use crate::ServerRecord;
use simple_dns::rdata::RData;
use simple_dns::{Name, Packet, PacketFlag, Question, CLASS, QCLASS, QTYPE, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Name of the SRV records that list the servers.
pub const SERVER_LIST_NAME: &str = "_data._tcp.farm.lan";
/// Longest answer that is accepted: any datagram. The platform's answers have at most 8,000 bytes, which is room for
/// some dozens of servers, but a longer one that arrives complete is just as valid.
pub const MAX_ANSWER_BYTES: usize = 65_535;
/// Weight in an SRV record per unit of a server's weight.
const SRV_WEIGHT_SCALE: f64 = 10.0;

/// Why an answer cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerError {
    /// The bytes are not a DNS message.
    Malformed,
    /// The message is not a response, or its id or question differs from the query.
    Mismatch,
    /// The response reports an error, or was truncated.
    Failed,
    /// A required record is missing or invalid.
    Incomplete,
}

/// The servers at one version of the list.
#[derive(Debug, PartialEq)]
pub struct ServerList {
    /// Number of the last change included in the list.
    pub serial: u32,
    pub servers: Vec<ServerRecord>,
}

/// Encodes the query for the server list.
pub fn encode_query(id: u16) -> Vec<u8> {
    let mut packet = Packet::new_query(id);
    let name = Name::new_unchecked(SERVER_LIST_NAME);
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::SRV), QCLASS::CLASS(CLASS::IN), false));
    // A fixed name with short labels can always be encoded.
    packet.build_bytes_vec().unwrap_or_default()
}

/// Parses the answer to the query with this id.
pub fn parse_answer(bytes: &[u8], id: u16) -> Result<ServerList, AnswerError> {
    let packet = Packet::parse(bytes).map_err(|_| AnswerError::Malformed)?;
    // DNS names are compared case-insensitively.
    let same_name = |name: &Name, other: &str| name.to_string().eq_ignore_ascii_case(other);
    let lookup_key = |name: &Name| name.to_string().to_ascii_lowercase();
    let question_matches = packet.questions.first().is_none_or(|q| same_name(&q.qname, SERVER_LIST_NAME));
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) || !question_matches {
        return Err(AnswerError::Mismatch);
    }
    if packet.rcode() != RCODE::NoError || packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(AnswerError::Failed);
    }
    let serial = packet.name_servers.iter().find_map(|record| match &record.rdata {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    });
    let mut addresses = HashMap::new();
    let mut attributes = HashMap::new();
    for record in packet.answers.iter().chain(&packet.additional_records) {
        match &record.rdata {
            RData::A(a) => drop(addresses.insert(lookup_key(&record.name), Ipv4Addr::from(a.address))),
            RData::TXT(txt) => drop(attributes.insert(lookup_key(&record.name), txt.attributes())),
            _ => {}
        }
    }
    let mut servers = Vec::new();
    for record in &packet.answers {
        let RData::SRV(srv) = &record.rdata else { continue };
        if !same_name(&record.name, SERVER_LIST_NAME) {
            continue;
        }
        let target = lookup_key(&srv.target);
        let address = addresses.get(&target).ok_or(AnswerError::Incomplete)?;
        let server_attributes = attributes.get(&target).ok_or(AnswerError::Incomplete)?;
        let attribute =
            |key: &str| server_attributes.get(key).cloned().flatten().ok_or(AnswerError::Incomplete);
        // Uses the bytes of each label, since a label may itself contain a dot or a space.
        let mut labels = srv.target.as_bytes().map(|label| String::from_utf8_lossy(label).into_owned());
        let (name, zone) = labels.next().zip(labels.next()).ok_or(AnswerError::Incomplete)?;
        let started: f64 = attribute("started")?.parse().map_err(|_| AnswerError::Incomplete)?;
        servers.push(ServerRecord {
            name,
            address: SocketAddr::from((*address, srv.port)),
            zone,
            kind: attribute("kind")?,
            cell: attribute("cell")?.parse().map_err(|_| AnswerError::Incomplete)?,
            draining: srv.priority != 0,
            weight: srv.weight as f64 / SRV_WEIGHT_SCALE,
            started_unix_ms: (started.is_finite() && started != 0.0).then_some(started),
        });
    }
    Ok(ServerList { serial: serial.ok_or(AnswerError::Incomplete)?, servers })
}
