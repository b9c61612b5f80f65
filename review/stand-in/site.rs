//! Settings of three deployments, with figures within the ranges of their site files.
use std::sync::OnceLock;

pub struct Site {
    pub zone: &'static str,
    pub kind: &'static str,
    pub class: &'static str,
    /// The limit on a node's memory.
    pub memory_mb: u64,
    settings: &'static str,
}

static SITE: OnceLock<&'static Site> = OnceLock::new();

pub fn set(site: &'static Site) {
    let _ = SITE.set(site);
}

pub fn site() -> &'static Site {
    SITE.get().copied().unwrap_or(&ZVOLEN_NOTICES)
}

impl Site {
    /// The settings of a front node as JSON.
    pub fn settings(&self, front_count: usize, number: usize, peer_messages: bool) -> String {
        self.settings
            .replace("FRONT_COUNT", &front_count.to_string())
            .replace("MY_NUMBER", &number.to_string())
            .replace("PEER_MESSAGES", &peer_messages.to_string())
    }
}

pub static ZVOLEN_NOTICES: Site = Site {
    zone: "depot-a",
    kind: "box-3c",
    class: "board-loop",
    memory_mb: 32,
    settings: r#"{"balancers":FRONT_COUNT,"my_number":MY_NUMBER,"layer":0,"zone":0,"classes":[
 {"aim":800.0,"group":"all","hard_limit":3000.0,"late_worth":0.0,"name":"board-loop","repeat":"repeatable","stream":true,"window":5000.0,"worth":1.0},
 {"aim":1000.0,"group":"all","hard_limit":3000.0,"late_worth":0.0,"name":"council-notice","repeat":"repeatable","stream":true,"window":5000.0,"worth":3.0}],
 "clients":{"marks_retry":false},"family":"streams",
 "family_info":{"class_floor":[0,0],"class_scale":[1.0,1.2],"highest_rung":[4,4],"join":1.0,"kind_streams":[35,24],
  "level_kb":[190.0,334.0,589.0,1036.0,1824.0],"level_worth":[0.22,0.44,0.64,0.82,1.0],"licence_cap":[0,0],"link_unit_kb":3037.0,
  "links_kb":80631.0,"live":[false,false],"places":12,"racks":2,"refuses_from":0.0,"reports_every":0.0,"see":778.493,"stall_cost":6.0,
  "switch_cost_s":0.44,"uplink_kb":48379.0},
 "kinds":["box-3c","box-2c"],"zones":["depot-a","depot-b"],"realms":[],"registry_mode":"push",
 "reporting":{"columns":["inflight","x0"],"via":"pull"},
 "limits":{"attempts_cap":3,"cancelling":true,"connect_timeout":250.0,"keepalive":30000.0,"max_retry_after":1000.0,
  "parallel_tries":false,"peer_messages":PEER_MESSAGES,"probes":true,"retry_after":true,"streams_per_conn":1048576},
 "safety":{"cold":12000.0,"cold_from":0.4,"drain_grace":250.0,"grace_to_answer":40.0,"tip_after":1000.0,"tip_multiple":2.0},
 "tariffs":{"cross_zone":0.01,"late_fail":0.05,"moves":0.05,"peer":0.014,"probe":0.01},"tick":10.0,"tiers":["notice-media"],
 "weights":"rough","worth_by":"work"}"#,
};

pub static TRZNICE_BRNO: Site = Site {
    zone: "hala-a",
    kind: "small-2c",
    class: "stall-video",
    memory_mb: 32,
    settings: r#"{"balancers":FRONT_COUNT,"my_number":MY_NUMBER,"layer":0,"zone":0,"classes":[
 {"aim":800.0,"group":"all","hard_limit":4000.0,"late_worth":0.0,"name":"stall-video","repeat":"repeatable","stream":true,"window":5000.0,"worth":1.0}],
 "clients":{"marks_retry":false},"family":"streams",
 "family_info":{"class_floor":[0],"class_scale":[1.0],"highest_rung":[3],"join":1.0,"kind_streams":[24],
  "level_kb":[190.0,334.0,589.0,1736.0],"level_worth":[0.2,0.44,0.64,1.0],"licence_cap":[0],"link_unit_kb":3037.0,
  "links_kb":80631.0,"live":[false],"places":12,"racks":2,"refuses_from":0.0,"reports_every":1000.0,"see":900.0,"stall_cost":6.0,
  "switch_cost_s":0.44,"uplink_kb":48379.0},
 "kinds":["small-2c"],"zones":["hala-a","hala-b"],"realms":[],"registry_mode":"push",
 "reporting":{"columns":["util","x1"],"via":"piggyback"},
 "limits":{"attempts_cap":3,"cancelling":true,"connect_timeout":250.0,"keepalive":30000.0,"max_retry_after":500.0,
  "parallel_tries":false,"peer_messages":PEER_MESSAGES,"probes":true,"retry_after":true,"streams_per_conn":1048576},
 "safety":{"cold":12000.0,"cold_from":0.4,"drain_grace":1000.0,"grace_to_answer":40.0,"tip_after":2000.0,"tip_multiple":2.5},
 "tariffs":{"cross_zone":0.02,"late_fail":0.063,"moves":0.1,"probe":0.01},"tick":10.0,"tiers":["video-servers"],
 "weights":"rough","worth_by":"request"}"#,
};

pub static ZVOLEN_TOWN_RADIO: Site = Site {
    zone: "sokolska-hall",
    kind: "two-core",
    class: "radio-replays",
    memory_mb: 32,
    settings: r#"{"balancers":FRONT_COUNT,"my_number":MY_NUMBER,"layer":0,"zone":0,"classes":[
 {"aim":1500.0,"group":"all","hard_limit":5000.0,"late_worth":0.0,"name":"signed-recordings","repeat":"repeatable","stream":true,"window":5000.0,"worth":2.0},
 {"aim":1000.0,"group":"all","hard_limit":5000.0,"late_worth":0.0,"name":"radio-replays","repeat":"repeatable","stream":true,"window":5000.0,"worth":1.0}],
 "clients":{"marks_retry":false},"family":"streams",
 "family_info":{"class_floor":[1,0],"class_scale":[1.4,1.0],"highest_rung":[3,3],"join":1.0,"kind_streams":[24],
  "level_kb":[240.0,500.0,1040.0,2400.0],"level_worth":[0.22,0.5,0.75,1.0],"licence_cap":[6,0],"link_unit_kb":7600.0,
  "links_kb":121600.0,"live":[false,false],"places":12,"racks":3,"refuses_from":1.0,"reports_every":0.0,"see":900.0,"stall_cost":7.0,
  "switch_cost_s":0.6,"uplink_kb":27000.0},
 "kinds":["two-core"],"zones":["sokolska-hall"],"realms":[],"registry_mode":"push",
 "reporting":{"columns":["inflight","x0","x1"],"via":"pull"},
 "limits":{"attempts_cap":4,"cancelling":true,"connect_timeout":250.0,"keepalive":15000.0,"max_retry_after":500.0,
  "parallel_tries":false,"peer_messages":PEER_MESSAGES,"probes":true,"retry_after":true,"streams_per_conn":1048576},
 "safety":{"cold":12000.0,"cold_from":0.4,"drain_grace":1000.0,"grace_to_answer":40.0,"tip_after":1000.0,"tip_multiple":2.5,
  "extra_ratio":0.2,"look_back":10000.0,"min_extra":5},
 "tariffs":{"cross_zone":0.0,"late_fail":0.052,"moves":0.05,"probe":0.01},"tick":10.0,"tiers":["rozhlas-media"],
 "weights":"silent","worth_by":"work"}"#,
};
