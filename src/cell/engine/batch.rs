//! What is stored: batches of records, and what follows once they are.

use log::warn;

use super::{
    Engine,
    Entry, //
};
use crate::cell::{
    job::WorkerKey,
    journal,
    model::State, //
};

impl Engine {
    /// Takes everything that is to be stored, with the number of the batch.
    pub fn batch(&mut self) -> Option<(u64, Vec<Entry>)> {
        if self.dirty.is_empty() && self.dropped.is_empty() && self.unrecorded.is_empty() {
            return None;
        }
        let mut entries = Vec::with_capacity(self.dirty.len() + self.dropped.len());
        for key in std::mem::take(&mut self.unrecorded) {
            let Some(worker) = self.books.workers.get_mut(key) else {
                continue;
            };
            worker.record_batch = self.open;
            if let Some(record) = &worker.stored_registration {
                entries.push(entry(journal::Kind::Worker, &record.id, record));
            }
        }
        let mut gone = Vec::new();
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.dirty = false;
            if job.state.is_final() {
                if job.sent {
                    gone.push(journal::key(journal::Kind::Accepted, &job.id));
                    gone.push(journal::key(journal::Kind::Progress, &job.id));
                }
                job.sent = true;
                self.past.add(&job.id, job.state, job.ended_at, self.term);
                continue;
            }
            if !job.stored {
                let accepted = journal::Accepted {
                    queue: job.queue.clone(),
                    work: job.submission.clone(),
                    at: job.accepted_at,
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
        // Before what they replace: a batch may be stored in several parts.
        let segments = self.past.take_changed();
        entries.extend(segments.map(|(key, segment)| (key.clone(), value(key, segment))));
        gone.append(&mut self.dropped);
        entries.extend(gone.into_iter().map(|key| (key, None)));
        let batch = self.open;
        self.open += 1;
        Some((batch, entries))
    }

    /// Takes note that a batch and all before it are stored.
    pub fn committed(&mut self, batch: u64, now: u64) {
        self.durable = batch;
        let spent: Vec<WorkerKey> = self.books.removable().collect();
        spent.into_iter().for_each(|key| self.drop_empty(key));
        // Workers whose record is stored may take tasks.
        self.stale = true;
        let changed = std::mem::take(&mut self.changed);
        for (number, key) in changed {
            if number > batch {
                self.changed.push((number, key));
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.batch > batch {
                continue;
            }
            job.visible_state = job.state;
            if job.state.is_final() {
                self.past.settle(&job.id, job.state);
                self.remove(key);
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
        self.dropped
            .extend(self.past.expire(now.saturating_sub(keep)));
    }
}

fn entry<T: serde::Serialize>(kind: journal::Kind, id: &str, content: &T) -> Entry {
    let key = journal::key(kind, id);
    let value = value(&key, content);
    (key, value)
}

fn value<T: serde::Serialize>(key: &str, content: &T) -> Option<Vec<u8>> {
    match serde_json::to_vec(content) {
        Ok(value) => Some(value),
        Err(e) => {
            // Cannot happen for these types; an empty object is skipped by readers.
            warn!(key; "a record cannot be written: {e}");
            Some(b"{}".to_vec())
        }
    }
}
