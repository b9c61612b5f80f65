//! A catalogue of a rehearsal's titles, and what it brings: the same day with each use of it.
use crate::fleet::BoxSettings;
use crate::publisher::Publisher;
use crate::runner::run_script;
use crate::script::Script;
use crate::viewers::Title;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use walnutline::ids::{RackId, ServerId};
use walnutline_catalogue::change;
use walnutline_catalogue::packed_title::PackedTitle;
use walnutline_catalogue::version::{BoxState, VersionBuilder};

/// What fronts make of a catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum CatalogueUse {
    None,
    /// Titles' true rates alone.
    Rates,
    /// News of holders asked for ahead alone.
    News,
    All,
}

impl CatalogueUse {
    /// Publishes the titles, where any use is made of them; returns where.
    pub fn publish(
        self,
        script: &Script,
        kind: &BoxSettings,
        titles: &[Title],
        factors: &BTreeMap<String, f64>,
    ) -> Result<Option<SocketAddr>, String> {
        if self == CatalogueUse::None {
            return Ok(None);
        }
        let groups = crate::deployment::audit_settings().groups.into_iter().map(|g| g.name).collect();
        let mut b = VersionBuilder::new(1, groups, None)?;
        for n in 0..script.boxes {
            b.add_box(BoxState { server: ServerId(n), gone: false, rack: Some(RackId(n % script.racks)) });
        }
        for t in titles {
            let mut holders: Vec<ServerId> = t.holders.iter().copied().map(ServerId).collect();
            holders.sort_unstable();
            let factor = factors.get(&t.name).copied().unwrap_or(1.0);
            let rates = kind.rung_kb_per_s.iter().map(|kb| (kb * factor) as f32).collect();
            let title =
                change::Title { name: t.name.clone(), rates, group_mask: 3, duration_ms: 60_000, holders };
            b.add_title(PackedTitle::new(&title)?)?;
        }
        let (_, address) = Publisher::start(b.finish()).map_err(|e| format!("the publisher: {e}"))?;
        Ok(Some(address))
    }

    /// The line of a front's document.
    pub fn config_node(self, source: SocketAddr, front: u32) -> String {
        let each = if matches!(self, CatalogueUse::News | CatalogueUse::All) { 0.3 } else { 0.0 };
        let rates = matches!(self, CatalogueUse::Rates | CatalogueUse::All);
        format!(
            "catalogue folder=\"catalogue-{front}\" source=\"http://{source}/c\" probes-each={each} \
             probes-saved=10 news-old=1500 rates={rates}\n"
        )
    }
}

/// Plays a day on several seeds with each use of a catalogue, in turn, and tells the service of each.
pub fn compare_uses(script: &Script, seeds: u64) -> Result<(), String> {
    const USES: [CatalogueUse; 4] =
        [CatalogueUse::None, CatalogueUse::Rates, CatalogueUse::News, CatalogueUse::All];
    let mut service: Vec<Vec<f64>> = vec![Vec::new(); USES.len()];
    let mut breaks = 0;
    println!("seed        service, SETUPs, delivered share of each use of a catalogue");
    for seed in script.seed..script.seed + seeds {
        for (n, with) in USES.into_iter().enumerate() {
            let v = run_script(Script { seed, ..script.clone() }, None, false, with)?;
            println!(
                "{seed:4}  {with:?}  {:.3}  {}  {:.3}  median to play {:.1} ms, p99 {:.1} ms",
                v.service, v.setups, v.mean_delivered_share, v.startup_ms.0, v.startup_ms.1
            );
            v.violations.iter().for_each(|b| println!("rule {} broken: {}", b.rule, b.description));
            breaks += v.violations.len();
            service[n].push(v.service);
        }
    }
    for (with, of) in USES.into_iter().zip(&mut service) {
        of.sort_by(f64::total_cmp);
        let (least, most) = (of[0], of[of.len() - 1]);
        println!("{with:?}: service median {:.3}, {least:.3} to {most:.3}", of[of.len() / 2]);
    }
    match breaks {
        0 => Ok(()),
        n => Err(format!("{n} breaks of rules")),
    }
}
