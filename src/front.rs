//! The state of one front, and the plain recording of news that calls for no decision.
use crate::fleet::{Fleet, Listed, Listing, Server};
use crate::hand::{Hand, Sess};
use crate::ids::{Ms, ServerId, SessId};
use crate::interface::Request;
use crate::terms::Terms;
use std::collections::VecDeque;

/// What the other fronts are taken to carry on a server on average, as of the last time it was reckoned.
#[derive(Debug, Default)]
pub struct Stock {
    pub streams: f64,
    /// Their load by what this front carries itself, in kB a second.
    pub kb: f64,
    /// Their use of a link by what was heard.
    pub link: Option<f64>,
    /// What they have added lately, unseen as yet.
    pub surge_kb: f64,
}

pub struct Front {
    pub terms: Terms,
    pub fleet: Fleet,
    pub rng: fastrand::Rng,
    pub born: Ms,
    /// The time of the last call.
    pub clock: Ms,
    /// When requests were taken and further SETUPs sent, as far back as the budget looks.
    pub taken: VecDeque<Ms>,
    pub further: VecDeque<Ms>,
    /// Changes of rung and log lines that are still to be handed out.
    pub stock: Stock,
    pub rungs: Vec<(SessId, u8)>,
    /// Probes to send, and the one that the session in hand waits for.
    pub probes: Vec<ServerId>,
    pub asking: Option<ServerId>,
    /// What probes have cost beyond what the sessions so far pay for them.
    pub probe_debt: f64,
    /// Requests taken since this front last told its news, and the servers asked for the next time, since when.
    pub untold: Option<f64>,
    pub telling: Option<(Vec<ServerId>, Ms)>,
    /// When the list is asked for next, once that is settled, and calls for it that failed in a row.
    pub list_at: Option<Ms>,
    pub list_fails: i32,
    pub log: Vec<String>,
}

impl Front {
    pub fn new(terms: Terms, seed: u64, now: Ms) -> Self {
        Front {
            terms,
            fleet: Fleet::default(),
            rng: fastrand::Rng::with_seed(seed),
            born: now,
            clock: now,
            taken: VecDeque::new(),
            further: VecDeque::new(),
            stock: Stock::default(),
            rungs: Vec::new(),
            probes: Vec::new(),
            asking: None,
            probe_debt: 0.0,
            untold: None,
            telling: None,
            list_at: None,
            list_fails: 0,
            log: Vec::new(),
        }
    }

    /// One line of the list. A new start makes it a new process: nothing known of the old one counts.
    pub fn listed(&mut self, line: Listed) {
        match self.fleet.servers.get_mut(&line.id) {
            Some(s) if s.listed.started == line.started => {
                s.largest = s.largest.max(line.weight);
                s.listed = line;
            }
            Some(s) => {
                let sent_cold = std::mem::take(&mut s.sent_cold);
                *s = Server { sent_cold, ..Server::new(line) };
            }
            None => {
                self.fleet.servers.insert(line.id, Server::new(line));
            }
        }
    }

    /// The complete list: what it leaves out is gone.
    pub fn listed_all(&mut self, lines: Vec<Listed>) {
        for s in self.fleet.servers.values_mut() {
            s.listed.listing = Listing::Gone;
        }
        for line in lines {
            self.listed(line);
        }
    }

    /// A request was taken.
    pub fn taken(&mut self, hand: &mut Hand, id: SessId, r: Request, now: Ms) {
        if self.terms.budget.is_some() {
            self.taken.push_back(now);
        }
        self.untold = self.untold.map(|n| n + 1.0);
        hand.sess.insert(id, self.session(r, now));
    }

    /// A session that was under way when the front started.
    pub fn under_way(&mut self, hand: &mut Hand, id: SessId, r: Request, server: ServerId, now: Ms) {
        let s = self.session(r, now);
        hand.sess.insert(id, Sess { at: Some(server), playing: true, answered: true, setups: 1, ..s });
    }

    fn session(&mut self, r: Request, now: Ms) -> Sess {
        let g = &self.terms.groups[r.group.0 as usize];
        self.probe_debt -= 1.0;
        Sess {
            group: r.group,
            title: r.title,
            holders: r.holders,
            // Rates that do not fit the ladder tell nothing of its rungs.
            rates: r.rates.filter(|kb| kb.len() == self.terms.rung_kb.len()),
            top: r.top.min(g.top).max(g.floor),
            came: now,
            until: now + r.left,
            rung: g.floor,
            at: None,
            playing: false,
            answered: false,
            setups: 0,
            tried: Vec::new(),
            erred: Vec::new(),
            asked: Vec::new(),
            asking: None,
            sent: now,
            stepped: Ms::NEG_INFINITY,
            was_kb: 0.0,
            changed: Ms::NEG_INFINITY,
            may_have_run: None,
            held_until: None,
        }
    }

    /// The rung in force of a session.
    pub fn rung_told(&mut self, hand: &mut Hand, id: SessId, rung: u8) {
        if let Some(s) = hand.sess.get_mut(&id) {
            s.rung = rung.min(self.terms.rung_kb.len() as u8 - 1);
        }
    }

    /// The viewer left before an answer.
    pub fn left(&mut self, hand: &mut Hand, id: SessId) {
        if let Some(s) = hand.sess.get_mut(&id) {
            (s.answered, s.held_until) = (true, None);
            if s.at.is_none() {
                hand.sess.remove(&id);
            }
        }
    }
}
