//! The sessions that a front has in hand: requests not yet answered, SETUPs out, sessions playing.
use crate::ids::{GroupNo, Ms, ServerId, SessId, TitleId};
use crate::interface::Holders;
use crate::terms::Terms;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Debug, Clone)]
pub struct Sess {
    pub group: GroupNo,
    pub title: TitleId,
    pub holders: Holders,
    pub rates: Option<Arc<[f64]>>,
    /// Highest rung that the viewer can use.
    pub top: u8,
    pub came: Ms,
    /// When the viewer gives up.
    pub until: Ms,
    pub rung: u8,
    /// Where its SETUP is out or it plays.
    pub at: Option<ServerId>,
    pub playing: bool,
    /// Its final answer is given; only the outcome of a SETUP is still to come.
    pub answered: bool,
    pub setups: u16,
    /// Servers that did not take it.
    pub tried: Vec<ServerId>,
    /// Those of them that erred: judged once another one takes it.
    pub erred: Vec<ServerId>,
    /// Servers that were probed for it.
    pub asked: Vec<ServerId>,
    /// The one of them whose answer it is held for.
    pub asking: Option<ServerId>,
    pub sent: Ms,
    /// Last change of rung while playing, or the start.
    pub stepped: Ms,
    /// Its rate before the last change of it, and when that was.
    pub was_kb: f64,
    pub changed: Ms,
    /// The first SETUP that may have run: where, and when it was sent.
    pub may_have_run: Option<(ServerId, Ms)>,
    /// When to ask again, while it is held.
    pub held_until: Option<Ms>,
}

impl Sess {
    /// What it asks of a link at a rung, in kB a second: by its title's true rates, else by the ladder.
    pub fn rate(&self, terms: &Terms, rung: u8) -> f64 {
        match &self.rates {
            Some(rates) => rates[rung as usize] * terms.groups[self.group.0 as usize].scale,
            None => terms.rate(self.group, rung),
        }
    }
}

/// Streams and load, in kB a second, that a front's own sessions put on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    pub streams: f64,
    pub kb: f64,
}

#[derive(Debug, Default)]
pub struct Hand {
    pub sess: BTreeMap<SessId, Sess>,
}

impl Hand {
    /// What the sessions in hand ask of each server.
    pub fn loads(&self, terms: &Terms) -> BTreeMap<ServerId, Load> {
        let mut sums: BTreeMap<ServerId, Load> = BTreeMap::new();
        for s in self.sess.values() {
            if let Some(at) = s.at {
                let sum = sums.entry(at).or_default();
                sum.streams += 1.0;
                sum.kb += s.rate(terms, s.rung);
            }
        }
        sums
    }

    /// How much more these sessions ask now than they did at an earlier time.
    pub fn grown_since(&self, terms: &Terms, of: impl Fn(&Sess) -> bool, then: Ms) -> f64 {
        let late = self.sess.values().filter(|s| s.changed > then && of(s));
        late.map(|s| s.rate(terms, s.rung) - s.was_kb).sum()
    }

    /// Sessions of one title and service group, SETUPs still out included.
    pub fn seated(&self, title: TitleId, group: GroupNo) -> u32 {
        let same = |s: &&Sess| s.at.is_some() && s.title == title && s.group == group;
        self.sess.values().filter(same).count() as u32
    }
}
