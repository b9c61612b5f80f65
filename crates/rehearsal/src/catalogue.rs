//! The catalogue of a rehearsal's titles, and the comparison of its uses: the same script run with each of them.
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

/// How fronts use a catalogue. The comparison prints the `Debug` form: renaming a variant changes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum CatalogueUse {
    /// Not at all.
    None,
    /// Only for the true rates of titles.
    Rates,
    /// Only for load probes of the holders ahead of requests.
    News,
    /// For rates and probes.
    All,
}

impl CatalogueUse {
    /// Publishes the titles unless the catalogue is not used; returns the address of the publisher.
    pub fn publish(
        self,
        script: &Script,
        box_settings: &BoxSettings,
        titles: &[Title],
        factors: &BTreeMap<String, f64>,
    ) -> Result<Option<SocketAddr>, String> {
        if self == CatalogueUse::None {
            return Ok(None);
        }
        let groups = crate::deployment::audit_settings().groups.into_iter().map(|g| g.name).collect();
        let mut builder = VersionBuilder::new(1, groups, None)?;
        for server in 0..script.boxes {
            builder.add_box(BoxState {
                server: ServerId(server),
                gone: false,
                rack: Some(RackId(server % script.racks)),
            });
        }
        for t in titles {
            let mut holders: Vec<ServerId> = t.holders.iter().copied().map(ServerId).collect();
            holders.sort_unstable();
            let factor = factors.get(&t.name).copied().unwrap_or(1.0);
            let rates = box_settings.rung_kb_per_s.iter().map(|rate| (rate * factor) as f32).collect();
            let title =
                change::Title { name: t.name.clone(), rates, group_mask: 3, duration_ms: 60_000, holders };
            builder.add_title(PackedTitle::new(&title)?)?;
        }
        let (_, address) = Publisher::start(builder.finish()).map_err(|e| format!("publisher: {e}"))?;
        Ok(Some(address))
    }

    /// The `catalogue` node of a front's configuration document.
    pub fn config_node(self, source: SocketAddr, front: u32) -> String {
        let probes_per_request =
            if matches!(self, CatalogueUse::News | CatalogueUse::All) { 0.3 } else { 0.0 };
        let rates = matches!(self, CatalogueUse::Rates | CatalogueUse::All);
        format!(
            "catalogue folder=\"catalogue-{front}\" source=\"http://{source}/c\" probes-each={probes_per_request} \
             probes-saved=10 news-old=1500 rates={rates}\n"
        )
    }
}

/// Runs a script on several seeds with each use of a catalogue, and prints the service of each.
pub fn compare_uses(script: &Script, seeds: u64) -> Result<(), String> {
    const USES: [CatalogueUse; 4] =
        [CatalogueUse::None, CatalogueUse::Rates, CatalogueUse::News, CatalogueUse::All];
    let mut service: Vec<Vec<f64>> = vec![Vec::new(); USES.len()];
    let mut violation_count = 0;
    println!("seed        service, SETUPs, delivered share of each use of a catalogue");
    for seed in script.seed..script.seed + seeds {
        for (index, catalogue_use) in USES.into_iter().enumerate() {
            let verdict = run_script(Script { seed, ..script.clone() }, None, false, catalogue_use)?;
            println!(
                "{seed:4}  {catalogue_use:?}  {:.3}  {}  {:.3}  median to play {:.1} ms, p99 {:.1} ms",
                verdict.service,
                verdict.setups,
                verdict.mean_delivered_share,
                verdict.startup_ms.0,
                verdict.startup_ms.1
            );
            verdict
                .violations
                .iter()
                .for_each(|violation| println!("rule {} broken: {}", violation.rule, violation.description));
            violation_count += verdict.violations.len();
            service[index].push(verdict.service);
        }
    }
    for (catalogue_use, values) in USES.into_iter().zip(&mut service) {
        values.sort_by(f64::total_cmp);
        let (least, greatest) = (values[0], values[values.len() - 1]);
        println!(
            "{catalogue_use:?}: service median {:.3}, {least:.3} to {greatest:.3}",
            values[values.len() / 2]
        );
    }
    match violation_count {
        0 => Ok(()),
        n => Err(format!("{n} rule violations")),
    }
}
