//! The cases. Each returns what was seen: `Ok` if the rule held, `Err` if it was broken.
use crate::world::*;

type Verdict = Result<String, String>;

pub fn play(name: &str, trouble: bool, record: &Record) -> Verdict {
    match name {
        "new-zone" => new_zone(trouble, record),
        "lost-answer" => lost_answer(trouble, record),
        "busy-dead-connection" => busy_dead_connection(trouble, record),
        "short-length" => short_length(trouble, record),
        "cut-off" => cut_off(trouble, record),
        _ => cannot_run(&format!("no case {name:?}")),
    }
}

/// What differs between the deployments, of the settings that these cases need.
struct Deployment {
    classes: &'static str,
    family: &'static str,
    attempts: u32,
    keepalive: u64,
    probes: bool,
    reporting: &'static str,
    safety: &'static str,
}

/// Like `zvolen-notices`.
const NOTICES: Deployment = Deployment {
    classes: r#"{"aim":800.0,"hard_limit":3000.0,"name":"board-loop","repeat":"repeatable","stream":true,"window":5000.0,"worth":1.0,"group":"all"},
   {"aim":1000.0,"hard_limit":3000.0,"name":"council-notice","repeat":"repeatable","stream":true,"window":5000.0,"worth":3.0,"group":"all"}"#,
    family: r#""class_floor":[0,0],"class_scale":[1.0,1.2],"highest_rung":[4,4],"kind_streams":[35,24],"licence_cap":[0,0],"see":778.493"#,
    attempts: 3,
    keepalive: 30_000,
    probes: true,
    reporting: r#"{"columns":["inflight","x0"],"via":"pull"}"#,
    safety: r#"{"cold":12000.0,"cold_from":0.4,"drain_grace":250.0,"tip_after":1000.0,"tip_multiple":2.0,"grace_to_answer":40.0}"#,
};

/// Like `lift-panels`, where front nodes may not probe.
const LIFT_PANELS: Deployment = Deployment {
    classes: r#"{"aim":300.0,"hard_limit":600.0,"name":"lift","repeat":"repeatable","stream":true,"window":5000.0,"worth":1.0,"group":"all"},
   {"aim":2000.0,"hard_limit":20000.0,"name":"lifts","repeat":"repeatable","stream":true,"window":5000.0,"worth":3.0,"group":"all"}"#,
    family: r#""class_floor":[0,0],"class_scale":[0.7,1.0],"highest_rung":[4,4],"kind_streams":[30,30],"licence_cap":[0,0],"see":900.0,"reports_every":3000.0"#,
    attempts: 2,
    keepalive: 30_000,
    probes: false,
    reporting: r#"{"columns":["util","x1"],"via":"piggyback"}"#,
    safety: r#"{"cold":8000.0,"cold_from":0.5,"drain_grace":400.0,"tip_after":1500.0,"tip_multiple":2.5,"grace_to_answer":40.0}"#,
};

/// Like `zvolen-town-radio`, where one front may hold four sessions of one title of `signed-recordings`.
const TOWN_RADIO: Deployment = Deployment {
    classes: r#"{"aim":1500.0,"hard_limit":5000.0,"name":"signed-recordings","repeat":"repeatable","stream":true,"window":5000.0,"worth":2.0,"group":"all"},
   {"aim":1000.0,"hard_limit":5000.0,"name":"radio-replays","repeat":"repeatable","stream":true,"window":5000.0,"worth":1.0,"group":"all"}"#,
    family: r#""class_floor":[1,0],"class_scale":[1.4,1.0],"highest_rung":[4,4],"kind_streams":[30,30],"licence_cap":[6,0],"see":900.0"#,
    attempts: 4,
    keepalive: 15_000,
    probes: true,
    reporting: r#"{"columns":["inflight","x0","x1"],"via":"pull"}"#,
    safety: r#"{"cold":8000.0,"cold_from":0.5,"drain_grace":1000.0,"tip_after":1000.0,"tip_multiple":2.5,"grace_to_answer":40.0,"min_extra":5.0,"extra_ratio":0.2,"look_back":10000.0}"#,
};

fn configuration(deployment: &Deployment, zones: &str, names: &NameService) -> String {
    let (number, servers) = names.list();
    let instances: Vec<String> = servers
        .iter()
        .map(|s| {
            let state = if s.draining { "Terminating" } else { "Ready" };
            format!(
                r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"{}","cell":{},"lifecycle":"{state}","weight":3,"startedAtMs":{}}}"#,
                s.name, s.address, s.zone, s.kind, s.cell, s.started
            )
        })
        .collect();
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},
"names":"{}",
 "known":{{"no":{number},"items":[{{"no":{number},"roster":{{"generation":1,"reset":true,"instances":[{}]}}}}]}},
 "settings":{{"balancers":2,"classes":[{}],
  "family":"streams","family_info":{{{},"level_kb":[190.0,334.0,589.0,1036.0,1824.0],"level_worth":[0.22,0.44,0.64,0.82,1.0],
   "link_unit_kb":30370.0,"places":12,"racks":2,"uplink_kb":483790.0,"switch_cost_s":0.44}},
  "kinds":["box"],"zones":[{zones}],"realms":[],"registry_mode":"push",
  "limits":{{"attempts_cap":{},"cancelling":true,"connect_timeout":250.0,"keepalive":{}.0,"max_retry_after":1000.0,"parallel_tries":false,"peer_messages":false,"probes":{},"retry_after":true}},
  "reporting":{},"safety":{}}}}}"#,
        names.address,
        instances.join(",\n   "),
        deployment.classes,
        deployment.family,
        deployment.attempts,
        deployment.keepalive,
        deployment.probes,
        deployment.reporting,
        deployment.safety,
    )
}

/// Servers `s-00000001` and so on, one in each cell from 0.
fn servers(count: usize, answer_delay: u64, record: &Record) -> Vec<Server> {
    (1..=count).map(|n| Server::start(&format!("s-{n:08x}"), record, answer_delay)).collect()
}

fn listed(servers: &[Server], zones: &[&str]) -> Vec<ListedServer> {
    let entry = |(cell, s): (usize, &Server)| ListedServer {
        name: s.name.clone(),
        address: s.address,
        zone: zones[cell % zones.len()].to_owned(),
        kind: "box".into(),
        cell: cell as u32,
        draining: false,
        started: 0,
    };
    servers.iter().enumerate().map(entry).collect()
}

/// A server joins in a zone that the settings don't name; then a new configuration moves the name service, and a server
/// drains. No SETUP may reach it later than the grace after the front node counts as told.
fn new_zone(trouble: bool, record: &Record) -> Verdict {
    let servers = servers(5, 40, record);
    let list = listed(&servers, &["depot-a", "depot-b"]);
    let old = NameService::start(3, list[..4].to_vec(), record);
    let text = configuration(&NOTICES, r#""depot-a","depot-b""#, &old);
    let mut node = Node::start(&text, record);
    let viewers = Viewers::connect(node.address, record);
    let mut next = 0x1000;
    let mut ask = |viewers: &Viewers| {
        next += 1;
        viewers.setup(next, 0x77, "board-loop", 3000, 0, 5)
    };
    for _ in 0..4 {
        ask(&viewers);
        pause(300);
    }
    let joined = ListedServer { zone: "depot-c".into(), ..list[4].clone() };
    let number = old.change(|servers| servers.push(joined));
    if !wait_for(ms(3_000), || old.told_at(number).is_some()) {
        cannot_run("the front node does not ask for the list");
    }
    pause(2_000);
    let (number, entries) = old.list();
    let names = if trouble {
        let new = NameService::start(number, entries, record);
        // The same document, but for the address of the name service and what is known by now.
        node.reconfigure(&configuration(&NOTICES, r#""depot-a","depot-b""#, &new));
        old.set_answering(false);
        record.line("the old name service is silent");
        new
    } else {
        old
    };
    let hup_at = record.now();
    for _ in 0..5 {
        ask(&viewers);
        pause(1_000);
    }
    let drained = &servers[0];
    let number = names.change(|servers| servers[0].draining = true);
    let drained_at = record.now();
    record.line(&format!("{} drains, list {number}", drained.name));
    // Told at the latest 1.5 s after it happened, and 4 s after SIGHUP.
    wait_for(ms(1_500), || names.told_at(number).is_some());
    let told = names.told_at(number).unwrap_or((drained_at + 1_500).max(hup_at + 4_000));
    let limit = told + 250 + 50;
    while record.now() < limit + 20 {
        pause(5);
    }
    let mut ids = Vec::new();
    for _ in 0..20 {
        ids.push(ask(&viewers));
        pause(200);
    }
    pause(1_000);
    if !node.is_running() {
        return Err("the front node ended".into());
    }
    if ids.iter().any(|id| viewers.answer(id).is_none()) {
        cannot_run("a request was not answered");
    }
    for line in node.log().lines().filter(|l| l.contains("configuration")) {
        record.line(&format!("log of the front node: {line}"));
    }
    let late = drained.setups_since(limit);
    match late.first() {
        None => Ok(format!("no SETUP reached {} after {limit} ms", drained.name)),
        Some((at, id)) => Err(format!(
            "{} SETUPs reached {} after it drained; told at {told} ms, limit {limit} ms, the first at {at} ms ({id})",
            late.len(),
            drained.name
        )),
    }
}

/// The answer to a set-up gets lost after word of its progress, on one of several connections to a server, which is of
/// no further use then. A session that was accepted on it ends. Its viewer has to be told within 8 s.
fn lost_answer(trouble: bool, record: &Record) -> Verdict {
    let servers = servers(4, 150, record);
    servers.iter().for_each(|s| s.note_link_use_every(3_000));
    servers.iter().for_each(|s| s.close_idle_after(LIFT_PANELS.keepalive));
    let names = NameService::start(3, listed(&servers, &["tower-1"]), record);
    let node = Node::start(&configuration(&LIFT_PANELS, r#""tower-1""#, &names), record);
    let viewers = Viewers::connect(node.address, record);
    let mut next = 0x2000;
    let mut ask = || {
        next += 1;
        viewers.setup(next, 0x99, "lifts", 20_000, 0, 4)
    };
    // Some sessions at once, so that the servers get more than one connection.
    let first: Vec<String> = (0..12).map(|_| ask()).collect();
    if !wait_for(ms(5_000), || first.iter().all(|id| viewers.answer(id).is_some())) {
        cannot_run("a request was not answered");
    }
    let began_at = record.now();
    let with_sessions = |s: &Server| -> Vec<u64> {
        s.open_connections().into_iter().filter(|c| !sessions_on(s, *c).is_empty()).collect()
    };
    let Some(server) = servers.iter().find(|s| with_sessions(s).len() >= 2) else {
        cannot_run("no server has two connections with sessions")
    };
    let conn = with_sessions(server)[0];
    let session = sessions_on(server, conn).remove(0);
    record.line(&format!("{} connection {conn} brought the session {session}", server.name));
    pause(1_000);
    if trouble {
        server.lose_next_answer_on(conn, true);
    }
    for _ in 0..30 {
        ask();
        pause(500);
        if !trouble || server.answer_lost_at().is_some() {
            break;
        }
    }
    if trouble && server.answer_lost_at().is_none() {
        cannot_run("no SETUP came on the connection");
    }
    // A session lasts 21 s at least.
    while record.now() < began_at + 21_050 {
        pause(5);
    }
    let ended_at = record.now();
    server.end_session(&session, 16);
    wait_for(ms(8_050 + 6_000), || viewers.release(&session).is_some());
    drop(node);
    match viewers.release(&session) {
        Some(event) if event.at <= ended_at + 8_050 => Ok(format!("released {} ms after its end", event.at - ended_at)),
        Some(event) => Err(format!("session {session} was released only {} ms after its end", event.at - ended_at)),
        None => Err(format!("session {session} ended at {ended_at} ms and was never released")),
    }
}

/// A fifth of the servers is silent for 6 s. The front may not hold more sessions of one title than its seats.
fn cut_off(trouble: bool, record: &Record) -> Verdict {
    let seats = 6;
    let servers = servers(5, 40, record);
    let names = NameService::start(3, listed(&servers, &["sokolska-hall"]), record);
    let node = Node::start(&configuration(&TOWN_RADIO, r#""sokolska-hall""#, &names), record);
    let viewers = Viewers::connect(node.address, record);
    let title = 0xaa;
    let held = || -> usize {
        let of_title = |s: &Server| {
            let standing = s.sessions().into_values();
            standing.filter(|s| s.title == format!("{title:016x}") && s.class == "signed-recordings").count()
        };
        servers.iter().map(of_title).sum()
    };
    let mut next = 0x3000;
    let mut ask = || {
        next += 1;
        let id = viewers.setup(next, title, "signed-recordings", 5000, 0, 3);
        wait_for(ms(2_000), || viewers.answer(&id).is_some());
        id
    };
    for _ in 0..8 {
        ask();
        pause(300);
    }
    record.line(&format!("sessions of the title: {}", held()));
    if held() != seats {
        cannot_run("the seats were not taken");
    }
    pause(500);
    let of_title = |s: &Server| s.sessions().values().filter(|s| s.title == format!("{title:016x}")).count();
    let silent = servers.iter().max_by_key(|s| of_title(s)).unwrap();
    if trouble {
        silent.cut_off();
    }
    let mut most = held();
    let start = record.now();
    let mut restored = false;
    // A viewer asks for the title every second.
    while record.now() < start + 12_000 {
        if trouble && !restored && record.now() >= start + 5_800 {
            silent.cut_ends();
            restored = true;
        }
        if (record.now() - start) % 1_000 < 50 {
            ask();
        }
        pause(20);
        most = most.max(held());
    }
    let told: Vec<Event> = viewers.events().into_iter().filter(|e| e.status == 0).collect();
    record.line(&format!("most sessions of the title at once: {most}; releases told to viewers: {}", told.len()));
    drop(node);
    if most > seats {
        Err(format!("{most} sessions of one title stood at once, {seats} seats; {} viewers were told of an end that was none", told.len()))
    } else {
        Ok(format!("at most {most} sessions of the title, {seats} seats"))
    }
}

/// The lengths of some good answers don't fit. No viewer may be served with a description that no server made for it.
fn short_length(trouble: bool, record: &Record) -> Verdict {
    let servers = servers(4, 40, record);
    let names = NameService::start(3, listed(&servers, &["depot-a", "depot-b"]), record);
    let _node = Node::start(&configuration(&NOTICES, r#""depot-a","depot-b""#, &names), record);
    let viewers = Viewers::connect(_node.address, record);
    let mut ids = Vec::new();
    for n in 0..24 {
        // One answer in three has a length that doesn't fit.
        let short_by = if trouble && n % 3 == 2 { 1 + n as usize % 2 } else { 0 };
        servers.iter().for_each(|s| s.shorten_lengths_by(short_by));
        let id = viewers.setup(0x4000 + n, 0x55, "council-notice", 3000, 0, 4);
        wait_for(ms(3_100), || viewers.answer(&id).is_some());
        ids.push(id);
    }
    let mut wrong = Vec::new();
    for id in &ids {
        let Some(answer) = viewers.answer(id) else { return Err(format!("{id} was not answered")) };
        let made: Vec<String> = servers.iter().filter_map(|s| s.description(id)).collect();
        if answer.status == 200 && !made.contains(&answer.body) {
            record.line(&format!("{id}: served with {:?}, made for it: {made:?}", answer.body));
            wrong.push(id);
        }
    }
    match wrong.len() {
        0 => Ok(format!("{} viewers were served with what a server made for them, or refused", ids.len())),
        n => Err(format!("{n} of {} viewers were served with a description that no server made", ids.len())),
    }
}

/// The sessions of a server that a connection brought, by the time since which they stand.
fn sessions_on(server: &Server, conn: u64) -> Vec<String> {
    let sessions = server.sessions();
    let mut on: Vec<(u64, String)> =
        sessions.into_iter().filter(|(_, s)| s.conn == conn).map(|(id, s)| (s.since, id)).collect();
    on.sort();
    on.into_iter().map(|(_, id)| id).collect()
}

/// The answer to a set-up gets lost, and its connection is of no further use. The server takes it for open, and sends
/// the releases of the sessions that were accepted on it there, as they end one after the other. Each viewer has to be
/// told within 8 s.
fn busy_dead_connection(trouble: bool, record: &Record) -> Verdict {
    let servers = servers(4, 150, record);
    servers.iter().for_each(|s| s.close_idle_after(NOTICES.keepalive));
    let names = NameService::start(3, listed(&servers, &["depot-a", "depot-b"]), record);
    let node = Node::start(&configuration(&NOTICES, r#""depot-a","depot-b""#, &names), record);
    let viewers = Viewers::connect(node.address, record);
    let mut next = 0x5000;
    let mut ask = || {
        next += 1;
        viewers.setup(next, 0x99, "board-loop", 3000, 0, 4)
    };
    // Some sessions at once, so that the servers get more than one connection, then one after the other.
    let mut ids: Vec<String> = (0..12).map(|_| ask()).collect();
    pause(1_500);
    for _ in 0..16 {
        ids.push(ask());
        pause(250);
    }
    if !wait_for(ms(5_000), || ids.iter().all(|id| viewers.answer(id).is_some())) {
        cannot_run("a request was not answered");
    }
    let first_connection = |s: &Server| s.open_connections().into_iter().find(|c| sessions_on(s, *c).len() >= 4);
    let server = servers.iter().find(|s| first_connection(s).is_some() && s.open_connections().len() >= 2);
    let Some(server) = server else { cannot_run("no server has two connections, and four sessions on the first") };
    let conn = first_connection(server).unwrap();
    let sessions = sessions_on(server, conn);
    record.line(&format!("{} connection {conn} brought {} sessions", server.name, sessions.len()));
    if trouble {
        server.lose_next_answer_on(conn, false);
    }
    for _ in 0..30 {
        ask();
        pause(300);
        if !trouble || server.answer_lost_at().is_some() {
            break;
        }
    }
    if trouble && server.answer_lost_at().is_none() {
        cannot_run("no SETUP came on the connection");
    }
    // Two sessions end after some 35 s and less than 60 s: the second at a time at which the server closes no idle
    // connection for 9 s, as the node would open another one in its place.
    let lost_at = record.now();
    let mut ends = Vec::new();
    for (earliest, session) in [(29_000, &sessions[0]), (44_000, &sessions[1])] {
        while record.now() < lost_at + earliest {
            pause(10);
        }
        let closes_one = || server.closes_one_within(NOTICES.keepalive, 9_000);
        if earliest > 30_000 && !wait_for(ms(10_000), || !closes_one()) {
            cannot_run("the server closes idle connections all the time");
        }
        ends.push((record.now(), session.clone()));
        server.end_session(session, 16);
    }
    let last = &ends.last().unwrap().1;
    wait_for(ms(8_050 + 1_000), || viewers.release(last).is_some());
    drop(node);
    let mut late = Vec::new();
    for (at, id) in &ends {
        match viewers.release(id) {
            Some(event) => {
                record.line(&format!("session {id} was released {} ms after its end", event.at - at));
                if event.at > at + 8_050 {
                    late.push(format!("{id} released {} ms after its end", event.at - at));
                }
            }
            None => late.push(format!("{id} ended at {at} ms and was never released")),
        }
    }
    match late.is_empty() {
        true => Ok("each session was released within 8 s of its end".into()),
        false => Err(late.join("; ")),
    }
}
