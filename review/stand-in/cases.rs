//! The cases. Each returns what broke the rule, or nothing if the rule held.
use crate::name_service::{Entry, List, NameService};
use crate::peers::PeerNetwork;
use crate::process::{self, NodeConfiguration};
use crate::record;
use crate::server::Server;
use crate::site;
use crate::viewer::{Flood, Viewer, Wish};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

type Verdict = Result<Option<String>, String>;

/// PROTOCOL: a session that is over is released within 8 s of its end; every time limit is 50 ms longer.
const RELEASE_LIMIT_MS: f64 = 8_000.0 + 50.0;

/// The grace after a drain was told, `safety.drain_grace`, and 50 ms for sockets.
const DRAIN_LIMIT_MS: f64 = 250.0 + 50.0;

pub fn run(case: &str, root: &Path, trouble: bool) -> Verdict {
    match case {
        "refused-flood" => refused_flood(root, trouble),
        "forgotten-connection" => forgotten_connection(root, trouble),
        "lost-answer" => lost_answer(root, trouble),
        "late-reconnect" => late_reconnect(root, trouble),
        "drain-under-flood" => drain_under_flood(root, trouble),
        "older-list" => older_list(root, trouble),
        "reused-address" => reused_address(root, trouble),
        _ => Err("no such case".into()),
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn entry(server: &Server, cell: u32) -> Entry {
    Entry { name: server.name.clone(), address: server.place.address, cell, draining: false, started_ms: 0 }
}

fn wish(id: u64, title: u64, home: u32, copies: u32) -> Wish {
    Wish { id, title, home, copies, wait_ms: 3_000, class: site::site().class }
}

/// Starts a single node with these servers listed.
fn start_single(root: &Path, list: List) -> Result<(SocketAddr, NameService), String> {
    let known = list.known();
    let name_service = NameService::start(list)?;
    let listen = process::free_tcp_address();
    let configuration = NodeConfiguration {
        name: "n1".into(),
        number: 0,
        listen,
        name_service: name_service.address,
        peers: None,
        front_count: 2,
        known,
    };
    process::start_node(root, &configuration)?;
    Ok((listen, name_service))
}

fn expect_200(viewer: &Viewer, id: u64) -> Result<(), String> {
    match viewer.answer(id, 3_100) {
        Some(200) => Ok(()),
        other => Err(format!("the set-up of {id:x} was to be answered with 200, not {other:?}")),
    }
}

fn released_in_time(what: &str, ended_at: f64, released_at: Option<f64>) -> Option<String> {
    match released_at {
        Some(at) if at - ended_at <= RELEASE_LIMIT_MS => {
            record::line("case", &format!("{what}: released {:.0} ms after its end", at - ended_at));
            None
        }
        Some(at) => Some(format!("{what}: released {:.0} ms after its end", at - ended_at)),
        None => Some(format!("{what}: not released {:.0} ms after its end", record::now() - ended_at)),
    }
}

/// One front node at a site where further SETUPs are rationed. All seats of a recording are taken. Clients ask for it by
/// hundreds at once, and again as soon as they are turned away. Usual viewers get their sessions meanwhile.
fn refused_flood(root: &Path, trouble: bool) -> Verdict {
    const SEATS: u64 = 6;
    const CLIENTS: u64 = 4;
    const REQUESTS_AT_ONCE: u64 = 100;
    const LENGTH_MS: f64 = 100_000.0;
    site::set(&site::ZVOLEN_TOWN_RADIO);
    let servers: Vec<Server> =
        (1..=3).map(|n| Server::start(&format!("s-{n}"))).collect::<Result<_, String>>()?;
    let entries = (0..3).map(|n| entry(&servers[n], 4 * n as u32)).collect();
    let (listen, _name_service) = start_single(root, List { number: 1, entries })?;
    let viewer = Viewer::connect("viewers", listen)?;
    let recording = Wish { class: "signed-recordings", wait_ms: 5_000, ..wish(0, 0xf, 0, 12) };
    for id in 0xf0..0xf0 + SEATS {
        viewer.send_setup(&Wish { id, ..recording })?;
        expect_200(&viewer, id)?;
    }
    let flood = Arc::new(Flood::default());
    let clients = if trouble { CLIENTS } else { 0 };
    record::line("case", &format!("{clients} clients with {REQUESTS_AT_ONCE} requests at once each"));
    for client in 1..=clients {
        let (flood, wish) = (flood.clone(), Wish { ..recording });
        std::thread::spawn(move || {
            crate::viewer::flood(listen, client << 40, REQUESTS_AT_ONCE, &wish, &flood);
        });
    }
    let limit_kb = site::site().memory_mb * 1_024;
    let until = record::now() + LENGTH_MS;
    let (mut memory_kb, mut next) = (0, 0xf000);
    while record::now() < until && memory_kb <= limit_kb {
        viewer.send_setup(&wish(next, 0x100 + next % 7, 0, 12))?;
        expect_200(&viewer, next)?;
        for server in &servers {
            let _ = server.end_session(next);
        }
        memory_kb = process::memory_kb().ok_or("the node has ended")?;
        if next % 4 == 0 {
            let (refused, other) =
                (flood.refused.load(Ordering::Relaxed), flood.other.load(Ordering::Relaxed));
            let text = format!(
                "memory of n1: {memory_kb} kB; clients: {refused} refused with 503, {other} otherwise"
            );
            record::line("platform", &text);
        }
        next += 1;
        pause(500);
    }
    flood.stopped.store(true, Ordering::Relaxed);
    if flood.other.load(Ordering::Relaxed) > 0 {
        return Err("a request for the recording was not refused".into());
    }
    if memory_kb > limit_kb {
        process::kill_first();
        record::line("platform", &format!("n1 uses {memory_kb} kB of {limit_kb} and is killed"));
        return Ok(Some(format!("over its limit on memory: {memory_kb} of {limit_kb} kB after {:.0} s; killed with {SEATS} sessions", record::now() / 1_000.0)));
    }
    process::collect_logs(&["n1"])?;
    Ok(None)
}

/// Four front nodes and three servers. The one connection of node n1 to a server where a session stands is idle, and
/// the server forgets it. The session then comes to its end.
fn forgotten_connection(root: &Path, trouble: bool) -> Verdict {
    const NODES: usize = 4;
    let network = PeerNetwork::start(NODES)?;
    let mut nodes: Vec<(SocketAddr, Vec<Server>)> = Vec::new();
    for number in 0..NODES {
        let servers: Vec<Server> = (1..=3)
            .map(|n| Server::start_for(&format!("s-{n}"), &format!("for n{}", number + 1)))
            .collect::<Result<_, String>>()?;
        let list = List { number: 1, entries: (0..3).map(|n| entry(&servers[n], n as u32)).collect() };
        let known = list.known();
        let name_service = NameService::start(list)?;
        let configuration = NodeConfiguration {
            name: format!("n{}", number + 1),
            number,
            listen: process::free_tcp_address(),
            name_service: name_service.address,
            peers: Some((network.listen[number], network.senders.clone(), network.all)),
            front_count: NODES,
            known,
        };
        process::start_node(root, &configuration)?;
        nodes.push((configuration.listen, servers));
    }
    // Viewers of the other nodes: a new session every 400 ms, each for 5 s.
    for (number, (listen, servers)) in nodes.iter().enumerate().skip(1) {
        let (viewer, servers) =
            (Viewer::connect(&format!("viewers n{}", number + 1), *listen)?, servers.clone());
        std::thread::spawn(move || {
            pause(130 * number as u64);
            for n in 0.. {
                let id = (number as u64) << 32 | n;
                if viewer.send_setup(&wish(id, 0x100 + n % 5, 0, 3)).is_err() {
                    return;
                }
                let servers = servers.clone();
                std::thread::spawn(move || {
                    pause(5_000);
                    for server in &servers {
                        let _ = server.end_session(id);
                    }
                });
                pause(400);
            }
        });
    }
    pause(2_000);
    let (listen, servers) = &nodes[0];
    let viewer = Viewer::connect("viewer n1", *listen)?;
    viewer.send_setup(&wish(0xa1, 0xa, 0, 1))?;
    expect_200(&viewer, 0xa1)?;
    let server = &servers[0];
    server.session(0xa1).ok_or("the session doesn't stand where its title is")?;
    pause(10_000);
    if trouble {
        server.forget_connections();
    }
    pause(2_000);
    let ended_at = server.end_session(0xa1).ok_or("the session was over too early")?;
    let released_at = viewer.release(0xa1, RELEASE_LIMIT_MS as u64 + 2_000);
    process::collect_logs(&["n1", "n2", "n3", "n4"])?;
    Ok(released_in_time("session a1", ended_at, released_at))
}

/// One front node, one server with two connections. On the second one an answer doesn't come, and nothing more comes on
/// it. A session whose set-up went over that connection comes to its end, while the first one has traffic.
fn lost_answer(root: &Path, trouble: bool) -> Verdict {
    let servers = [Server::start("s-1")?, Server::start("s-2")?];
    let list = List { number: 1, entries: vec![entry(&servers[0], 0), entry(&servers[1], 1)] };
    let (listen, _name_service) = start_single(root, list)?;
    let viewer = Viewer::connect("viewers", listen)?;
    let server = &servers[0];
    // Two set-ups at once: the second one gets a connection of its own.
    server.delay(0xb1, 150);
    viewer.send_setup(&wish(0xb1, 0xb, 0, 1))?;
    pause(50);
    viewer.send_setup(&wish(0xb2, 0xb, 0, 1))?;
    expect_200(&viewer, 0xb1)?;
    expect_200(&viewer, 0xb2)?;
    if server.session(0xb1) == server.session(0xb2) {
        return Err("both sessions stand on one connection".into());
    }
    pause(1_000);
    // Once more two at once; the answer to the second one is lost.
    server.delay(0xb3, 150);
    if trouble {
        server.lose_answer(0xb4);
    }
    viewer.send_setup(&wish(0xb3, 0xb, 0, 1))?;
    pause(50);
    viewer.send_setup(&wish(0xb4, 0xb, 0, 1))?;
    expect_200(&viewer, 0xb3)?;
    viewer.answer(0xb4, 3_200).ok_or("the set-up of b4 got no answer")?;
    // Sessions one after the other from now on.
    let mut ended_at = None;
    for n in 0..16 {
        let id = 0xb10 + n;
        viewer.send_setup(&wish(id, 0xb, 0, 1))?;
        expect_200(&viewer, id)?;
        let _ = server.end_session(id);
        if n == 3 {
            ended_at = server.end_session(0xb2);
        }
        pause(800);
    }
    let ended_at = ended_at.ok_or("the session was over too early")?;
    let released_at = viewer.release(0xb2, 200);
    process::collect_logs(&["n1"])?;
    Ok(released_in_time("session b2", ended_at, released_at))
}

/// One front node and two servers. The node is told that one of them drains; later the name service answers with an older
/// list for 6 s.
fn older_list(root: &Path, trouble: bool) -> Verdict {
    let servers = [Server::start("s-1")?, Server::start("s-2")?];
    let before = List { number: 1, entries: vec![entry(&servers[0], 0), entry(&servers[1], 1)] };
    let mut after = List { number: 2, ..before.clone() };
    after.entries[0].draining = true;
    let (listen, name_service) = start_single(root, before.clone())?;
    let viewer = Viewer::connect("viewers", listen)?;
    let ask = |from: u64, count: u64| -> Result<(), String> {
        for id in from..from + count {
            viewer.send_setup(&wish(id, 0xc, 0, 2))?;
            expect_200(&viewer, id)?;
            for server in &servers {
                let _ = server.end_session(id);
            }
            pause(100);
        }
        Ok(())
    };
    ask(0xc000, 10)?;
    name_service.set(after);
    pause(600);
    let told_at = name_service.told_at(2).ok_or("the event was not asked for")?;
    ask(0xc100, 20)?;
    if trouble {
        name_service.answer_with_older(Some(before));
    }
    let until = record::now() + 6_000.0;
    let mut next = 0xc200;
    while record::now() < until {
        ask(next, 1)?;
        next += 1;
    }
    name_service.answer_with_older(None);
    ask(0xcf00, 10)?;
    process::collect_logs(&["n1"])?;
    let late = servers[0].setups().into_iter().filter(|(at, ..)| at - told_at > DRAIN_LIMIT_MS);
    let late: Vec<f64> = late.map(|(at, ..)| at - told_at).collect();
    Ok((!late.is_empty()).then(|| {
        format!(
            "{} SETUPs to the draining server, {:.0} to {:.0} ms after it was told",
            late.len(),
            late[0],
            late[late.len() - 1]
        )
    }))
}

/// One front node. The machine of a server with sessions vanishes; the server leaves the list, and a new server with a new
/// id gets its address.
fn reused_address(root: &Path, trouble: bool) -> Verdict {
    site::set(&site::TRZNICE_BRNO);
    let old = Server::start("s-1")?;
    let other = Server::start("s-2")?;
    let list = List { number: 1, entries: vec![entry(&old, 0), entry(&other, 1)] };
    let (listen, name_service) = start_single(root, list)?;
    let viewer = Viewer::connect("viewers", listen)?;
    pause(1_000);
    // Two at once: each has a connection of its own.
    old.delay(0xd1, 150);
    viewer.send_setup(&wish(0xd1, 0xd, 0, 1))?;
    pause(50);
    viewer.send_setup(&wish(0xd2, 0xd, 0, 1))?;
    expect_200(&viewer, 0xd1)?;
    expect_200(&viewer, 0xd2)?;
    pause(3_000);
    // The last word of the server before its end.
    viewer.send_setup(&wish(0xd3, 0xd, 0, 1))?;
    expect_200(&viewer, 0xd3)?;
    let sessions = [0xd1, 0xd2, 0xd3];
    let ended_at = if trouble {
        old.vanish()
    } else {
        let ends: Option<Vec<f64>> = sessions.iter().map(|id| old.end_session(*id)).collect();
        let ends = ends.ok_or("a session was over too early")?;
        pause(200);
        old.shut_down();
        ends[0]
    };
    // The list tells of a silent end 4.2 s after it at the earliest.
    pause(4_300);
    name_service.set(List { number: 2, entries: vec![entry(&other, 1)] });
    pause(100);
    if old.place.unserved_count() > 0 {
        return Err("the node connected while nobody had the address".into());
    }
    let new = Server::start_at("s-9", &old.place);
    let started_ms = record::unix_ms() as u64;
    pause(400);
    let new_entry = Entry { started_ms, ..entry(&new, 0) };
    name_service.set(List { number: 3, entries: vec![entry(&other, 1), new_entry] });
    let released = sessions.map(|id| {
        let left = ended_at + RELEASE_LIMIT_MS + 2_000.0 - record::now();
        (id, viewer.release(id, left.max(0.0) as u64))
    });
    process::collect_logs(&["n1"])?;
    let broken: Vec<String> = released
        .into_iter()
        .filter_map(|(id, at)| released_in_time(&format!("session {id:x}"), ended_at, at))
        .collect();
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// One front node, one server with two connections. On the second one an answer stops short, and nothing more comes on
/// it; the connection that the node opens in its place comes up too late for the connect time-out.
fn late_reconnect(root: &Path, trouble: bool) -> Verdict {
    let servers = [Server::start("s-1")?, Server::start("s-2")?];
    let list = List { number: 1, entries: vec![entry(&servers[0], 0), entry(&servers[1], 1)] };
    let (listen, _name_service) = start_single(root, list)?;
    let viewer = Viewer::connect("viewers", listen)?;
    let server = &servers[0];
    server.delay(0xe1, 150);
    viewer.send_setup(&wish(0xe1, 0xe, 0, 1))?;
    pause(50);
    viewer.send_setup(&wish(0xe2, 0xe, 0, 1))?;
    expect_200(&viewer, 0xe1)?;
    expect_200(&viewer, 0xe2)?;
    pause(1_000);
    server.delay(0xe3, 150);
    if trouble {
        server.cut_answer(0xe4);
    }
    viewer.send_setup(&wish(0xe3, 0xe, 0, 1))?;
    pause(50);
    viewer.send_setup(&wish(0xe4, 0xe, 0, 1))?;
    expect_200(&viewer, 0xe3)?;
    pause(900);
    let ended_at = server.end_session(0xe2).ok_or("the session was over too early")?;
    pause(400);
    if trouble {
        server.place.hold_new_connections();
    }
    pause(1_300);
    if trouble {
        server.place.resume();
    }
    for n in 0..11 {
        let id = 0xe10 + n;
        viewer.send_setup(&wish(id, 0xe, 0, 1))?;
        expect_200(&viewer, id)?;
        let _ = server.end_session(id);
        pause(800);
    }
    let released_at = viewer.release(0xe2, 200);
    process::collect_logs(&["n1"])?;
    Ok(released_in_time("session e2", ended_at, released_at))
}

/// One front node with 1,500 sessions and twelve servers. Clients ask for a title that no server holds by hundreds at
/// once, and again as soon as they are turned away. Meanwhile one server after the other drains.
fn drain_under_flood(root: &Path, trouble: bool) -> Verdict {
    const CLIENTS: u64 = 80;
    const REQUESTS_AT_ONCE: u64 = 100;
    let servers: Vec<Server> =
        (1..=12).map(|n| Server::start(&format!("s-{n}"))).collect::<Result<_, String>>()?;
    let entries = servers.iter().zip(0..).map(|(server, cell)| entry(server, cell % 11)).collect();
    let mut list = List { number: 1, entries };
    let (listen, name_service) = start_single(root, list.clone())?;
    let viewer = Viewer::connect("viewers", listen)?;
    for n in 0..1_500 {
        viewer.hand_over(&wish(0x9000 + n, n % 40, 0, 12), &servers[n as usize % 12].name)?;
    }
    pause(2_000);
    let flood = Arc::new(Flood::default());
    for client in 1..=if trouble { CLIENTS } else { 0 } {
        let (flood, wish) = (flood.clone(), Wish { wait_ms: 1_000, ..wish(0, 0xf, 11, 1) });
        std::thread::spawn(move || {
            crate::viewer::flood(listen, client << 40, REQUESTS_AT_ONCE, &wish, &flood);
        });
    }
    let mut late: Vec<f64> = Vec::new();
    for round in 0..5 {
        let drains = &servers[2 * round];
        list.entries[2 * round].draining = true;
        list.number += 1;
        for n in 0..120 {
            if n == 25 {
                name_service.set(list.clone());
            }
            viewer.send_setup(&wish(0x10000 + 1_000 * round as u64 + n, 0xc, 2 * round as u32, 2))?;
            pause(20);
        }
        let told_at = name_service.told_at(list.number).ok_or("the event was not asked for")?;
        let after = drains.setups().into_iter().map(|(at, ..)| at - told_at);
        late.extend(after.filter(|ms| *ms > DRAIN_LIMIT_MS));
    }
    let refused = flood.refused.load(Ordering::Relaxed);
    record::line("case", &format!("the clients were refused {refused} times"));
    process::collect_logs(&["n1"])?;
    let latest = late.iter().copied().fold(0.0, f64::max);
    Ok((!late.is_empty()).then(|| {
        format!("{} SETUPs to draining servers, up to {latest:.0} ms after each was told", late.len())
    }))
}
