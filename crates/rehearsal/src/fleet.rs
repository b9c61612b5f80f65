//! State of the simulated boxes: their processes, sessions and injected faults, and the load model.
//!
//! Sessions ask for bandwidth of their box's link and of their rack's uplink. Where that is more than the capacity, all
//! sessions that share the link get the same share of their rates. A box that started cold is overloaded by too many
//! SETUPs in a short time, until it has warmed up.
use crate::record::{Observation, Recorder};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

/// Settings that all boxes of a rehearsal share.
#[derive(Debug, Clone)]
pub struct BoxSettings {
    /// Most sessions of one box.
    pub max_streams: usize,
    /// Capacity of a box's link.
    pub link_kb_per_s: f64,
    /// Capacity of a rack's uplink.
    pub uplink_kb_per_s: f64,
    /// The rates of the ladder, the lowest first.
    pub rung_kb_per_s: Vec<f64>,
    /// How long a box that starts cold takes to warm up.
    pub warm_up_ms: f64,
    /// The part of its warm set-up rate that a box bears at a cold start; it grows evenly to 1.
    pub initial_share: f64,
    /// How many times its set-up rate a cold box bears within `cold_window_ms`.
    pub cold_rate_multiple: f64,
    /// Length of the window in which the SETUPs of a cold box are counted.
    pub cold_window_ms: f64,
    /// A box answers SETUPs as busy once the rates of its sessions exceed this multiple of its link.
    pub busy_link_use: f64,
}

/// A session at a box.
#[derive(Debug, Clone)]
pub struct Session {
    /// The session id that the box gave in its answer to the SETUP.
    pub rtsp_session: String,
    /// The front's number of the session.
    pub id: u64,
    /// The control connection that the SETUP arrived on.
    pub connection: u64,
    pub rung: u8,
    /// The session's rate as a multiple of the ladder's.
    pub rate_scale: f64,
    /// When a segment was last requested; at first, when the session started.
    pub last_fetch_at_ms: f64,
}

/// Load of a box.
#[derive(Debug, Clone, Copy, Default)]
pub struct BoxLoad {
    /// Number of sessions.
    pub streams: f64,
    /// Rates of the box's sessions over the capacity of its link.
    pub link_use: f64,
    /// Rates of the rack's sessions over the capacity of its uplink.
    pub uplink_use: f64,
}

/// The faults of a box; pairs hold a share and the time until which it applies, in Unix milliseconds.
#[derive(Debug, Clone, Default)]
pub struct InjectedFaults {
    /// The box does not respond until then, in Unix milliseconds.
    pub hang_until: f64,
    /// Share of the SETUPs that fail.
    pub setup_errors: (f64, f64),
    /// Share of the SETUPs whose answer is lost.
    pub lost_answers: (f64, f64),
    /// Share of the link's capacity that is left.
    pub link_limit: (f64, f64),
}

/// A simulated box.
pub struct SimulatedBox {
    pub id: u32,
    /// Number of the rack that the box is in.
    pub rack: u32,
    /// Whether a process of the box is running.
    pub alive: bool,
    /// Number of the process, from 1 on.
    pub generation: u64,
    /// Unix time at which the process started.
    pub started_at_ms: f64,
    /// Whether the process started cold.
    pub started_cold: bool,
    /// By the front's number of the session.
    pub sessions: BTreeMap<u64, Session>,
    /// Times of the SETUPs within the window for cold boxes; kept while the box is cold.
    pub recent_setups: VecDeque<f64>,
    /// Sampled loads with their times, the oldest first.
    pub load_history: VecDeque<(f64, BoxLoad)>,
    pub faults: InjectedFaults,
}

/// The state that [`Fleet`] guards by a lock.
pub struct FleetState {
    pub boxes: Vec<SimulatedBox>,
    pub box_settings: BoxSettings,
    /// How late load reports are and until when, both in milliseconds.
    pub report_delay: (f64, f64),
}

/// The boxes of a rehearsal, shared by their sockets.
pub struct Fleet {
    state: Mutex<FleetState>,
    pub recorder: Arc<Recorder>,
}

/// Delay of load reports without a fault.
const REPORT_DELAY_MS: f64 = 200.0;
/// Loads kept for each box.
const MAX_LOAD_SAMPLES: usize = 200;

impl Fleet {
    /// Creates boxes without processes, spread evenly over the racks.
    pub fn new(boxes: u32, racks: u32, box_settings: BoxSettings, recorder: Arc<Recorder>) -> Self {
        let new_box = |id: u32| SimulatedBox {
            id,
            rack: id % racks,
            alive: false,
            generation: 0,
            started_at_ms: 0.0,
            started_cold: false,
            sessions: BTreeMap::new(),
            recent_setups: VecDeque::new(),
            load_history: VecDeque::new(),
            faults: InjectedFaults::default(),
        };
        let state =
            FleetState { boxes: (0..boxes).map(new_box).collect(), box_settings, report_delay: (0.0, 0.0) };
        Fleet { state: Mutex::new(state), recorder }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts a process of a box and returns its generation.
    pub fn start_process(&self, server: u32, cold: bool) -> u64 {
        let now = self.recorder.now_ms();
        let mut state = self.lock();
        let simulated_box = &mut state.boxes[server as usize];
        simulated_box.generation += 1;
        (simulated_box.alive, simulated_box.started_at_ms, simulated_box.started_cold) = (true, now, cold);
        (simulated_box.recent_setups, simulated_box.load_history, simulated_box.faults) = Default::default();
        self.recorder.record(Observation::BoxUp { server });
        simulated_box.generation
    }

    /// Ends a box's process and its sessions; does nothing if none is running.
    pub fn stop_process(&self, server: u32, reason: &str) {
        let mut state = self.lock();
        let simulated_box = &mut state.boxes[server as usize];
        if !std::mem::replace(&mut simulated_box.alive, false) {
            return;
        }
        for s in std::mem::take(&mut simulated_box.sessions).into_values() {
            self.recorder.record(Observation::SessionEnded {
                server,
                session: s.id,
                reason: "box died".into(),
            });
        }
        self.recorder.record(Observation::BoxDown { server, reason: reason.into() });
    }

    /// Whether the process of this generation is still running.
    pub fn is_running(&self, server: u32, generation: u64) -> bool {
        let state = self.lock();
        let simulated_box = &state.boxes[server as usize];
        simulated_box.alive && simulated_box.generation == generation
    }

    /// Records an observation of a process, unless it has ended; returns whether it is running.
    pub fn record_if_running(&self, server: u32, generation: u64, observation: Observation) -> bool {
        let state = self.lock();
        let simulated_box = &state.boxes[server as usize];
        let alive = simulated_box.alive && simulated_box.generation == generation;
        if alive {
            self.recorder.record(observation);
        }
        alive
    }

    /// The load that a probe is answered with: an earlier sample, as old as reports are late.
    pub fn delayed_load(&self, server: u32) -> BoxLoad {
        let now = self.recorder.now_ms();
        let state = self.lock();
        let (delay, until) = state.report_delay;
        let delay = if now < until { delay.max(REPORT_DELAY_MS) } else { REPORT_DELAY_MS };
        let history = &state.boxes[server as usize].load_history;
        let sample = history.iter().rev().find(|(at, _)| *at <= now - delay);
        sample.or(history.front()).map_or(BoxLoad::default(), |(_, load)| *load)
    }

    /// Adds the present load of every box to its history.
    pub fn sample_loads(&self) {
        let now = self.recorder.now_ms();
        let mut state = self.lock();
        for index in 0..state.boxes.len() {
            let load = state.load(index, now);
            let history = &mut state.boxes[index].load_history;
            history.push_back((now, load));
            if history.len() > MAX_LOAD_SAMPLES {
                history.pop_front();
            }
        }
    }
}

impl FleetState {
    /// Sum of the rates of a box's sessions.
    pub fn demanded_kb_per_s(&self, index: usize) -> f64 {
        let rate = |s: &Session| self.box_settings.rung_kb_per_s[s.rung as usize] * s.rate_scale;
        self.boxes[index].sessions.values().map(rate).sum()
    }

    /// The present load of a box.
    pub fn load(&self, index: usize, now: f64) -> BoxLoad {
        let simulated_box = &self.boxes[index];
        let (share, until) = simulated_box.faults.link_limit;
        let link_share = if now < until { share.max(0.01) } else { 1.0 };
        let in_rack = |other: &usize| self.boxes[*other].rack == simulated_box.rack;
        let rack_demand: f64 =
            (0..self.boxes.len()).filter(in_rack).map(|other| self.demanded_kb_per_s(other)).sum();
        BoxLoad {
            streams: simulated_box.sessions.len() as f64,
            link_use: self.demanded_kb_per_s(index) / (self.box_settings.link_kb_per_s * link_share),
            uplink_use: rack_demand / self.box_settings.uplink_kb_per_s,
        }
    }

    /// The share of their rates that the sessions of a box get.
    pub fn delivered_share(&self, index: usize, now: f64) -> f64 {
        let load = self.load(index, now);
        1.0 / load.link_use.max(load.uplink_use).max(1.0)
    }

    /// Counts a SETUP at a box; returns whether the box is cold and the SETUP overloads it.
    pub fn setup_overloads_cold_box(&mut self, index: usize, now: f64) -> bool {
        let settings = &self.box_settings;
        let (warm_up_ms, initial_share, window_ms) =
            (settings.warm_up_ms, settings.initial_share, settings.cold_window_ms);
        let setups_per_ms = settings.max_streams as f64 / warm_up_ms;
        let multiple = settings.cold_rate_multiple;
        let simulated_box = &mut self.boxes[index];
        let age = now - simulated_box.started_at_ms;
        if !simulated_box.started_cold || age >= warm_up_ms {
            return false;
        }
        simulated_box.recent_setups.push_back(now);
        simulated_box.recent_setups.retain(|t| *t > now - window_ms);
        let warm_share = initial_share + (1.0 - initial_share) * age / warm_up_ms;
        simulated_box.recent_setups.len() as f64 > multiple * setups_per_ms * warm_share * window_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn three_boxes_in_two_racks() -> FleetState {
        let box_settings = BoxSettings {
            max_streams: 40,
            link_kb_per_s: 1_000.0,
            uplink_kb_per_s: 1_500.0,
            rung_kb_per_s: vec![100.0, 400.0],
            warm_up_ms: 10_000.0,
            initial_share: 0.5,
            cold_rate_multiple: 2.0,
            cold_window_ms: 1_000.0,
            busy_link_use: 1.2,
        };
        let recorder =
            Recorder::create(&std::env::temp_dir().join(format!("walnutline-fleet-{}", std::process::id())));
        Fleet::new(3, 2, box_settings, Arc::new(recorder.unwrap())).state.into_inner().unwrap()
    }

    fn add_sessions(state: &mut FleetState, index: usize, rungs: &[u8]) {
        for (id, rung) in rungs.iter().enumerate() {
            let session = Session {
                rtsp_session: String::new(),
                id: 0,
                connection: 0,
                rung: *rung,
                rate_scale: 1.0,
                last_fetch_at_ms: 0.0,
            };
            state.boxes[index].sessions.insert(id as u64, session);
        }
    }

    #[test]
    fn sessions_get_equal_shares_of_full_links_and_uplinks() {
        let mut state = three_boxes_in_two_racks();
        add_sessions(&mut state, 0, &[1, 1]);
        assert_eq!(state.delivered_share(0, 0.0), 1.0);
        state.boxes[0].faults.link_limit = (0.5, 10.0);
        assert_eq!(state.delivered_share(0, 5.0), 1.0 / 1.6);
        assert_eq!(state.delivered_share(0, 11.0), 1.0);
        add_sessions(&mut state, 2, &[1, 1, 1]);
        assert_eq!(
            state.delivered_share(0, 11.0),
            1.0 / (2_000.0 / 1_500.0),
            "box 2 shares the uplink of box 0"
        );
        assert_eq!(state.delivered_share(1, 11.0), 1.0);
    }

    #[test]
    fn a_cold_box_is_overloaded_by_too_many_setups() {
        let mut state = three_boxes_in_two_racks();
        (state.boxes[0].started_cold, state.boxes[0].started_at_ms) = (true, 1_000.0);
        // 40 streams in 10 s, half of it at a cold start, times 2: 4 SETUPs in a second.
        let overloaded: Vec<bool> = (0..5).map(|_| state.setup_overloads_cold_box(0, 1_000.0)).collect();
        assert_eq!(overloaded, [false, false, false, false, true]);
        assert!(!state.setup_overloads_cold_box(0, 12_000.0), "warmed up");
    }
}
