//! Waves of crashes: many workers that fall silent within seconds, for a cause outside of their tasks.
//!
//! Handles workers that are cut off and start again behind the cut, one part of the cell after the other.
//! No connection is closed there, so the owner notices each silence by a time-out, up to a second or two
//! after the others, and the crashes look like single ones. What a wave leaves is suspicion against most
//! tasks that ran meanwhile; once it is over, that suspicion must not hold them back.

use super::job::WorkerKey;

/// Time within which silences belong to one wave, in milliseconds: twice the spread with which time-outs
/// show them.
pub const SPAN_MS: u64 = 3_000;

/// Fewest workers in a wave.
const MIN_WORKERS: usize = 4;

/// Divisor of the number of workers that gives the fewest in a wave of a large cell.
const DIVISOR: usize = 12;

/// Recent silences of workers that no task explains.
#[derive(Debug, Default)]
pub struct Waves {
    /// Workers with the local times of their last silences, in milliseconds; sorted by worker.
    silences: Vec<(WorkerKey, u64)>,
    /// Local time since which there is no wave, in milliseconds.
    calm_since: Option<u64>,
    /// Whether the end was reported, and no crash has counted against a task since.
    settled: bool,
}

impl Waves {
    fn find(&self, worker: WorkerKey) -> Result<usize, usize> {
        self.silences.binary_search_by_key(&worker, |(key, _)| *key)
    }

    /// Notes that a worker fell silent or was found to have crashed at local time `now`, in milliseconds,
    /// and had not just started a task.
    pub fn note(&mut self, worker: WorkerKey, now: u64) {
        self.silences.retain(|(_, at)| now < at + SPAN_MS);
        match self.find(worker) {
            Ok(at) => self.silences[at].1 = now,
            Err(at) => self.silences.insert(at, (worker, now)),
        }
    }

    /// Notes that a worker which was silent has not crashed.
    pub fn forget(&mut self, worker: WorkerKey) {
        if let Ok(at) = self.find(worker) {
            self.silences.remove(at);
        }
    }

    /// Whether there is a wave at local time `now`, in milliseconds, in a cell whose number of workers is
    /// counted by `workers`. The silence of `except` does not count.
    #[must_use]
    pub fn is_on(
        &self,
        except: Option<WorkerKey>,
        workers: impl FnOnce() -> usize,
        now: u64,
    ) -> bool {
        let recent = self.silences.iter();
        let recent = recent.filter(|(key, at)| now < at + SPAN_MS && Some(*key) != except);
        let recent = recent.count();
        recent >= MIN_WORKERS && recent >= workers() / DIVISOR
    }

    /// Notes that a crash counts against a task.
    pub fn note_suspicion(&mut self) {
        self.settled = false;
    }

    /// Whether there has been no wave for [`SPAN_MS`] at local time `now`, in milliseconds. Returns that
    /// once after each suspicion.
    pub fn take_end(&mut self, workers: impl FnOnce() -> usize, now: u64) -> bool {
        if self.is_on(None, workers, now) {
            self.calm_since = None;
            return false;
        }
        let since = *self.calm_since.get_or_insert(now);
        if self.settled || now < since + SPAN_MS {
            return false;
        }
        self.settled = true;
        true
    }
}
