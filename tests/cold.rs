//! Cold servers under the sum of what a fleet of fronts sends: each front decides for itself, and the SETUPs
//! of all of them are counted at the server, in every span.
#[allow(dead_code)]
mod support;

use support::*;
use test_case::test_case;
use walnutline::api::Placement;
use walnutline::fleet::ListEntry;
use walnutline::ids::*;
use walnutline::sessions::Session;
use walnutline::settings::{ColdStartSettings, PolicySettings};
use walnutline::state::FrontState;

/// How long a SETUP may wait for its connection after it was decided.
const LATE: Ms = 250.0;
const SPAN: Ms = 1_000.0;

struct Fleet {
    /// How many fronts there are, and how many of each hundred were told half as many.
    fronts: u32,
    told_half: u32,
    /// SETUPs that a cold server may get in a span.
    budget: f64,
    /// How much later than the first front the last one is told of the start.
    told_late: Ms,
    /// How often each front starts anew.
    restarts: Option<Ms>,
}

impl Fleet {
    fn front(&self, n: u32, rng: &mut fastrand::Rng, now: Ms) -> FrontState {
        let cold = ColdStartSettings {
            duration: 10_000.0,
            initial_share: 0.5,
            rate_multiple: 2.0,
            window: SPAN,
            connect_timeout: LATE,
        };
        let streams = self.budget * cold.duration / (cold.rate_multiple * cold.initial_share * cold.window);
        let fronts = if n * 100 < self.fronts * self.told_half { self.fronts / 2 } else { self.fronts };
        let terms = PolicySettings {
            front_count: fronts,
            cold_start: Some(cold),
            max_streams_by_kind: vec![streams],
            probes_allowed: false,
            ..settings()
        };
        let mut front = FrontState::new(terms, rng.u64(..), now);
        front.update_server(ListEntry { started_at: Some(NOW), ..server(0).entry });
        front
    }

    /// The most SETUPs that reach the server within a span while it is cold, and how many in all: every front
    /// sends whenever it may, and what it sends arrives at the worst time, the first of each two spans late.
    fn most_in_a_span(&self) -> (usize, usize) {
        let mut rng = fastrand::Rng::with_seed(5);
        let told: Vec<Ms> = (0..self.fronts).map(|_| NOW + rng.f64() * self.told_late).collect();
        let mut next: Vec<Ms> = told
            .iter()
            .map(|t| self.restarts.map_or(Ms::INFINITY, |every| t + every * (0.5 + rng.f64())))
            .collect();
        // Born long ago, and told of the server when the list comes.
        let mut all: Vec<FrontState> = (0..self.fronts).map(|n| self.front(n, &mut rng, 0.0)).collect();
        let mut arrived = Vec::new();
        for ms in (0..9_990).step_by(10) {
            let now = NOW + ms as f64;
            for n in 0..all.len() {
                if now >= next[n] {
                    all[n] = self.front(n as u32, &mut rng, now);
                    next[n] = now + self.restarts.unwrap_or(Ms::INFINITY) * (0.5 + rng.f64());
                }
                if now < told[n] {
                    continue;
                }
                loop {
                    let mut table = session_table([Session {
                        holders: cells(0, 1),
                        arrived_at: now,
                        viewer_deadline: now + 3_000.0,
                        ..session()
                    }]);
                    let Placement::Setup { .. } = all[n].place(&mut table, SessionId(1), now) else { break };
                    let late = if (ms / 1_000) % 2 == 0 { LATE } else { 0.0 };
                    arrived.push(now + late);
                }
            }
        }
        arrived.sort_by(f64::total_cmp);
        let in_span = |from: usize| arrived.partition_point(|t| *t < arrived[from] + SPAN) - from;
        ((0..arrived.len()).map(in_span).max().unwrap_or(0), arrived.len())
    }
}

const ANEW: Fleet = Fleet { fronts: 30, budget: 200.0, restarts: Some(2_500.0), ..PLAIN };
const PLAIN: Fleet = Fleet { fronts: 1, told_half: 0, budget: 3.0, told_late: 0.0, restarts: None };

#[test_case(Fleet { ..PLAIN }; "one front")]
#[test_case(Fleet { budget: 60.0, ..PLAIN }; "one front, a large server")]
#[test_case(Fleet { fronts: 2, budget: 60.0, ..PLAIN }; "two fronts")]
#[test_case(Fleet { fronts: 20, budget: 60.0, ..PLAIN }; "twenty")]
#[test_case(Fleet { fronts: 30, budget: 200.0, ..PLAIN }; "thirty, large servers")]
#[test_case(Fleet { fronts: 30, budget: 20.0, ..PLAIN }; "thirty, less than one each")]
#[test_case(Fleet { fronts: 300, budget: 900.0, ..PLAIN }; "three hundred, very large servers")]
#[test_case(Fleet { fronts: 300, budget: 40.0, ..PLAIN }; "three hundred")]
#[test_case(Fleet { fronts: 2, budget: 60.0, restarts: Some(700.0), ..PLAIN }; "two, often anew")]
#[test_case(ANEW; "thirty that start anew")]
#[test_case(Fleet { fronts: 20, budget: 60.0, told_late: 4_500.0, ..PLAIN }; "twenty, told late")]
#[test_case(Fleet { told_late: 4_500.0, ..ANEW }; "thirty, told late and starting anew")]
#[test_case(Fleet { fronts: 30, budget: 60.0, told_half: 20, ..PLAIN }; "a fifth were told half as many")]
fn a_cold_server_gets_no_more_than_its_budget_from_all_fronts(fleet: Fleet) {
    let (most, _) = fleet.most_in_a_span();
    let chance = 2.0 * fleet.budget.sqrt() + 2.0;
    assert!(most as f64 <= fleet.budget + chance, "{most} of {} and {chance:.1} by chance", fleet.budget);
}

/// Guards against the bound kept by sending nothing at all where each front has a share.
#[test_case(1, 60.0; "one front")]
#[test_case(30, 200.0; "thirty")]
fn where_each_front_has_a_share_a_cold_server_is_used(fronts: u32, budget: f64) {
    let (most, all) = Fleet { fronts, budget, ..PLAIN }.most_in_a_span();
    assert!(
        most as f64 >= 0.5 * budget && all as f64 >= 3.0 * budget,
        "{most} in a span, {all} in all, of {budget}"
    );
}
