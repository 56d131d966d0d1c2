//! Metrics of the entry instance.

use std::{
    fmt,
    sync::{
        Mutex,
        atomic::AtomicU64, //
    }, //
};

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
    registry::{
        Registry,
        Unit, //
    }, //
};

use crate::{
    malformed,
    wire::caller::Code, //
};

/// Label of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Code of the refusal.
    pub code: String,
}

/// Label of metrics that are kept for each profile.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProfileLabels {
    /// Name of the profile.
    pub profile: String,
}

/// All metrics of the process.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Number of refused requests, by code.
    refusals: Family<RefusalLabels, Counter>,
    /// Number of requests with a response, by profile.
    pub answers: Family<ProfileLabels, Counter>,
    /// Seconds from arrival to the complete response, by profile.
    pub latency: Family<ProfileLabels, Histogram>,
    /// Seconds from arrival to the first dispatch.
    pub waits: Histogram,
    /// Number of exchanges that ended without a complete response.
    pub unknown: Counter,
    /// Number of connections to backend servers that broke in mid-exchange, by profile.
    broken: Family<ProfileLabels, Counter>,
    /// Number of tasks' attempts that ended with a crash of their worker, by profile.
    crashes: Family<ProfileLabels, Counter>,
    /// Number of attempts beyond the first: retries and hedged requests.
    pub repeats: Counter,
    /// Number of requests forwarded to another instance.
    pub forwards: Counter,
    /// Number of placement leases held.
    pub leases: Gauge,
    /// Number of requests waiting in the queue.
    pub queued: Gauge,
    /// Number of requests in progress.
    pub active: Gauge,
    /// Number of task claims that won in the log.
    pub claims: Counter,
    /// Number of task starts sent to workers.
    pub starts: Counter,
    /// First log offset that is not applied yet.
    pub offset: Gauge,
    /// Bytes of control messages sent to peers in other regions.
    pub remote_bytes: Counter<u64, AtomicU64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 2.0, 18))
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the metrics, all zero, registered under the prefix `bamboolock_entry`.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("bamboolock_entry")),
            refusals: Family::default(),
            answers: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            waits: latency_histogram(),
            unknown: Counter::default(),
            broken: Family::default(),
            crashes: Family::default(),
            repeats: Counter::default(),
            forwards: Counter::default(),
            leases: Gauge::default(),
            queued: Gauge::default(),
            active: Gauge::default(),
            claims: Counter::default(),
            starts: Counter::default(),
            offset: Gauge::default(),
            remote_bytes: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let Ok(mut registry) = self.registry.lock() else {
            return;
        };
        registry.register(
            "malformed_entries",
            "Malformed entries ignored, by list",
            malformed::counts(&[malformed::List::Instances]),
        );
        registry.register(
            "refusals",
            "Requests refused, by code",
            self.refusals.clone(),
        );
        registry.register(
            "answers",
            "Requests with a response, by profile",
            self.answers.clone(),
        );
        registry.register_with_unit(
            "latency",
            "Time from arrival to the complete response, by profile",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register_with_unit(
            "wait",
            "Time from arrival to the first dispatch",
            Unit::Seconds,
            self.waits.clone(),
        );
        registry.register(
            "unknown",
            "Exchanges without a complete response",
            self.unknown.clone(),
        );
        registry.register(
            "broken",
            "Connections to backend servers that broke in mid-exchange, by profile",
            self.broken.clone(),
        );
        registry.register(
            "crashes",
            "Attempts of tasks that ended with a crash of their worker, by profile",
            self.crashes.clone(),
        );
        registry.register(
            "repeats",
            "Retries and hedged requests",
            self.repeats.clone(),
        );
        registry.register(
            "forwards",
            "Requests forwarded to a peer",
            self.forwards.clone(),
        );
        registry.register("leases", "Placement leases held", self.leases.clone());
        registry.register(
            "queued",
            "Requests waiting in the queue",
            self.queued.clone(),
        );
        registry.register("active", "Requests in progress", self.active.clone());
        registry.register(
            "claims",
            "Task claims that won in the log",
            self.claims.clone(),
        );
        registry.register("starts", "Task starts sent to workers", self.starts.clone());
        registry.register(
            "offset",
            "First log offset not applied",
            self.offset.clone(),
        );
        registry.register_with_unit(
            "remote_control",
            "Heartbeats sent to other regions",
            Unit::Bytes,
            self.remote_bytes.clone(),
        );
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: Code) {
        let code = format!("{code:?}").to_lowercase();
        self.refusals.get_or_create(&RefusalLabels { code }).inc();
    }

    /// Counts a connection to a backend server that broke in mid-exchange.
    pub fn count_broken(&self, profile: &str) {
        let profile = profile.to_owned();
        self.broken.get_or_create(&ProfileLabels { profile }).inc();
    }

    /// Counts an attempt of a task that ended with a crash of its worker.
    pub fn count_crash(&self, profile: &str) {
        let profile = profile.to_owned();
        self.crashes.get_or_create(&ProfileLabels { profile }).inc();
    }

    /// Counts a response that took `seconds` from arrival.
    pub fn record_response(&self, profile: &str, seconds: f64) {
        let labels = ProfileLabels {
            profile: profile.to_owned(),
        };
        self.answers.get_or_create(&labels).inc();
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Encodes the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails when the text cannot be written.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        let registry = self.registry.lock().map_err(|_| fmt::Error)?;
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}
