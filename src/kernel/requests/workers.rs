//! What is known of the workers that requests were sent to, and outlier ejection.

use slotmap::SecondaryMap;

use crate::{
    configs,
    ids::Millis,
    kernel::{
        WorkerKey,
        requests::timers::Timers, //
    }, //
};

/// Weight of a new sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// Outcomes before a worker may be ejected.
const MIN_SAMPLES: u32 = 5;

/// Pauses after which also a request that must not be repeated may be the probe.
const UNRESTRICTED_PROBE_PAUSES: u64 = 4;

/// What is known of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct Worker {
    /// Attempts there, with those of unknown outcome.
    pub active: u32,
    /// Slots that long work holds there.
    pub long_slots: u32,
    /// Moving average of answer times, in microseconds; zero when unknown.
    pub latency: u64,
    /// Moving average of the share of failed attempts, 0 to 1.
    pub errors: f64,
    samples: u32,
    ejected: bool,
    probe_any_after: Option<Millis>,
    probe_in_flight: bool,
}

/// All workers that requests were sent to.
#[derive(Debug, Default)]
pub struct Workers {
    map: SecondaryMap<WorkerKey, Worker>,
    pauses: Timers<WorkerKey>,
    ejected: u32,
}

impl Workers {
    /// What is known of a worker.
    #[must_use]
    pub fn get(&self, key: WorkerKey) -> Worker {
        self.map.get(key).copied().unwrap_or_default()
    }

    /// Whether a request may be sent there. A worker that comes back from ejection gets one request
    /// at a time until one succeeds, at first only such as may be repeated.
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

    /// Counts a send.
    pub fn attempt_started(&mut self, key: WorkerKey, long_slots: u32) {
        if let Some(worker) = self.entry(key) {
            worker.active += 1;
            worker.probe_in_flight = true;
            worker.long_slots += long_slots;
        }
    }

    /// Counts slots of an attempt that turned out to be long.
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

    /// Learns from a whole answer that took so many milliseconds.
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

    /// Learns from a failure; ejects the worker when it fails too much and the floor allows it.
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

    /// Lets workers whose pause is over take one request each, until one succeeds.
    pub fn readmit(&mut self, now: Millis) {
        while let Some(key) = self.pauses.pop_due(now) {
            if let Some(worker) = self.map.get_mut(key)
                && worker.ejected
            {
                worker.ejected = false;
                self.ejected -= 1;
            }
        }
    }

    /// Forgets a worker whose lease is gone.
    pub fn remove(&mut self, key: WorkerKey) {
        let Some(worker) = self.map.remove(key) else {
            return;
        };
        if worker.ejected {
            self.ejected -= 1;
        }
    }

    /// How many workers are ejected.
    #[must_use]
    pub fn ejected(&self) -> u32 {
        self.ejected
    }

    /// The most workers that may be ejected at once.
    fn max_ejected(&self, cfg: &configs::requests::Requests) -> u32 {
        (self.map.len() as f64 * cfg.floor) as u32
    }

    fn entry(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        let entry = self.map.entry(key)?;
        Some(entry.or_insert_with(Worker::default))
    }
}
