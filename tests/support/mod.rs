//! Small states for tests: four servers that hold all titles, on two racks, and one service group.
use walnutline::api::{Holders, Request};
use walnutline::fleet::{ListEntry, Measurement, Server, ServerState};
use walnutline::ids::*;
use walnutline::sessions::{Session, SessionTable};
use walnutline::settings::{
    ColdStartSettings, ListDelivery, PolicySettings, RepeatPolicy, ReportColumn, RetryBudget, ServiceGroup,
    WeightKind,
};
use walnutline::state::FrontState;

/// The time at which the tests' requests arrive.
pub const NOW: Ms = 100_000.0;

/// Settings of two fronts, with three rungs and no optional limits.
pub fn settings() -> PolicySettings {
    PolicySettings {
        front_count: 2,
        service_groups: vec![ServiceGroup {
            start_target: 1_000.0,
            utility: 1.0,
            repeat: RepeatPolicy::Safe,
            key_window: 5_000.0,
            lowest_rung: 0,
            highest_rung: 2,
            rate_scale: 1.0,
            max_sessions_per_title: 0,
        }],
        rung_kb_per_s: vec![100.0, 200.0, 400.0],
        rung_utility: vec![0.3, 0.6, 1.0],
        cell_count: 4,
        rack_count: 2,
        max_streams_by_kind: vec![20.0],
        weight_kind: WeightKind::Capacity,
        link_kb_per_s_per_weight: 2_000.0,
        uplink_kb_per_s: 4_000.0,
        measurement_delay: 500.0,
        rung_change_cost: 0.0,
        list_delivery: ListDelivery::Pushed,
        drain_grace: 250.0,
        report_columns: vec![ReportColumn::Streams, ReportColumn::Link],
        reports_by_probe: true,
        probes_allowed: true,
        probe_cost: 0.0,
        peer_messages_allowed: false,
        max_retry_after: Some(500.0),
        max_setups: 4,
        retry_budget: None,
        cold_start: None,
    }
}

/// A server with half of its link in use, by a measurement at `NOW`.
pub fn server(id: u32) -> Server {
    let entry = ListEntry {
        id: ServerId(id),
        zone: ZoneIndex(0),
        kind: KindIndex(0),
        cell: CellId(id),
        state: ServerState::Ready,
        weight: 1.0,
        started_at: None,
    };
    let link_use = Some(Measurement { value: 0.5, measured_at: NOW, own_load: 0.0 });
    Server {
        link_use,
        streams: Some(Measurement { value: 5.0, measured_at: NOW, own_load: 0.0 }),
        ..Server::new(entry)
    }
}

/// A front that started long ago and has measured a use of 0.5 on every link.
pub fn front(settings: PolicySettings) -> FrontState {
    let mut front = FrontState::new(settings, 7, 0.0);
    for id in 0..4 {
        front.fleet.servers.insert(ServerId(id), server(id));
    }
    front
}

/// A request for the title that all servers hold.
pub fn request(time_left: Ms) -> Request {
    Request {
        group: GroupIndex(0),
        title: TitleId(9),
        holders: cells(0, 4),
        rates_kb_per_s: None,
        highest_rung: 2,
        time_left,
    }
}

/// A request that arrived at `NOW`.
pub fn session() -> Session {
    Session {
        group: GroupIndex(0),
        title: TitleId(9),
        holders: cells(0, 4),
        rates_kb_per_s: None,
        highest_rung: 2,
        arrived_at: NOW,
        viewer_deadline: NOW + 3_000.0,
        rung: 0,
        server: None,
        playing: false,
        answered: false,
        setup_count: 0,
        tried_servers: Vec::new(),
        errored_servers: Vec::new(),
        probed_servers: Vec::new(),
        awaited_probe: None,
        setup_sent_at: NOW,
        rung_set_at: Ms::NEG_INFINITY,
        previous_kb_per_s: 0.0,
        rate_changed_at: Ms::NEG_INFINITY,
        first_uncertain_setup: None,
        held_until: None,
    }
}

/// The servers in consecutive cells as holders.
pub fn cells(first: u32, count: u32) -> Holders {
    Holders::Cells { first: CellId(first), count }
}

/// A session that plays at a server.
pub fn playing(server: u32, rung: u8, arrived_at: Ms) -> Session {
    Session {
        server: Some(ServerId(server)),
        playing: true,
        answered: true,
        rung,
        arrived_at,
        setup_count: 1,
        ..session()
    }
}

/// A table of these sessions with ids from 1.
pub fn session_table(sessions: impl IntoIterator<Item = Session>) -> SessionTable {
    SessionTable { sessions: (1..).map(SessionId).zip(sessions).collect() }
}

pub fn cold_start() -> ColdStartSettings {
    ColdStartSettings {
        duration: 10_000.0,
        initial_share: 0.5,
        rate_multiple: 3.0,
        window: 1_000.0,
        connect_timeout: 0.0,
    }
}

pub fn retry_budget() -> RetryBudget {
    RetryBudget { free_retries: 1.0, retries_per_request: 0.2, window: 10_000.0 }
}
