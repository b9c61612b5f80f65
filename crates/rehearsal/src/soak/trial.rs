//! What a seed draws: sizes, deadlines, and faults with their times in milliseconds from the begin.
use serde::Serialize;
use walnutline::ids::Ms;

/// How a server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum ServerMode {
    Answers,
    /// Takes connections and set-ups, and answers nothing.
    Hangs,
    /// Answers set-ups with an error.
    Fails,
    /// Closes the connection under each set-up.
    Closes,
    /// Its process is gone.
    Dead,
}

/// Something that happens at a time of its own.
#[derive(Debug, Clone, Copy, Serialize)]
pub enum Fault {
    Server(usize, ServerMode),
    /// The list no longer names a server, whose process goes on.
    Remove(usize),
    NameServiceSilent(bool),
    /// The clients of a node send without a pause between requests.
    Crowd(usize, bool),
    /// SIGHUP to a node.
    Reload(usize),
    /// SIGTERM to a node; the first one is followed by SIGKILL at the platform's earliest.
    Stop(usize),
}

/// A class of requests.
#[derive(Debug, Clone, Serialize)]
pub struct RequestClass {
    pub deadline: Ms,
    pub start_target: Ms,
    pub repeat: &'static str,
}

/// One trial.
#[derive(Debug, Clone, Serialize)]
pub struct Trial {
    pub seed: u64,
    pub nodes: usize,
    pub servers: usize,
    pub classes: Vec<RequestClass>,
    pub clients_per_node: usize,
    /// Mean time in which a server answers.
    pub answer_time: Ms,
    pub duration: Ms,
    pub faults: Vec<(Ms, Fault)>,
}

impl Trial {
    /// Draws the trial of a seed.
    pub fn draw(seed: u64) -> Trial {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut trial = Trial {
            seed,
            nodes: rng.usize(1..=4),
            servers: rng.usize(3..=12),
            classes: (0..2).map(|_| RequestClass::draw(&mut rng)).collect(),
            clients_per_node: rng.usize(6..=24),
            answer_time: 2.0 + 40.0 * rng.f64(),
            duration: 0.0,
            faults: Vec::new(),
        };
        let mut at = 1_500.0;
        for stop in 0..rng.usize(2..=4) {
            trial.draw_stop(stop % trial.nodes, at, &mut rng);
            at += 400.0 + rng.f64() * (trial.longest_wait() + 1_500.0);
        }
        trial.duration = at + trial.longest_wait() + 2_500.0;
        trial.draw_list_faults(&mut rng);
        trial.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        trial
    }

    /// The longest deadline, counted as 3 s where it is longer.
    pub fn longest_wait(&self) -> Ms {
        self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max).min(3_000.0)
    }

    /// The stop of a node, and what crosses it.
    fn draw_stop(&mut self, node: usize, at: Ms, rng: &mut fastrand::Rng) {
        let wait = self.longest_wait();
        self.faults.push((at, Fault::Stop(node)));
        if rng.f64() < 0.4 {
            self.faults.push((at - 300.0 * rng.f64(), Fault::Reload(node)));
        }
        if rng.f64() < 0.4 {
            let later = at + rng.f64() * wait;
            self.faults.extend([(later, Fault::Stop(node)), (later, Fault::Reload(node))]);
        }
        if rng.f64() < 0.4 {
            let begin = at - 300.0 + rng.f64() * wait;
            self.faults
                .extend([(begin, Fault::Crowd(node, true)), (begin + 1_200.0, Fault::Crowd(node, false))]);
        }
        let others = [ServerMode::Fails, ServerMode::Closes, ServerMode::Dead];
        let mode = if rng.f64() < 0.7 { ServerMode::Hangs } else { others[rng.usize(..others.len())] };
        let affected_share = if rng.f64() < 0.25 { 1.0 } else { 0.4 };
        for server in 0..self.servers {
            if rng.f64() >= affected_share {
                continue;
            }
            let begin = at - 600.0 + rng.f64() * 1_500.0;
            self.faults.push((begin, Fault::Server(server, mode)));
            self.faults.push((at + wait + 1_000.0, Fault::Server(server, ServerMode::Answers)));
        }
    }
}

impl Trial {
    /// Servers that leave the list, and a time at which the name service is silent.
    fn draw_list_faults(&mut self, rng: &mut fastrand::Rng) {
        for server in 1..self.servers {
            let at = 500.0 + rng.f64() * self.duration * 0.7;
            if rng.f64() < 0.25 {
                self.faults.push((at, Fault::Remove(server)));
            }
        }
        if rng.bool() {
            let at = rng.f64() * self.duration * 0.6;
            self.faults.push((at, Fault::NameServiceSilent(true)));
            self.faults.push((at + 500.0 + 4_000.0 * rng.f64(), Fault::NameServiceSilent(false)));
        }
    }
}

impl RequestClass {
    fn draw(rng: &mut fastrand::Rng) -> RequestClass {
        let deadline = [300.0, 500.0, 1_000.0, 2_000.0, 3_000.0, 5_000.0][rng.usize(..6)];
        let repeat = ["repeatable", "once", "by_key"][rng.usize(..3)];
        RequestClass { deadline, start_target: deadline * (0.2 + 0.3 * rng.f64()), repeat }
    }
}
