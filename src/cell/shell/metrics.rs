//! Metrics of an instance.

use std::{
    cell::RefCell,
    time::Duration, //
};

use actix_http::Method;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{
            Histogram,
            exponential_buckets, //
        }, //
    },
    registry::Registry, //
};

use crate::program;

use super::peer::Outcome;

/// Smallest bucket of the histograms, in seconds: half a millisecond is below any round trip.
const LEAST: f64 = 0.000_5;

/// Buckets of the histograms, each twice the one before: up to about a minute.
const BUCKETS: u16 = 17;

/// What callers asked and got.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Answered {
    /// Method of the request.
    pub method: &'static str,
    /// What came of it.
    pub outcome: &'static str,
}

/// All metrics of the process.
pub struct Metrics {
    registry: RefCell<Registry>,
    answers: Family<Answered, Counter>,
    latency: Family<Answered, Histogram>,
    /// Orders to start.
    pub starts: Counter,
    /// Orders to stop.
    pub stops: Counter,
    /// Reports asked of workers.
    pub reports: Counter,
    /// Appends sent to the store.
    pub appends: Counter,
    /// Terms that this process began as owner.
    pub terms: Counter,
    storing: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(LEAST, 2.0, BUCKETS))
}

fn word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted => "accepted",
        Outcome::Refused(_) => "refused",
        Outcome::Invalid(_) => "invalid",
        Outcome::Unknown => "unknown",
        Outcome::State(_) => "state",
        Outcome::Gone => "gone",
        Outcome::Waiting(_) => "waiting",
        Outcome::Elsewhere => "elsewhere",
    }
}

fn verb(method: &Method) -> &'static str {
    match *method {
        Method::GET => "get",
        Method::POST => "post",
        Method::DELETE => "delete",
        _ => "other",
    }
}

impl Metrics {
    /// Metrics that are all zero, under the prefix `bamboolock_cell`.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            registry: RefCell::new(Registry::with_prefix("bamboolock_cell")),
            answers: Family::default(),
            latency: Family::new_with_constructor(seconds),
            starts: Counter::default(),
            stops: Counter::default(),
            reports: Counter::default(),
            appends: Counter::default(),
            terms: Counter::default(),
            storing: seconds(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.borrow_mut();
        registry.register(
            "answers",
            "Callers' requests by outcome",
            self.answers.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time to answer a caller",
            self.latency.clone(),
        );
        registry.register("starts", "Orders to start a task", self.starts.clone());
        registry.register("stops", "Orders to stop a task", self.stops.clone());
        registry.register("reports", "Reports asked of workers", self.reports.clone());
        registry.register("appends", "Appends sent to the store", self.appends.clone());
        registry.register("terms", "Terms begun as owner", self.terms.clone());
        registry.register(
            "storing_seconds",
            "Time to store a batch",
            self.storing.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines lost to a slow reader",
            program::dropped_lines(),
        );
    }

    /// Takes note of an answer to a caller.
    pub fn answered(&self, method: &Method, outcome: &Outcome, took: Duration) {
        let label = Answered {
            method: verb(method),
            outcome: word(outcome),
        };
        self.answers.get_or_create(&label).inc();
        self.latency
            .get_or_create(&label)
            .observe(took.as_secs_f64());
    }

    /// Takes note of a stored batch.
    pub fn stored(&self, took: Duration) {
        self.storing.observe(took.as_secs_f64());
    }

    /// The metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry.borrow()) {
            Ok(()) => out,
            Err(e) => format!("# {e}\n"),
        }
    }
}
