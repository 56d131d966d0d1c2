//! Carries the organisations of the configuration to the engine, and their figures to the metrics.

use std::cell::{
    Cell,
    RefCell, //
};

use compact_str::CompactString;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry, //
};

use crate::cell::{
    engine::Engine,
    shares::Stats, //
};

use super::Shared;

/// Maximum number of organisations with figures of their own.
const MAX_LABELS: usize = 199;

/// Label of all other organisations.
const OTHERS: &str = "_other";

/// Passes the age of the configuration to the engine, and its organisations if its version is not
/// `configured`.
pub fn update(shared: &Shared, engine: &mut Engine, configured: &Cell<Option<u64>>) {
    let catalog = shared.catalog.borrow();
    let Some(catalog) = catalog.as_ref() else {
        return;
    };
    if configured.get() != Some(catalog.version) {
        configured.set(Some(catalog.version));
        engine.set_organisations(&catalog.organisations);
    }
    engine.set_catalog_proven_at(shared.catalog_proven_at.get());
}

/// Labels of the figures of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    /// Name of the organisation; empty for the jobs without one.
    pub organisation: String,
}

/// Figures of the organisations. The gauges are those of the owner.
#[derive(Debug, Default)]
pub struct Families {
    /// Organisations with figures of their own, sorted.
    labels: RefCell<Vec<CompactString>>,
    running: Family<Labels, Gauge>,
    waiting: Family<Labels, Gauge>,
    withheld: Family<Labels, Gauge>,
    placed: Family<Labels, Counter>,
    refused: Family<Labels, Counter>,
}

impl Families {
    /// Registers the figures.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "organisation_running_millicores",
            "CPU that the runs of an organisation take",
            self.running.clone(),
        );
        registry.register(
            "organisation_waiting_steps",
            "Steps of an organisation with tasks that wait",
            self.waiting.clone(),
        );
        registry.register(
            "organisation_withheld_tasks",
            "Tasks that the cap of their organisation keeps from starting",
            self.withheld.clone(),
        );
        registry.register(
            "organisation_placed_tasks",
            "Tasks of an organisation that were placed",
            self.placed.clone(),
        );
        registry.register(
            "organisation_refused_jobs",
            "Jobs refused because their organisation has too much work waiting",
            self.refused.clone(),
        );
    }

    /// Label of an organisation.
    fn label(&self, name: &str) -> Labels {
        let mut labels = self.labels.borrow_mut();
        let at = labels.binary_search_by(|label| label.as_str().cmp(name));
        let own = at.is_ok() || labels.len() < MAX_LABELS;
        if let (Err(at), true) = (at, own) {
            labels.insert(at, name.into());
        }
        Labels {
            organisation: if own { name } else { OTHERS }.to_owned(),
        }
    }

    /// Sets the figures; the counts are those since the last call.
    pub fn set(&self, stats: &[Stats]) {
        self.clear();
        for entry in stats {
            let label = self.label(&entry.name);
            let running = i64::try_from(entry.running).unwrap_or(i64::MAX);
            self.running.get_or_create(&label).inc_by(running);
            let waiting = i64::from(entry.waiting);
            self.waiting.get_or_create(&label).inc_by(waiting);
            let withheld = i64::from(entry.withheld);
            self.withheld.get_or_create(&label).inc_by(withheld);
            self.placed.get_or_create(&label).inc_by(entry.placed);
            self.refused.get_or_create(&label).inc_by(entry.refused);
        }
    }

    /// Removes the gauges, which mean nothing when this instance is not the owner.
    pub fn clear(&self) {
        self.running.clear();
        self.waiting.clear();
        self.withheld.clear();
    }
}
