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
const WEIGHT: f64 = 0.2;

/// Outcomes before a worker may be ejected.
const FEWEST: u32 = 5;

/// Pauses after which also a request that must not be repeated may be the probe.
const SURE: u64 = 4;

/// What is known of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct Worker {
    /// Attempts there, with those of unknown outcome.
    pub active: u32,
    /// Slots that long work holds there.
    pub long: u32,
    /// Moving average of answer times, in microseconds; zero when unknown.
    pub latency: u64,
    /// Moving average of the share of failed attempts, 0 to 1.
    pub errors: f64,
    seen: u32,
    ejected: bool,
    probing: Option<Millis>,
    probed: bool,
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
        match worker.probing {
            _ if worker.ejected => false,
            None => true,
            Some(sure) => !worker.probed && (idempotent || now >= sure),
        }
    }

    /// Counts a send.
    pub fn sent(&mut self, key: WorkerKey, long: u32) {
        if let Some(worker) = self.entry(key) {
            worker.active += 1;
            worker.probed = true;
            worker.long += long;
        }
    }

    /// Counts slots of an attempt that turned out to be long.
    pub fn lengthen(&mut self, key: WorkerKey, slots: u32) {
        if let Some(worker) = self.map.get_mut(key) {
            worker.long += slots;
        }
    }

    /// Counts an attempt that has ended.
    pub fn ended(&mut self, key: WorkerKey, long: u32) {
        if let Some(worker) = self.map.get_mut(key) {
            worker.active = worker.active.saturating_sub(1);
            worker.probed = false;
            worker.long = worker.long.saturating_sub(long);
        }
    }

    /// Learns from a whole answer that took so many milliseconds.
    pub fn succeeded(&mut self, key: WorkerKey, took: u64) {
        let Some(worker) = self.map.get_mut(key) else {
            return;
        };
        let sample = took.saturating_mul(1_000);
        worker.latency = match worker.latency {
            0 => sample,
            old => (old as f64 + WEIGHT * (sample as f64 - old as f64)) as u64,
        };
        worker.errors *= 1.0 - WEIGHT;
        worker.seen = worker.seen.saturating_add(1);
        worker.probing = None;
        worker.probed = false;
    }

    /// Learns from a failure; ejects the worker when it fails too much and the floor allows it.
    pub fn failed(&mut self, now: Millis, key: WorkerKey, cfg: &configs::requests::Requests) {
        let most = self.most(cfg);
        let Some(worker) = self.map.get_mut(key) else {
            return;
        };
        worker.errors += WEIGHT * (1.0 - worker.errors);
        worker.seen = worker.seen.saturating_add(1);
        worker.probed = false;
        let failing = worker.seen >= FEWEST && worker.errors >= cfg.eject;
        let due = failing || worker.probing.is_some();
        if !due || worker.ejected || self.ejected >= most {
            return;
        }
        let pause = cfg.pause.as_millis() as u64;
        worker.ejected = true;
        worker.probing = Some(now.plus(pause * SURE));
        self.ejected += 1;
        self.pauses.add(now.plus(pause), key);
    }

    /// Lets workers whose pause is over take one request each, until one succeeds.
    pub fn readmit(&mut self, now: Millis) {
        while let Some(key) = self.pauses.take(now) {
            if let Some(worker) = self.map.get_mut(key)
                && worker.ejected
            {
                worker.ejected = false;
                self.ejected -= 1;
            }
        }
    }

    /// Forgets a worker whose lease is gone.
    pub fn forget(&mut self, key: WorkerKey) {
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
    fn most(&self, cfg: &configs::requests::Requests) -> u32 {
        (self.map.len() as f64 * cfg.floor) as u32
    }

    fn entry(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        let entry = self.map.entry(key)?;
        Some(entry.or_insert_with(Worker::default))
    }
}
