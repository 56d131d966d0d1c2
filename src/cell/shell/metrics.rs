//! Prometheus metrics of an instance.

use std::{
    cell::RefCell,
    sync::atomic::AtomicU64,
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
        gauge::Gauge,
        histogram::{
            Histogram,
            exponential_buckets, //
        }, //
    },
    registry::Registry, //
};

use crate::{
    cell::{
        access::Denied,
        engine::{
            crashes::Evidence,
            incarnations::Sign,
            losses::Loss, //
        },
        neighbours::Neighbours, //
    },
    malformed::{
        self,
        List, //
    },
    program,
    remote::uplink::Uplink, //
};

use super::{
    guard,
    organisations,
    peer::Outcome, //
};

/// Upper bound of the histograms' first bucket, in seconds: half a millisecond is below any round
/// trip.
const SMALLEST_BUCKET_S: f64 = 0.000_5;

/// Number of buckets; each bound is twice the one before, up to about a minute.
const BUCKETS: u16 = 17;

/// Lists that an instance of the cell reads.
const LISTS: [List; 6] = [
    List::Registrations,
    List::Records,
    List::Items,
    List::Reports,
    List::Permits,
    List::Configuration,
];

/// Labels of the responses to callers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// HTTP method of the request, in lower case.
    pub method: &'static str,
    /// Outcome of the request.
    pub outcome: &'static str,
}

/// Labels of the runs that ended without an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LossLabels {
    /// Why the run counts as over.
    pub reason: &'static str,
}

/// Labels of the crashes of workers, counted for each task that was there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CrashLabels {
    /// What the crash means for the task.
    pub evidence: &'static str,
}

/// Labels of the workers that have started again under their ids.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RestartLabels {
    /// What showed it.
    pub sign: &'static str,
}

/// Labels of the requests that were not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DeniedLabels {
    /// Why the request was not admitted.
    pub reason: &'static str,
}

/// Labels of the copies of submissions that were not taken.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LateCopyLabels {
    /// Why the copy was not taken.
    pub cause: &'static str,
}

/// Why a copy of a submission is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateCopy {
    /// Another copy of the request was refused.
    Refused,
    /// The copy is meant for the owner of another term.
    Term,
}

impl LateCopy {
    /// Name of the cause in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            LateCopy::Refused => "refused",
            LateCopy::Term => "term",
        }
    }
}

/// Labels of the pairs of kinds of tasks that are known to interfere: at most 512, of 64 kinds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PairLabels {
    /// Kind that is slowed down.
    pub slowed: String,
    /// Kind that slows it down.
    pub beside: String,
}

/// All metrics of the process.
pub struct Metrics {
    registry: RefCell<Registry>,
    answers: Family<AnswerLabels, Counter>,
    latency: Family<AnswerLabels, Histogram>,
    /// Start requests sent to workers.
    pub starts: Counter,
    /// Stop requests sent to workers.
    pub stops: Counter,
    /// Report requests sent to workers.
    pub reports: Counter,
    /// Appends sent to the store.
    pub appends: Counter,
    /// Terms that this process has begun as owner.
    pub terms: Counter,
    /// Workers that do not answer, as this process knows them in its own term.
    pub silent_workers: Gauge,
    /// Workers for whose runs of earlier owners the owner waits.
    pub unanswered_workers: Gauge,
    /// Workers that the owner has cordoned.
    pub cordoned_workers: Gauge,
    /// Workers to which connections may be open.
    pub open_workers: Gauge,
    losses: Family<LossLabels, Counter>,
    denied: Family<DeniedLabels, Counter>,
    late_copies: Family<LateCopyLabels, Counter>,
    crashes: Family<CrashLabels, Counter>,
    restarts: Family<RestartLabels, Counter>,
    /// Tasks that wait to run alone because workers have crashed under them.
    pub waiting_trials: Gauge,
    /// Tasks whose suspicion ended with the wave of crashes that explains it.
    pub released_suspects: Counter,
    /// Queues that are placed with caution because their starts crash workers.
    pub careful_queues: Gauge,
    /// Figures of the organisations.
    pub organisations: organisations::Families,
    slowdowns: Family<PairLabels, Gauge<f64, AtomicU64>>,
    moves: Counter,
    storing: Histogram,
    /// Limits on clients, and what they have in use.
    pub limits: guard::Counters,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET_S, 2.0, BUCKETS))
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted => "accepted",
        Outcome::Refused(_) => "refused",
        Outcome::Overloaded(_) => "overloaded",
        Outcome::Invalid(_) => "invalid",
        Outcome::Unknown => "unknown",
        Outcome::State(_) => "state",
        Outcome::Gone => "gone",
        Outcome::Waiting(_) => "waiting",
        Outcome::Elsewhere => "elsewhere",
        Outcome::Interrupted => "interrupted",
    }
}

fn method_label(method: &Method) -> &'static str {
    match *method {
        Method::GET => "get",
        Method::POST => "post",
        Method::DELETE => "delete",
        _ => "other",
    }
}

impl Metrics {
    /// Creates the metrics with all values at zero, under the prefix `bamboolock_cell`.
    #[must_use]
    pub fn new(uplink: &Uplink) -> Self {
        let metrics = Self {
            registry: RefCell::new(Registry::with_prefix("bamboolock_cell")),
            answers: Family::default(),
            latency: Family::new_with_constructor(histogram),
            starts: Counter::default(),
            stops: Counter::default(),
            reports: Counter::default(),
            appends: Counter::default(),
            terms: Counter::default(),
            silent_workers: Gauge::default(),
            unanswered_workers: Gauge::default(),
            cordoned_workers: Gauge::default(),
            open_workers: Gauge::default(),
            losses: Family::default(),
            denied: Family::default(),
            late_copies: Family::default(),
            crashes: Family::default(),
            restarts: Family::default(),
            waiting_trials: Gauge::default(),
            released_suspects: Counter::default(),
            careful_queues: Gauge::default(),
            organisations: organisations::Families::default(),
            slowdowns: Family::default(),
            moves: Counter::default(),
            storing: histogram(),
            limits: guard::Counters::default(),
        };
        metrics.register();
        metrics.limits.register(&mut metrics.registry.borrow_mut());
        uplink.register(&mut metrics.registry.borrow_mut());
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
            "Time to answer a caller's request",
            self.latency.clone(),
        );
        registry.register("starts", "Start requests to workers", self.starts.clone());
        registry.register("stops", "Stop requests to workers", self.stops.clone());
        registry.register(
            "reports",
            "Report requests to workers",
            self.reports.clone(),
        );
        registry.register("appends", "Appends sent to the store", self.appends.clone());
        registry.register("terms", "Terms begun as owner", self.terms.clone());
        registry.register(
            "silent_workers",
            "Workers that do not answer the owner",
            self.silent_workers.clone(),
        );
        registry.register(
            "unanswered_workers",
            "Workers that may hold runs of earlier owners and have not reported",
            self.unanswered_workers.clone(),
        );
        registry.register(
            "cordoned_workers",
            "Silent workers whose record says what may run there",
            self.cordoned_workers.clone(),
        );
        registry.register(
            "open_workers",
            "Workers to which connections may be open",
            self.open_workers.clone(),
        );
        registry.register(
            "losses",
            "Runs presumed over without an outcome from their worker",
            self.losses.clone(),
        );
        registry.register(
            "denied",
            "Callers' requests that were not admitted, by reason",
            self.denied.clone(),
        );
        registry.register(
            "late_copies",
            "Copies of submissions that were not taken, by cause",
            self.late_copies.clone(),
        );
        registry.register(
            "crashes",
            "Tasks that were on a worker when it crashed, by evidence",
            self.crashes.clone(),
        );
        registry.register(
            "restarts",
            "Workers that have started again under their ids, by what showed it",
            self.restarts.clone(),
        );
        registry.register(
            "waiting_trials",
            "Tasks that wait to run alone because workers have crashed under them",
            self.waiting_trials.clone(),
        );
        registry.register(
            "released_suspects",
            "Tasks whose suspicion ended with the wave of crashes that explains it",
            self.released_suspects.clone(),
        );
        registry.register(
            "careful_queues",
            "Queues that are placed with caution because their starts crash workers",
            self.careful_queues.clone(),
        );
        self.organisations.register(&mut registry);
        registry.register(
            "neighbour_slowdown",
            "Run time of a kind of task beside another one, relative to that without it",
            self.slowdowns.clone(),
        );
        registry.register(
            "neighbour_moves",
            "Tasks placed on another worker to keep them apart from others",
            self.moves.clone(),
        );
        registry.register(
            "storing_seconds",
            "Time to commit a batch",
            self.storing.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because of a slow reader",
            program::dropped_lines(),
        );
        registry.register(
            "malformed_entries",
            "Malformed entries ignored, by list",
            malformed::counts(&LISTS),
        );
    }

    /// Records a response to a caller.
    pub fn observe_answer(&self, method: &Method, outcome: &Outcome, took: Duration) {
        let label = AnswerLabels {
            method: method_label(method),
            outcome: outcome_label(outcome),
        };
        self.answers.get_or_create(&label).inc();
        self.latency
            .get_or_create(&label)
            .observe(took.as_secs_f64());
    }

    /// Counts a run that ended without an outcome.
    pub fn count_loss(&self, loss: Loss) {
        let label = LossLabels {
            reason: loss.label(),
        };
        self.losses.get_or_create(&label).inc();
    }

    /// Counts a request that was not admitted.
    pub fn count_denied(&self, denied: Denied) {
        let label = DeniedLabels {
            reason: denied.label(),
        };
        self.denied.get_or_create(&label).inc();
    }

    /// Counts a copy of a submission that was not taken.
    pub fn count_late_copy(&self, late: LateCopy) {
        let label = LateCopyLabels {
            cause: late.label(),
        };
        self.late_copies.get_or_create(&label).inc();
    }

    /// Counts a crash of a worker against a task.
    pub fn count_crash(&self, evidence: Evidence) {
        let label = CrashLabels {
            evidence: evidence.label(),
        };
        self.crashes.get_or_create(&label).inc();
    }

    /// Counts a worker that has started again.
    pub fn count_restart(&self, sign: Sign) {
        let label = RestartLabels { sign: sign.label() };
        self.restarts.get_or_create(&label).inc();
    }

    /// Records the pairs of kinds of tasks that are known to interfere, and the placements that they
    /// changed.
    pub fn record_neighbours(&self, neighbours: &mut Neighbours) {
        self.moves.inc_by(neighbours.take_moves());
        let Some(pairs) = neighbours.take_changed() else {
            return;
        };
        self.slowdowns.clear();
        for pair in pairs {
            let label = PairLabels {
                slowed: pair.slowed.into(),
                beside: pair.by.into(),
            };
            let gauge = self.slowdowns.get_or_create(&label);
            gauge.set(pair.difference.ratio);
        }
    }

    /// Forgets the pairs of a term that is over.
    pub fn clear_neighbours(&self) {
        self.slowdowns.clear();
    }

    /// Records the time that a batch took to commit.
    pub fn observe_commit(&self, took: Duration) {
        self.storing.observe(took.as_secs_f64());
    }

    /// Encodes the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry.borrow()) {
            Ok(()) => out,
            Err(e) => format!("# {e}\n"),
        }
    }
}
