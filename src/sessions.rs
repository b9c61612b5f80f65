//! The sessions of one front: requests not yet answered, pending SETUPs and playing sessions.
use crate::api::Holders;
use crate::ids::{GroupIndex, Ms, ServerId, SessionId, TitleId};
use crate::past_setups::PastSetup;
use crate::settings::PolicySettings;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request and the session that it becomes.
#[derive(Debug, Clone)]
pub struct Session {
    pub group: GroupIndex,
    pub title: TitleId,
    pub holders: Holders,
    /// The title's real rate at each rung, where it is known.
    pub rates_kb_per_s: Option<Arc<[f64]>>,
    /// Highest rung that the viewer can use.
    pub highest_rung: u8,
    pub arrived_at: Ms,
    /// When the viewer gives up, or the front has to have answered because it is being stopped.
    pub viewer_deadline: Ms,
    /// The current rung, or the group's lowest until a server is chosen.
    pub rung: u8,
    /// The server with its pending SETUP, or the one that plays it.
    pub server: Option<ServerId>,
    pub playing: bool,
    /// The viewer has its final answer; at most the outcome of a SETUP is still missing.
    pub answered: bool,
    /// SETUPs sent for this session.
    pub setup_count: u16,
    /// Servers whose SETUP failed.
    pub tried_servers: Vec<ServerId>,
    /// Those of `tried_servers` that answered with an error. It counts against them once another server plays
    /// the session.
    pub errored_servers: Vec<ServerId>,
    /// Servers that were probed for this session.
    pub probed_servers: Vec<ServerId>,
    /// The server whose probe answer the session is held for.
    pub awaited_probe: Option<ServerId>,
    /// When the last SETUP was sent.
    pub setup_sent_at: Ms,
    /// When the session started to play or last changed its rung while playing.
    pub rung_set_at: Ms,
    /// Rate before the last change of it.
    pub previous_kb_per_s: f64,
    /// When the rate last changed.
    pub rate_changed_at: Ms,
    /// The first SETUP that may have run.
    pub first_uncertain_setup: Option<PastSetup>,
    /// When a held session is to be placed again.
    pub held_until: Option<Ms>,
}

impl Session {
    /// Load on a link at a rung, in kB a second: the title's real rate where it is known, else the ladder's.
    pub fn rate(&self, settings: &PolicySettings, rung: u8) -> f64 {
        match &self.rates_kb_per_s {
            Some(rates) => rates[rung as usize] * settings.service_groups[self.group.0 as usize].rate_scale,
            None => settings.ladder_rate(self.group, rung),
        }
    }
}

/// Load that a front's own sessions put on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    pub streams: f64,
    pub kb_per_s: f64,
}

/// All sessions of a front by id.
#[derive(Debug, Default)]
pub struct SessionTable {
    pub sessions: BTreeMap<SessionId, Session>,
}

impl SessionTable {
    /// Load on each server from sessions that play there or have a SETUP pending there.
    pub fn loads(&self, settings: &PolicySettings) -> BTreeMap<ServerId, Load> {
        let mut loads: BTreeMap<ServerId, Load> = BTreeMap::new();
        for s in self.sessions.values() {
            if let Some(server) = s.server {
                let load = loads.entry(server).or_default();
                load.streams += 1.0;
                load.kb_per_s += s.rate(settings, s.rung);
            }
        }
        loads
    }

    /// Growth of the selected sessions' load since the given time, in kB a second.
    pub fn growth_since(
        &self,
        settings: &PolicySettings,
        selected: impl Fn(&Session) -> bool,
        since: Ms,
    ) -> f64 {
        let changed = self.sessions.values().filter(|s| s.rate_changed_at > since && selected(s));
        changed.map(|s| s.rate(settings, s.rung) - s.previous_kb_per_s).sum()
    }

    /// Number of sessions of one title and service group, including those with a pending SETUP.
    pub fn title_session_count(&self, title: TitleId, group: GroupIndex) -> u32 {
        let same = |s: &&Session| s.server.is_some() && s.title == title && s.group == group;
        self.sessions.values().filter(same).count() as u32
    }
}
