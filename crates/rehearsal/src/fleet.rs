//! What the boxes are and carry: links and rack uplinks that share a shortage equally, streams, warmth, troubles.
use crate::record::{Observation, Recorder};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

/// What all boxes of a rehearsal have in common.
#[derive(Debug, Clone)]
pub struct BoxSettings {
    pub max_streams: usize,
    pub link_kb_per_s: f64,
    pub uplink_kb_per_s: f64,
    pub rung_kb_per_s: Vec<f64>,
    /// Warm-up: how long, from which share, and the count that pushes a box over.
    pub warm_up_ms: f64,
    pub initial_share: f64,
    pub cold_rate_multiple: f64,
    pub cold_window_ms: f64,
    /// A box is busy while so much of its link is asked for.
    pub busy_link_use: f64,
}

#[derive(Debug, Clone)]
pub struct Session {
    /// The box's own name for it, and the front's.
    pub rtsp_session: String,
    pub id: u64,
    /// The control connection that it came by.
    pub connection: u64,
    pub rung: u8,
    pub rate_scale: f64,
    /// When it was last asked for a segment, or began.
    pub last_fetch_at_ms: f64,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct BoxLoad {
    pub streams: f64,
    pub link_use: f64,
    pub uplink_use: f64,
}

#[derive(Debug, Clone, Default)]
pub struct InjectedFaults {
    pub hang_until: f64,
    pub setup_errors: (f64, f64),
    pub lost_answers: (f64, f64),
    /// What its link gives, as a share, until then.
    pub link_limit: (f64, f64),
}

pub struct SimulatedBox {
    pub id: u32,
    pub rack: u32,
    pub alive: bool,
    pub generation: u64,
    pub started_at_ms: f64,
    pub started_cold: bool,
    pub sessions: BTreeMap<u64, Session>,
    pub recent_setups: VecDeque<f64>,
    pub load_history: VecDeque<(f64, BoxLoad)>,
    pub faults: InjectedFaults,
}

pub struct FleetState {
    pub boxes: Vec<SimulatedBox>,
    pub kind: BoxSettings,
    pub report_delay: (f64, f64),
}

pub struct Fleet {
    inside: Mutex<FleetState>,
    pub recorder: Arc<Recorder>,
}

/// How late a report is when all is well.
const REPORT_DELAY: f64 = 200.0;

impl Fleet {
    pub fn new(boxes: u32, racks: u32, kind: BoxSettings, recorder: Arc<Recorder>) -> Self {
        let one = |n: u32| SimulatedBox {
            id: n,
            rack: n % racks,
            alive: false,
            generation: 0,
            started_at_ms: 0.0,
            started_cold: false,
            sessions: BTreeMap::new(),
            recent_setups: VecDeque::new(),
            load_history: VecDeque::new(),
            faults: InjectedFaults::default(),
        };
        let inside = FleetState { boxes: (0..boxes).map(one).collect(), kind, report_delay: (0.0, 0.0) };
        Fleet { inside: Mutex::new(inside), recorder }
    }

    pub fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.inside.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A box's process starts; returns its generation.
    pub fn start_process(&self, server: u32, cold: bool) -> u64 {
        let now = self.recorder.now_ms();
        let mut inside = self.lock();
        let b = &mut inside.boxes[server as usize];
        b.generation += 1;
        (b.alive, b.started_at_ms, b.started_cold) = (true, now, cold);
        (b.recent_setups, b.load_history, b.faults) = Default::default();
        self.recorder.record(Observation::BoxUp { server });
        b.generation
    }

    pub fn stop_process(&self, server: u32, reason: &str) {
        let mut inside = self.lock();
        let b = &mut inside.boxes[server as usize];
        if !std::mem::replace(&mut b.alive, false) {
            return;
        }
        for s in std::mem::take(&mut b.sessions).into_values() {
            self.recorder.record(Observation::SessionEnded {
                server,
                session: s.id,
                reason: "box died".into(),
            });
        }
        self.recorder.record(Observation::BoxDown { server, reason: reason.into() });
    }

    /// Whether this process of the box is still the one that runs.
    pub fn is_running(&self, server: u32, generation: u64) -> bool {
        let inside = self.lock();
        let b = &inside.boxes[server as usize];
        b.alive && b.generation == generation
    }

    /// Records what a process saw; `false` where it had died by then, and saw nothing.
    pub fn record_if_running(&self, server: u32, generation: u64, observation: Observation) -> bool {
        let inside = self.lock();
        let b = &inside.boxes[server as usize];
        let alive = b.alive && b.generation == generation;
        if alive {
            self.recorder.record(observation);
        }
        alive
    }

    /// Load figures as a probe hears them: as late as reports are.
    pub fn delayed_load(&self, server: u32) -> BoxLoad {
        let now = self.recorder.now_ms();
        let inside = self.lock();
        let (late, until) = inside.report_delay;
        let late = if now < until { late.max(REPORT_DELAY) } else { REPORT_DELAY };
        let history = &inside.boxes[server as usize].load_history;
        let old = history.iter().rev().find(|(t, _)| *t <= now - late);
        old.or(history.front()).map_or(BoxLoad::default(), |(_, f)| *f)
    }

    /// Takes the figures of all boxes, to be heard of later.
    pub fn sample_loads(&self) {
        let now = self.recorder.now_ms();
        let mut inside = self.lock();
        for n in 0..inside.boxes.len() {
            let figures = inside.load(n, now);
            let history = &mut inside.boxes[n].load_history;
            history.push_back((now, figures));
            if history.len() > 200 {
                history.pop_front();
            }
        }
    }
}

impl FleetState {
    pub fn demanded_kb_per_s(&self, n: usize) -> f64 {
        let kb = |s: &Session| self.kind.rung_kb_per_s[s.rung as usize] * s.rate_scale;
        self.boxes[n].sessions.values().map(kb).sum()
    }

    pub fn load(&self, n: usize, now: f64) -> BoxLoad {
        let b = &self.boxes[n];
        let (share, until) = b.faults.link_limit;
        let gives = if now < until { share.max(0.01) } else { 1.0 };
        let in_rack = |m: &usize| self.boxes[*m].rack == b.rack;
        let rack: f64 = (0..self.boxes.len()).filter(in_rack).map(|m| self.demanded_kb_per_s(m)).sum();
        BoxLoad {
            streams: b.sessions.len() as f64,
            link_use: self.demanded_kb_per_s(n) / (self.kind.link_kb_per_s * gives),
            uplink_use: rack / self.kind.uplink_kb_per_s,
        }
    }

    /// The share of their rates that sessions at a box get.
    pub fn delivered_share(&self, n: usize, now: f64) -> f64 {
        let f = self.load(n, now);
        1.0 / f.link_use.max(f.uplink_use).max(1.0)
    }

    /// Takes a SETUP into the count of a cold box; whether it falls over for it.
    pub fn setup_overloads_cold_box(&mut self, n: usize, now: f64) -> bool {
        let kind = &self.kind;
        let (cold, from, span) = (kind.warm_up_ms, kind.initial_share, kind.cold_window_ms);
        let a_second = kind.max_streams as f64 / cold;
        let multiple = kind.cold_rate_multiple;
        let b = &mut self.boxes[n];
        let age = now - b.started_at_ms;
        if !b.started_cold || age >= cold {
            return false;
        }
        b.recent_setups.push_back(now);
        b.recent_setups.retain(|t| *t > now - span);
        let warmth = from + (1.0 - from) * age / cold;
        b.recent_setups.len() as f64 > multiple * a_second * warmth * span
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn inside() -> FleetState {
        let kind = BoxSettings {
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
        let recorder = Recorder::create(&std::env::temp_dir().join(format!("depot-{}", std::process::id())));
        Fleet::new(3, 2, kind, Arc::new(recorder.unwrap())).inside.into_inner().unwrap()
    }

    fn play(i: &mut FleetState, n: usize, rungs: &[u8]) {
        for (k, rung) in rungs.iter().enumerate() {
            let s = Session {
                rtsp_session: String::new(),
                id: 0,
                connection: 0,
                rung: *rung,
                rate_scale: 1.0,
                last_fetch_at_ms: 0.0,
            };
            i.boxes[n].sessions.insert(k as u64, s);
        }
    }

    #[test]
    fn a_shortage_is_shared_on_links_and_uplinks() {
        let mut i = inside();
        play(&mut i, 0, &[1, 1]);
        assert_eq!(i.delivered_share(0, 0.0), 1.0);
        i.boxes[0].faults.link_limit = (0.5, 10.0);
        assert_eq!(i.delivered_share(0, 5.0), 1.0 / 1.6);
        assert_eq!(i.delivered_share(0, 11.0), 1.0);
        play(&mut i, 2, &[1, 1, 1]);
        assert_eq!(i.delivered_share(0, 11.0), 1.0 / (2_000.0 / 1_500.0), "box 2 shares the uplink of box 0");
        assert_eq!(i.delivered_share(1, 11.0), 1.0);
    }

    #[test]
    fn a_cold_box_falls_over_at_its_count() {
        let mut i = inside();
        (i.boxes[0].started_cold, i.boxes[0].started_at_ms) = (true, 1_000.0);
        // 40 streams over 10 s at half warmth, times 2: 4 SETUPs in a second.
        let fell: Vec<bool> = (0..5).map(|_| i.setup_overloads_cold_box(0, 1_000.0)).collect();
        assert_eq!(fell, [false, false, false, false, true]);
        assert!(!i.setup_overloads_cold_box(0, 12_000.0), "warm by then");
    }
}
