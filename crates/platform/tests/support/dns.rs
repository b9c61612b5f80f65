//! DNS answers of a name service, for the tests of several packages.
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, ResourceRecord, CLASS};

/// Answers a query with the server list of this serial. Each server is given as `ID.ZONE.hosts`, IP address and port;
/// `started` is the `started=` attribute of all of them.
pub fn list(query: &[u8], serial: u32, servers: &[(&str, [u8; 4], u16)], started: &str) -> Vec<u8> {
    let mut packet = Packet::new_reply(u16::from_be_bytes([query[0], query[1]]));
    let name = Name::new_unchecked;
    let record = |owner, data| ResourceRecord::new(name(owner), CLASS::IN, 0, data);
    for (target, ip, port) in servers {
        let srv = SRV { priority: 0, weight: 30, port: *port, target: name(target) };
        let txt = ["kind=box-3c", "cell=0", started];
        let txt = txt.into_iter().fold(TXT::new(), |txt, text| txt.with_string(text).unwrap());
        packet.answers.push(record(walnutline_platform::discovery::SERVER_LIST_NAME, RData::SRV(srv)));
        packet.additional_records.push(record(target, RData::A(A { address: u32::from_be_bytes(*ip) })));
        packet.additional_records.push(record(target, RData::TXT(txt)));
    }
    let soa = SOA { mname: name("a"), rname: name("b"), serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    packet.name_servers.push(record("farm.lan", RData::SOA(soa)));
    packet.build_bytes_vec_compressed().unwrap()
}
