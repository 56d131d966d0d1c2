//! What is known of the workers that requests were sent to, and outlier ejection.

use slotmap::SecondaryMap;

use crate::{
    configs,
    ids::Millis,
    kernel::WorkerKey, //
};

/// Weight of a new sample in the moving averages.
const WEIGHT: f64 = 0.2;

/// Outcomes before a worker may be ejected.
const FEWEST: u32 = 5;

/// The longest pause, as a multiple of the first.
const LONGEST: u32 = 8;

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
    ejected: Option<Millis>,
    probing: bool,
    times: u32,
}

/// All workers that requests were sent to.
#[derive(Debug, Default)]
pub struct Workers {
    map: SecondaryMap<WorkerKey, Worker>,
    ejected: u32,
}

impl Workers {
    /// What is known of a worker.
    #[must_use]
    pub fn get(&self, key: WorkerKey) -> Worker {
        self.map.get(key).copied().unwrap_or_default()
    }

    /// Whether a request may be sent there.
    #[must_use]
    pub fn usable(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.map.get(key) else {
            return true;
        };
        let probe_out = worker.probing && worker.active > 0;
        worker.ejected.is_none() && !probe_out
    }

    /// Counts a send.
    pub fn sent(&mut self, key: WorkerKey, long: u32) {
        if let Some(worker) = self.entry(key) {
            worker.active += 1;
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
        worker.probing = false;
        if worker.errors < WEIGHT / 4.0 {
            worker.times = 0;
        }
    }

    /// Learns from a failure; ejects the worker when it fails too much and the floor allows it.
    pub fn failed(&mut self, now: Millis, key: WorkerKey, cfg: &configs::requests::Requests) {
        let most = self.most(cfg);
        let Some(worker) = self.map.get_mut(key) else {
            return;
        };
        worker.errors += WEIGHT * (1.0 - worker.errors);
        worker.seen = worker.seen.saturating_add(1);
        let failing = worker.seen >= FEWEST && worker.errors >= cfg.eject;
        let due = failing || worker.probing;
        if !due || worker.ejected.is_some() || self.ejected >= most {
            return;
        }
        let factor = 1 << worker.times.min(LONGEST.ilog2());
        let pause = cfg.pause.as_millis() as u64 * factor;
        worker.ejected = Some(now.plus(pause));
        worker.probing = false;
        worker.times += 1;
        self.ejected += 1;
    }

    /// Lets workers whose pause is over take one request each, until one succeeds.
    pub fn readmit(&mut self, now: Millis) {
        if self.ejected == 0 {
            return;
        }
        for worker in self.map.values_mut() {
            if worker.ejected.is_some_and(|until| until <= now) {
                worker.ejected = None;
                worker.probing = true;
                self.ejected -= 1;
            }
        }
    }

    /// Forgets a worker whose lease is gone.
    pub fn forget(&mut self, key: WorkerKey) {
        let Some(worker) = self.map.remove(key) else {
            return;
        };
        if worker.ejected.is_some() {
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
