//! Statistics of the workers that requests were sent to, and outlier ejection.

use slotmap::SecondaryMap;

use crate::{
    configs,
    ids::Millis,
    kernel::{
        WorkerKey,
        requests::timers::Timers, //
    }, //
};

/// Weight of a new sample in the exponential moving averages, 0 to 1.
const EWMA_WEIGHT: f64 = 0.2;

/// Number of outcomes before a worker may be ejected.
const MIN_SAMPLES: u32 = 5;

/// Number of ejection pauses after which a non-idempotent request may be used as the probe, too.
const UNRESTRICTED_PROBE_PAUSES: u64 = 4;

/// Statistics of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerStats {
    /// Number of open attempts on the worker, including those of unknown outcome.
    pub active: u32,
    /// Number of slots that long-running work holds on the worker.
    pub long_slots: u32,
    /// Moving average of the response time, in microseconds; zero if unknown.
    pub latency: u64,
    /// Moving average of the failure rate, 0 to 1.
    pub errors: f64,
    samples: u32,
    ejected: bool,
    probe_any_after: Option<Millis>,
    probe_in_flight: bool,
}

/// Statistics of all workers that requests were sent to.
#[derive(Debug, Default)]
pub struct StatsTable {
    map: SecondaryMap<WorkerKey, WorkerStats>,
    /// Ends of the ejections.
    pauses: Timers<WorkerKey>,
    /// Number of ejections whose pause has not ended.
    ejected: u32,
}

impl StatsTable {
    /// Statistics of a worker.
    #[must_use]
    pub fn get(&self, key: WorkerKey) -> WorkerStats {
        self.map.get(key).copied().unwrap_or_default()
    }

    /// Returns whether a request may be sent to the worker. After an ejection, a worker gets one
    /// request at a time until one succeeds, and at first only idempotent requests.
    #[must_use]
    pub fn usable(&self, now: Millis, key: WorkerKey, idempotent: bool) -> bool {
        let Some(worker) = self.map.get(key) else {
            return true;
        };
        match worker.probe_any_after {
            _ if worker.ejected => false,
            None => true,
            Some(any_after) => !worker.probe_in_flight && (idempotent || now >= any_after),
        }
    }

    /// Counts an attempt that is sent to the worker.
    pub fn attempt_started(&mut self, key: WorkerKey, long_slots: u32) {
        if let Some(worker) = self.entry(key) {
            worker.active += 1;
            worker.probe_in_flight = true;
            worker.long_slots += long_slots;
        }
    }

    /// Counts the slots of an attempt that turned out to be long-running.
    pub fn add_long_slots(&mut self, key: WorkerKey, slots: u32) {
        if let Some(worker) = self.map.get_mut(key) {
            worker.long_slots += slots;
        }
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&mut self, key: WorkerKey, long_slots: u32) {
        if let Some(worker) = self.map.get_mut(key) {
            worker.active = worker.active.saturating_sub(1);
            worker.probe_in_flight = false;
            worker.long_slots = worker.long_slots.saturating_sub(long_slots);
        }
    }

    /// Records a complete response that took `took` milliseconds.
    pub fn record_success(&mut self, key: WorkerKey, took: u64) {
        let Some(worker) = self.map.get_mut(key) else {
            return;
        };
        let sample = took.saturating_mul(1_000);
        worker.latency = match worker.latency {
            0 => sample,
            old => (old as f64 + EWMA_WEIGHT * (sample as f64 - old as f64)) as u64,
        };
        worker.errors *= 1.0 - EWMA_WEIGHT;
        worker.samples = worker.samples.saturating_add(1);
        worker.probe_any_after = None;
        worker.probe_in_flight = false;
    }

    /// Records a failure, and ejects the worker if its failure rate or a failed probe calls for it
    /// and the limit on ejected workers allows it.
    pub fn record_failure(
        &mut self,
        now: Millis,
        key: WorkerKey,
        cfg: &configs::requests::Requests,
    ) {
        let max_ejected = self.max_ejected(cfg);
        let Some(worker) = self.map.get_mut(key) else {
            return;
        };
        worker.errors += EWMA_WEIGHT * (1.0 - worker.errors);
        worker.samples = worker.samples.saturating_add(1);
        worker.probe_in_flight = false;
        let failing = worker.samples >= MIN_SAMPLES && worker.errors >= cfg.eject;
        let eject = failing || worker.probe_any_after.is_some();
        if !eject || worker.ejected || self.ejected >= max_ejected {
            return;
        }
        let pause = cfg.pause.as_millis() as u64;
        worker.ejected = true;
        worker.probe_any_after = Some(now.plus(pause * UNRESTRICTED_PROBE_PAUSES));
        self.ejected += 1;
        self.pauses.add(now.plus(pause), key);
    }

    /// Readmits workers whose ejection pause is over; each gets one request at a time until one
    /// succeeds.
    pub fn readmit(&mut self, now: Millis) {
        while let Some(key) = self.pauses.pop_due(now) {
            // The worker may be gone, and another one may have its place in the table.
            self.ejected -= 1;
            if let Some(worker) = self.map.get_mut(key) {
                worker.ejected = false;
            }
        }
    }

    /// Removes the statistics of a worker whose lease ended. An ejection counts until its pause ends.
    pub fn remove(&mut self, key: WorkerKey) {
        self.map.remove(key);
    }

    /// Number of ejected workers, with those that were removed during the pause.
    #[must_use]
    pub fn ejected(&self) -> u32 {
        self.ejected
    }

    /// Maximum number of workers that may be ejected at the same time.
    fn max_ejected(&self, cfg: &configs::requests::Requests) -> u32 {
        (self.map.len() as f64 * cfg.floor) as u32
    }

    fn entry(&mut self, key: WorkerKey) -> Option<&mut WorkerStats> {
        let entry = self.map.entry(key)?;
        Some(entry.or_insert_with(WorkerStats::default))
    }
}
