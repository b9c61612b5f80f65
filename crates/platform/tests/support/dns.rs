//! Answers of a name service, for the tests of several packages.
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, ResourceRecord, CLASS};

/// The list under that number, as the answer to a question: `ID.ZONE.hosts`, address and port of each server.
pub fn list(question: &[u8], serial: u32, lines: &[(&str, [u8; 4], u16)], started: &str) -> Vec<u8> {
    let mut p = Packet::new_reply(u16::from_be_bytes([question[0], question[1]]));
    let name = Name::new_unchecked;
    let record = |n, data| ResourceRecord::new(name(n), CLASS::IN, 0, data);
    for (target, ip, port) in lines {
        let srv = SRV { priority: 0, weight: 30, port: *port, target: name(target) };
        let txt = ["kind=box-3c", "cell=0", started];
        let txt = txt.into_iter().fold(TXT::new(), |t, s| t.with_string(s).unwrap());
        p.answers.push(record(walnutline_platform::discovery::SERVER_LIST_NAME, RData::SRV(srv)));
        p.additional_records.push(record(target, RData::A(A { address: u32::from_be_bytes(*ip) })));
        p.additional_records.push(record(target, RData::TXT(txt)));
    }
    let soa = SOA { mname: name("a"), rname: name("b"), serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    p.name_servers.push(record("farm.lan", RData::SOA(soa)));
    p.build_bytes_vec_compressed().unwrap()
}
