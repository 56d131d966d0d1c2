//! Metrics of the administration API.

use std::{
    fmt,
    sync::Mutex, //
};

use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        text, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry, //
};

/// Labels of the call counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// HTTP method and pattern of the route.
    pub route: String,
    /// HTTP status of the response.
    pub status: u16,
}

/// All metrics of the process.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Number of calls, by route and status.
    pub calls: Family<CallLabels, Counter>,
    /// First log offset that is not applied yet.
    pub offset: Gauge,
    /// Whether the state is fully loaded: 0 or 1.
    pub loaded: Gauge,
    /// Milliseconds since the last answer of the log, while the log is unavailable; otherwise 0.
    pub log_silence: Gauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the metrics, all zero, registered under the prefix `bamboolock_admin`.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("bamboolock_admin");
        let calls = Family::<CallLabels, Counter>::default();
        let (offset, loaded, log_silence) = (Gauge::default(), Gauge::default(), Gauge::default());
        registry.register("calls", "Calls, by route and status", calls.clone());
        registry.register("offset", "First log offset not applied", offset.clone());
        registry.register(
            "loaded",
            "Whether the state is fully loaded",
            loaded.clone(),
        );
        registry.register(
            "log_silent_milliseconds",
            "Time since the last answer of the log, while the log is unavailable",
            log_silence.clone(),
        );
        Self {
            registry: Mutex::new(registry),
            calls,
            offset,
            loaded,
            log_silence,
        }
    }

    /// Encodes the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails when a value cannot be written.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        let registry = self.registry.lock().map_err(|_| fmt::Error)?;
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}
