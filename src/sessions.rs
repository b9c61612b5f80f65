//! The sessions that a front has in hand: requests not yet answered, SETUPs out, sessions playing.
use crate::api::Holders;
use crate::ids::{GroupIndex, Ms, ServerId, SessionId, TitleId};
use crate::settings::PolicySettings;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Debug, Clone)]
pub struct Session {
    pub group: GroupIndex,
    pub title: TitleId,
    pub holders: Holders,
    pub rates_kb_per_s: Option<Arc<[f64]>>,
    /// Highest rung that the viewer can use.
    pub highest_rung: u8,
    pub arrived_at: Ms,
    /// When the viewer gives up.
    pub viewer_deadline: Ms,
    pub rung: u8,
    /// Where its SETUP is out or it plays.
    pub server: Option<ServerId>,
    pub playing: bool,
    /// Its final answer is given; only the outcome of a SETUP is still to come.
    pub answered: bool,
    pub setup_count: u16,
    /// Servers that did not take it.
    pub tried_servers: Vec<ServerId>,
    /// Those of them that erred: judged once another one takes it.
    pub errored_servers: Vec<ServerId>,
    /// Servers that were probed for it.
    pub probed_servers: Vec<ServerId>,
    /// The one of them whose answer it is held for.
    pub awaited_probe: Option<ServerId>,
    pub setup_sent_at: Ms,
    /// Last change of rung while playing, or the start.
    pub rung_set_at: Ms,
    /// Its rate before the last change of it, and when that was.
    pub previous_kb_per_s: f64,
    pub rate_changed_at: Ms,
    /// The first SETUP that may have run: where, and when it was sent.
    pub first_uncertain_setup: Option<(ServerId, Ms)>,
    /// When to ask again, while it is held.
    pub held_until: Option<Ms>,
}

impl Session {
    /// What it asks of a link at a rung, in kB a second: by its title's true rates, else by the ladder.
    pub fn rate(&self, terms: &PolicySettings, rung: u8) -> f64 {
        match &self.rates_kb_per_s {
            Some(rates) => rates[rung as usize] * terms.service_groups[self.group.0 as usize].rate_scale,
            None => terms.ladder_rate(self.group, rung),
        }
    }
}

/// Streams and load, in kB a second, that a front's own sessions put on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    pub streams: f64,
    pub kb_per_s: f64,
}

#[derive(Debug, Default)]
pub struct SessionTable {
    pub sessions: BTreeMap<SessionId, Session>,
}

impl SessionTable {
    /// What the sessions in hand ask of each server.
    pub fn loads(&self, terms: &PolicySettings) -> BTreeMap<ServerId, Load> {
        let mut sums: BTreeMap<ServerId, Load> = BTreeMap::new();
        for s in self.sessions.values() {
            if let Some(at) = s.server {
                let sum = sums.entry(at).or_default();
                sum.streams += 1.0;
                sum.kb_per_s += s.rate(terms, s.rung);
            }
        }
        sums
    }

    /// How much more these sessions ask now than they did at an earlier time.
    pub fn growth_since(&self, terms: &PolicySettings, of: impl Fn(&Session) -> bool, then: Ms) -> f64 {
        let late = self.sessions.values().filter(|s| s.rate_changed_at > then && of(s));
        late.map(|s| s.rate(terms, s.rung) - s.previous_kb_per_s).sum()
    }

    /// Sessions of one title and service group, SETUPs still out included.
    pub fn sessions_of_title(&self, title: TitleId, group: GroupIndex) -> u32 {
        let same = |s: &&Session| s.server.is_some() && s.title == title && s.group == group;
        self.sessions.values().filter(same).count() as u32
    }
}
