//! What the boxes are and carry: links and rack uplinks that share a shortage equally, streams, warmth, troubles.
use crate::record::{Recorder, Seen};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

/// What all boxes of a rehearsal have in common.
#[derive(Debug, Clone)]
pub struct Kind {
    pub streams: usize,
    pub link_kb: f64,
    pub uplink_kb: f64,
    pub rung_kb: Vec<f64>,
    /// Warm-up: how long, from which share, and the count that pushes a box over.
    pub cold: f64,
    pub cold_from: f64,
    pub tip_multiple: f64,
    pub tip_after: f64,
    /// A box is busy while so much of its link is asked for.
    pub busy_from: f64,
}

#[derive(Debug, Clone)]
pub struct Session {
    /// The box's own name for it, and the front's.
    pub name: String,
    pub id: u64,
    /// The control connection that it came by.
    pub conn: u64,
    pub rung: u8,
    pub scale: f64,
    /// When it was last asked for a segment, or began.
    pub fetched: f64,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    pub streams: f64,
    pub link: f64,
    pub uplink: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Troubles {
    pub hang_until: f64,
    pub errors: (f64, f64),
    pub lose: (f64, f64),
    /// What its link gives, as a share, until then.
    pub link: (f64, f64),
}

pub struct BoxState {
    pub id: u32,
    pub rack: u32,
    pub alive: bool,
    pub generation: u64,
    pub started: f64,
    pub cold: bool,
    pub sessions: BTreeMap<u64, Session>,
    pub setups: VecDeque<f64>,
    pub history: VecDeque<(f64, Figures)>,
    pub troubles: Troubles,
}

pub struct Inside {
    pub boxes: Vec<BoxState>,
    pub kind: Kind,
    pub reports_late: (f64, f64),
}

pub struct Depot {
    inside: Mutex<Inside>,
    pub seen: Arc<Recorder>,
}

/// How late a report is when all is well.
const REPORT_DELAY: f64 = 200.0;

impl Depot {
    pub fn new(boxes: u32, racks: u32, kind: Kind, seen: Arc<Recorder>) -> Self {
        let one = |n: u32| BoxState {
            id: n,
            rack: n % racks,
            alive: false,
            generation: 0,
            started: 0.0,
            cold: false,
            sessions: BTreeMap::new(),
            setups: VecDeque::new(),
            history: VecDeque::new(),
            troubles: Troubles::default(),
        };
        let inside = Inside { boxes: (0..boxes).map(one).collect(), kind, reports_late: (0.0, 0.0) };
        Depot { inside: Mutex::new(inside), seen }
    }

    pub fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A box's process starts; returns its generation.
    pub fn start(&self, server: u32, cold: bool) -> u64 {
        let now = self.seen.now();
        let mut inside = self.lock();
        let b = &mut inside.boxes[server as usize];
        b.generation += 1;
        (b.alive, b.started, b.cold) = (true, now, cold);
        (b.setups, b.history, b.troubles) = Default::default();
        self.seen.saw(Seen::BoxUp { server });
        b.generation
    }

    pub fn die(&self, server: u32, why: &str) {
        let mut inside = self.lock();
        let b = &mut inside.boxes[server as usize];
        if !std::mem::replace(&mut b.alive, false) {
            return;
        }
        for s in std::mem::take(&mut b.sessions).into_values() {
            self.seen.saw(Seen::Over { server, session: s.id, why: "box died".into() });
        }
        self.seen.saw(Seen::BoxDown { server, why: why.into() });
    }

    /// Whether this process of the box is still the one that runs.
    pub fn runs(&self, server: u32, generation: u64) -> bool {
        let inside = self.lock();
        let b = &inside.boxes[server as usize];
        b.alive && b.generation == generation
    }

    /// Records what a process saw; `false` where it had died by then, and saw nothing.
    pub fn saw(&self, server: u32, generation: u64, seen: Seen) -> bool {
        let inside = self.lock();
        let b = &inside.boxes[server as usize];
        let alive = b.alive && b.generation == generation;
        if alive {
            self.seen.saw(seen);
        }
        alive
    }

    /// Load figures as a probe hears them: as late as reports are.
    pub fn report(&self, server: u32) -> Figures {
        let now = self.seen.now();
        let inside = self.lock();
        let (late, until) = inside.reports_late;
        let late = if now < until { late.max(REPORT_DELAY) } else { REPORT_DELAY };
        let history = &inside.boxes[server as usize].history;
        let old = history.iter().rev().find(|(t, _)| *t <= now - late);
        old.or(history.front()).map_or(Figures::default(), |(_, f)| *f)
    }

    /// Takes the figures of all boxes, to be heard of later.
    pub fn sample(&self) {
        let now = self.seen.now();
        let mut inside = self.lock();
        for n in 0..inside.boxes.len() {
            let figures = inside.figures(n, now);
            let history = &mut inside.boxes[n].history;
            history.push_back((now, figures));
            if history.len() > 200 {
                history.pop_front();
            }
        }
    }
}

impl Inside {
    pub fn asked_kb(&self, n: usize) -> f64 {
        let kb = |s: &Session| self.kind.rung_kb[s.rung as usize] * s.scale;
        self.boxes[n].sessions.values().map(kb).sum()
    }

    pub fn figures(&self, n: usize, now: f64) -> Figures {
        let b = &self.boxes[n];
        let (share, until) = b.troubles.link;
        let gives = if now < until { share.max(0.01) } else { 1.0 };
        let in_rack = |m: &usize| self.boxes[*m].rack == b.rack;
        let rack: f64 = (0..self.boxes.len()).filter(in_rack).map(|m| self.asked_kb(m)).sum();
        Figures {
            streams: b.sessions.len() as f64,
            link: self.asked_kb(n) / (self.kind.link_kb * gives),
            uplink: rack / self.kind.uplink_kb,
        }
    }

    /// The share of their rates that sessions at a box get.
    pub fn share(&self, n: usize, now: f64) -> f64 {
        let f = self.figures(n, now);
        1.0 / f.link.max(f.uplink).max(1.0)
    }

    /// Takes a SETUP into the count of a cold box; whether it falls over for it.
    pub fn pushed_over(&mut self, n: usize, now: f64) -> bool {
        let kind = &self.kind;
        let (cold, from, span) = (kind.cold, kind.cold_from, kind.tip_after);
        let a_second = kind.streams as f64 / cold;
        let multiple = kind.tip_multiple;
        let b = &mut self.boxes[n];
        let age = now - b.started;
        if !b.cold || age >= cold {
            return false;
        }
        b.setups.push_back(now);
        b.setups.retain(|t| *t > now - span);
        let warmth = from + (1.0 - from) * age / cold;
        b.setups.len() as f64 > multiple * a_second * warmth * span
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn inside() -> Inside {
        let kind = Kind {
            streams: 40,
            link_kb: 1_000.0,
            uplink_kb: 1_500.0,
            rung_kb: vec![100.0, 400.0],
            cold: 10_000.0,
            cold_from: 0.5,
            tip_multiple: 2.0,
            tip_after: 1_000.0,
            busy_from: 1.2,
        };
        let recorder = Recorder::create(&std::env::temp_dir().join(format!("depot-{}", std::process::id())));
        Depot::new(3, 2, kind, Arc::new(recorder.unwrap())).inside.into_inner().unwrap()
    }

    fn play(i: &mut Inside, n: usize, rungs: &[u8]) {
        for (k, rung) in rungs.iter().enumerate() {
            let s = Session { name: String::new(), id: 0, conn: 0, rung: *rung, scale: 1.0, fetched: 0.0 };
            i.boxes[n].sessions.insert(k as u64, s);
        }
    }

    #[test]
    fn a_shortage_is_shared_on_links_and_uplinks() {
        let mut i = inside();
        play(&mut i, 0, &[1, 1]);
        assert_eq!(i.share(0, 0.0), 1.0);
        i.boxes[0].troubles.link = (0.5, 10.0);
        assert_eq!(i.share(0, 5.0), 1.0 / 1.6);
        assert_eq!(i.share(0, 11.0), 1.0);
        play(&mut i, 2, &[1, 1, 1]);
        assert_eq!(i.share(0, 11.0), 1.0 / (2_000.0 / 1_500.0), "box 2 shares the uplink of box 0");
        assert_eq!(i.share(1, 11.0), 1.0);
    }

    #[test]
    fn a_cold_box_falls_over_at_its_count() {
        let mut i = inside();
        (i.boxes[0].cold, i.boxes[0].started) = (true, 1_000.0);
        // 40 streams over 10 s at half warmth, times 2: 4 SETUPs in a second.
        let fell: Vec<bool> = (0..5).map(|_| i.pushed_over(0, 1_000.0)).collect();
        assert_eq!(fell, [false, false, false, false, true]);
        assert!(!i.pushed_over(0, 12_000.0), "warm by then");
    }
}
