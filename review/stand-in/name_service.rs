//! A name service for one node: DNS over UDP, as the platform's protocol page describes it.
use crate::record;
use crate::site::site;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

#[derive(Debug, Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub draining: bool,
    pub started_ms: u64,
}

#[derive(Debug, Clone)]
pub struct List {
    /// Number of the last event.
    pub number: u32,
    pub entries: Vec<Entry>,
}

impl List {
    /// The list as the events of a start.
    pub fn known(&self) -> (u32, String) {
        let instance = |e: &Entry| {
            format!(
                r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"{}","cell":{},"lifecycle":"{}","weight":3,"startedAtMs":{}}}"#,
                e.name,
                e.address,
                site().zone,
                site().kind,
                e.cell,
                if e.draining { "Terminating" } else { "Ready" },
                e.started_ms
            )
        };
        let instances: Vec<String> = self.entries.iter().map(instance).collect();
        let instances = instances.join(",");
        (
            self.number,
            format!(
                r#"{{"no":{},"roster":{{"generation":1,"reset":true,"instances":[{instances}]}}}}"#,
                self.number
            ),
        )
    }
}

struct State {
    list: List,
    /// An older list that is answered with in place of the newest.
    older: Option<List>,
    /// When an answer with each number was first sent.
    told_at: BTreeMap<u32, f64>,
}

#[derive(Clone)]
pub struct NameService {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl NameService {
    pub fn start(list: List) -> Result<NameService, String> {
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = socket.local_addr().map_err(|e| e.to_string())?;
        let state = Arc::new(Mutex::new(State { list, older: None, told_at: BTreeMap::new() }));
        let shared = state.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 2_048];
            while let Ok((n, from)) = socket.recv_from(&mut bytes) {
                let mut state = shared.lock().unwrap();
                let list = state.older.clone().unwrap_or_else(|| state.list.clone());
                let Some(answer) = encode(&bytes[..n], &list) else { continue };
                let is_new = !state.told_at.contains_key(&list.number);
                state.told_at.entry(list.number).or_insert_with(record::now);
                if is_new || state.older.is_some() {
                    record::line("name service", &format!("answers with the list of event {}", list.number));
                }
                let _ = socket.send_to(&answer, from);
            }
        });
        Ok(NameService { address, state })
    }

    /// An event happens: this is the list from now on.
    pub fn set(&self, list: List) {
        record::line("name service", &format!("event {}: {:?}", list.number, summary(&list)));
        self.state.lock().unwrap().list = list;
    }

    /// Answers with an older list, or with the newest again.
    pub fn answer_with_older(&self, older: Option<List>) {
        let text = older.as_ref().map_or("the newest list again".into(), |l| {
            format!("an older list from now on, that of event {}: {:?}", l.number, summary(l))
        });
        record::line("name service", &text);
        self.state.lock().unwrap().older = older;
    }

    /// When an answer holding this event was first sent.
    pub fn told_at(&self, number: u32) -> Option<f64> {
        self.state.lock().unwrap().told_at.get(&number).copied()
    }
}

fn summary(list: &List) -> Vec<String> {
    list.entries.iter().map(|e| format!("{}{}", e.name, if e.draining { " draining" } else { "" })).collect()
}

fn encode_name(name: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in name.split('.') {
        bytes.push(label.len() as u8);
        bytes.extend(label.bytes());
    }
    bytes.push(0);
    bytes
}

fn push_record(out: &mut Vec<u8>, name: &str, kind: u16, data: &[u8]) {
    out.extend(encode_name(name));
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// The answer to a query: SRV records, the serial in a SOA record, and A and TXT records.
fn encode(query: &[u8], list: &List) -> Option<Vec<u8>> {
    let question = query.get(12..)?;
    let count = list.entries.len() as u16;
    let mut out = query[..2].to_vec();
    out.extend([0x84, 0, 0, 1]);
    out.extend(count.to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * count).to_be_bytes());
    out.extend(question);
    for e in &list.entries {
        let priority: u16 = e.draining.into();
        let mut data = [priority.to_be_bytes(), 30u16.to_be_bytes(), e.address.port().to_be_bytes()].concat();
        data.extend(encode_name(&format!("{}.{}.hosts", e.name, site().zone)));
        push_record(&mut out, "_data._tcp.farm.lan", 33, &data);
    }
    let mut soa = encode_name("ns.farm.lan");
    soa.extend(encode_name("admin.farm.lan"));
    soa.extend(list.number.to_be_bytes());
    soa.extend([0; 16]);
    push_record(&mut out, "farm.lan", 6, &soa);
    for e in &list.entries {
        let name = format!("{}.{}.hosts", e.name, site().zone);
        let SocketAddr::V4(address) = e.address else { return None };
        push_record(&mut out, &name, 1, &address.ip().octets());
        let mut text = Vec::new();
        for item in
            [format!("kind={}", site().kind), format!("cell={}", e.cell), format!("started={}", e.started_ms)]
        {
            text.push(item.len() as u8);
            text.extend(item.bytes());
        }
        push_record(&mut out, &name, 16, &text);
    }
    Some(out)
}
