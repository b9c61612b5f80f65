//! Small states for tests: four servers that hold everything, on two racks, one service group.
use walnutline::fleet::{Listed, Listing, Seen, Server};
use walnutline::front::Front;
use walnutline::hand::{Hand, Sess};
use walnutline::ids::*;
use walnutline::interface::Holders;
use walnutline::terms::{Budget, ColdTerms, Column, Group, ListWay, Repeat, Terms, Weights};

pub const NOW: Ms = 100_000.0;

pub fn terms() -> Terms {
    Terms {
        fronts: 2,
        groups: vec![Group {
            start_target: 1_000.0,
            utility: 1.0,
            repeat: Repeat::Safe,
            window: 5_000.0,
            floor: 0,
            top: 2,
            scale: 1.0,
            seats: 0,
        }],
        rung_kb: vec![100.0, 200.0, 400.0],
        rung_utility: vec![0.3, 0.6, 1.0],
        cells: 4,
        racks: 2,
        kind_streams: vec![20.0],
        weights: Weights::Size,
        link_kb_per_weight: 2_000.0,
        uplink_kb: 4_000.0,
        share_delay: 500.0,
        change_cost: 0.0,
        list: ListWay::Pushed,
        drain_grace: 250.0,
        columns: vec![Column::Streams, Column::Link],
        probe_fed: true,
        may_probe: true,
        probe_cost: 0.0,
        may_tell: false,
        come_back: Some(500.0),
        max_setups: 4,
        budget: None,
        cold: None,
    }
}

pub fn server(id: u32) -> Server {
    let listed = Listed {
        id: ServerId(id),
        zone: ZoneNo(0),
        kind: KindNo(0),
        cell: CellNo(id),
        listing: Listing::Ready,
        weight: 1.0,
        started: None,
    };
    let link = Some(Seen { value: 0.5, at: NOW, own: 0.0 });
    Server { link, streams: Some(Seen { value: 5.0, at: NOW, own: 0.0 }), ..Server::new(listed) }
}

/// A front that was born long ago and has heard half of every link in use.
pub fn front(terms: Terms) -> Front {
    let mut front = Front::new(terms, 7, 0.0);
    for id in 0..4 {
        front.fleet.servers.insert(ServerId(id), server(id));
    }
    front
}

pub fn sess() -> Sess {
    Sess {
        group: GroupNo(0),
        title: TitleId(9),
        holders: cells(0, 4),
        rates: None,
        top: 2,
        came: NOW,
        until: NOW + 3_000.0,
        rung: 0,
        at: None,
        playing: false,
        answered: false,
        setups: 0,
        tried: Vec::new(),
        erred: Vec::new(),
        asked: Vec::new(),
        asking: None,
        sent: NOW,
        stepped: Ms::NEG_INFINITY,
        was_kb: 0.0,
        changed: Ms::NEG_INFINITY,
        may_have_run: None,
        held_until: None,
    }
}

pub fn cells(home: u32, span: u32) -> Holders {
    Holders::Cells { home: CellNo(home), span }
}

pub fn playing(at: u32, rung: u8, came: Ms) -> Sess {
    Sess { at: Some(ServerId(at)), playing: true, answered: true, rung, came, setups: 1, ..sess() }
}

pub fn hand(of: impl IntoIterator<Item = Sess>) -> Hand {
    Hand { sess: (1..).map(SessId).zip(of).collect() }
}

pub fn cold() -> ColdTerms {
    ColdTerms { lasts: 10_000.0, from: 0.5, multiple: 3.0, span: 1_000.0, reach: 0.0 }
}

pub fn budget() -> Budget {
    Budget { free: 1.0, share: 0.2, span: 10_000.0 }
}
