//! What is stored: batches of records, and what follows once they are.

use log::warn;
use slotmap::SlotMap;

use super::{
    Engine,
    Entry, //
};
use crate::cell::{
    job::{
        Job,
        JobKey, //
    },
    journal,
    model::State, //
};

impl Engine {
    /// Takes everything that is to be stored, with the number of the batch.
    pub fn batch(&mut self) -> Option<(u64, Vec<Entry>)> {
        if self.dirty.is_empty() && self.dropped.is_empty() {
            return None;
        }
        let mut entries = Vec::with_capacity(self.dirty.len() + self.dropped.len());
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.dirty = false;
            if !job.stored {
                let accepted = journal::Accepted {
                    queue: job.queue.clone(),
                    work: job.work.clone(),
                    at: job.accepted,
                    term: job.term,
                };
                job.sent = true;
                entries.push(entry(journal::Kind::Accepted, &job.id, &accepted));
                if job.state == State::Pending {
                    continue;
                }
            }
            entries.push(entry(
                journal::Kind::Progress,
                &job.id,
                &journal::progress(job),
            ));
        }
        for id in std::mem::take(&mut self.dropped) {
            entries.push((journal::key(journal::Kind::Accepted, &id), None));
            entries.push((journal::key(journal::Kind::Progress, &id), None));
        }
        let batch = self.open;
        self.open += 1;
        Some((batch, entries))
    }

    /// Takes note that a batch and all before it are stored.
    pub fn committed(&mut self, batch: u64, now: u64) {
        self.durable = batch;
        let changed = std::mem::take(&mut self.changed);
        for (number, key) in changed {
            if number > batch {
                self.changed.push((number, key));
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.batch <= batch {
                job.shown = job.state;
            }
        }
        let fresh = std::mem::take(&mut self.fresh);
        for (number, key) in fresh {
            if number > batch {
                self.fresh.push((number, key));
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.stored = true;
            self.advance(key, now);
        }
    }

    /// Drops jobs whose state need not be kept any longer.
    pub(super) fn forget(&mut self, now: u64) {
        let keep = self.times.keep;
        let old = |jobs: &SlotMap<JobKey, Job>, key: &JobKey| {
            jobs.get(*key).is_some_and(|job| now > job.ended + keep)
        };
        while self
            .finished
            .first()
            .is_some_and(|key| old(&self.jobs, key))
        {
            let key = self.finished.remove(0);
            if let Some(job) = self.jobs.remove(key) {
                self.index.retain(|(_, other)| *other != key);
                self.dropped.push(job.id);
            }
        }
    }
}

fn entry<T: serde::Serialize>(kind: journal::Kind, id: &str, value: &T) -> Entry {
    let key = journal::key(kind, id);
    match serde_json::to_vec(value) {
        Ok(value) => (key, Some(value)),
        Err(e) => {
            // Cannot happen for these types; an empty object is skipped by readers.
            warn!(job = id; "a record cannot be written: {e}");
            (key, Some(b"{}".to_vec()))
        }
    }
}
