//! Guards against a cold server that gets too many SETUPs because each front decides for itself: the SETUPs
//! of all fronts are counted at the server, in every window.
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
const CONNECT_TIMEOUT: Ms = 250.0;
/// Window in which the SETUPs to a cold server are counted.
const WINDOW: Ms = 1_000.0;

/// A simulated fleet of fronts and one cold server.
struct Fleet {
    fronts: u32,
    /// Percentage of fronts whose settings state half the number of fronts.
    half_count_percent: u32,
    /// SETUPs that a cold server may get in a window.
    budget: f64,
    /// How much later than the first front the last one learns of the server's start.
    list_delay: Ms,
    /// Mean interval at which each front restarts.
    restart_interval: Option<Ms>,
}

impl Fleet {
    fn front(&self, index: u32, rng: &mut fastrand::Rng, now: Ms) -> FrontState {
        let cold_start = ColdStartSettings {
            duration: 10_000.0,
            initial_share: 0.5,
            rate_multiple: 2.0,
            window: WINDOW,
            connect_timeout: CONNECT_TIMEOUT,
        };
        let max_streams = self.budget * cold_start.duration
            / (cold_start.rate_multiple * cold_start.initial_share * cold_start.window);
        let front_count =
            if index * 100 < self.fronts * self.half_count_percent { self.fronts / 2 } else { self.fronts };
        let settings = PolicySettings {
            front_count,
            cold_start: Some(cold_start),
            max_streams_by_kind: vec![max_streams],
            probes_allowed: false,
            ..settings()
        };
        let mut front = FrontState::new(settings, rng.u64(..), now);
        front.update_server(ListEntry { started_at: Some(NOW), ..server(0).entry });
        front
    }

    /// The most SETUPs that reach the server within a window while it is cold, and how many in all. Every
    /// front sends whenever it may. SETUPs arrive at the worst time: those of every second window are late.
    fn most_in_a_window_and_total(&self) -> (usize, usize) {
        let mut rng = fastrand::Rng::with_seed(5);
        let known_at: Vec<Ms> = (0..self.fronts).map(|_| NOW + rng.f64() * self.list_delay).collect();
        let mut restart_at: Vec<Ms> = known_at
            .iter()
            .map(|t| self.restart_interval.map_or(Ms::INFINITY, |interval| t + interval * (0.5 + rng.f64())))
            .collect();
        // The fronts started long ago, and learn of the server at `known_at`.
        let mut fronts: Vec<FrontState> = (0..self.fronts).map(|n| self.front(n, &mut rng, 0.0)).collect();
        let mut arrived = Vec::new();
        for elapsed_ms in (0..9_990).step_by(10) {
            let now = NOW + elapsed_ms as f64;
            for index in 0..fronts.len() {
                if now >= restart_at[index] {
                    fronts[index] = self.front(index as u32, &mut rng, now);
                    restart_at[index] =
                        now + self.restart_interval.unwrap_or(Ms::INFINITY) * (0.5 + rng.f64());
                }
                if now < known_at[index] {
                    continue;
                }
                loop {
                    let mut table = session_table([Session {
                        holders: cells(0, 1),
                        arrived_at: now,
                        viewer_deadline: now + 3_000.0,
                        ..session()
                    }]);
                    let Placement::Setup { .. } = fronts[index].place(&mut table, SessionId(1), now) else {
                        break;
                    };
                    let delay = if (elapsed_ms / 1_000) % 2 == 0 { CONNECT_TIMEOUT } else { 0.0 };
                    arrived.push(now + delay);
                }
            }
        }
        arrived.sort_by(f64::total_cmp);
        let in_window = |from: usize| arrived.partition_point(|t| *t < arrived[from] + WINDOW) - from;
        ((0..arrived.len()).map(in_window).max().unwrap_or(0), arrived.len())
    }
}

const RESTARTING: Fleet = Fleet { fronts: 30, budget: 200.0, restart_interval: Some(2_500.0), ..ONE_FRONT };
const ONE_FRONT: Fleet =
    Fleet { fronts: 1, half_count_percent: 0, budget: 3.0, list_delay: 0.0, restart_interval: None };

#[test_case(Fleet { ..ONE_FRONT }; "one front")]
#[test_case(Fleet { budget: 60.0, ..ONE_FRONT }; "one front, a large server")]
#[test_case(Fleet { fronts: 2, budget: 60.0, ..ONE_FRONT }; "two fronts")]
#[test_case(Fleet { fronts: 20, budget: 60.0, ..ONE_FRONT }; "twenty fronts")]
#[test_case(Fleet { fronts: 30, budget: 200.0, ..ONE_FRONT }; "thirty fronts, large servers")]
#[test_case(Fleet { fronts: 30, budget: 20.0, ..ONE_FRONT }; "thirty fronts, less than one SETUP each")]
#[test_case(Fleet { fronts: 300, budget: 900.0, ..ONE_FRONT }; "three hundred fronts, very large servers")]
#[test_case(Fleet { fronts: 300, budget: 40.0, ..ONE_FRONT }; "three hundred fronts")]
#[test_case(Fleet { fronts: 2, budget: 60.0, restart_interval: Some(700.0), ..ONE_FRONT }; "two fronts that restart often")]
#[test_case(RESTARTING; "thirty fronts that restart")]
#[test_case(Fleet { fronts: 20, budget: 60.0, list_delay: 4_500.0, ..ONE_FRONT }; "twenty fronts, list late")]
#[test_case(Fleet { list_delay: 4_500.0, ..RESTARTING }; "thirty fronts, list late and restarting")]
#[test_case(Fleet { fronts: 30, budget: 60.0, half_count_percent: 20, ..ONE_FRONT }; "a fifth of the fronts state half their number")]
fn a_cold_server_gets_no_more_than_its_budget_from_all_fronts(fleet: Fleet) {
    let (most, _) = fleet.most_in_a_window_and_total();
    let tolerance = 2.0 * fleet.budget.sqrt() + 2.0;
    assert!(
        most as f64 <= fleet.budget + tolerance,
        "{most} in a window, above {} + {tolerance:.1}",
        fleet.budget
    );
}

/// Guards against fronts that keep the budget by sending nothing, though each has a share of it.
#[test_case(1, 60.0; "one front")]
#[test_case(30, 200.0; "thirty fronts")]
fn a_cold_server_is_used_if_each_front_has_a_share(fronts: u32, budget: f64) {
    let (most, total) = Fleet { fronts, budget, ..ONE_FRONT }.most_in_a_window_and_total();
    assert!(
        most as f64 >= 0.5 * budget && total as f64 >= 3.0 * budget,
        "{most} in a window, {total} in total, of {budget}"
    );
}
