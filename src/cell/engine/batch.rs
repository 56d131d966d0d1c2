//! Batches of records for the store, and what follows once they are stored.

use log::warn;

use super::{
    Action,
    Engine,
    Record, //
};
use crate::cell::{
    job::{
        RunKey,
        WorkerKey, //
    },
    journal,
    model::State, //
};

impl Engine {
    /// Takes all changes that are to be stored, with the number of their batch.
    pub fn take_batch(&mut self) -> Option<(u64, Vec<Record>)> {
        if self.dirty_jobs.is_empty()
            && self.dropped_keys.is_empty()
            && self.unstored_workers.is_empty()
            && !self.archive.has_changed()
            && !self.succession.is_dirty()
        {
            return None;
        }
        let mut entries = Vec::with_capacity(self.dirty_jobs.len() + self.dropped_keys.len());
        let mut workers = Vec::new();
        for key in std::mem::take(&mut self.unstored_workers) {
            let Some(worker) = self.cluster.workers.get_mut(key) else {
                continue;
            };
            worker.record_batch = self.open_batch;
            if worker.lifted_batch == u64::MAX {
                worker.lifted_batch = self.open_batch;
            }
            if let Some(registration) = &worker.stored_registration {
                let record = journal::Worker {
                    registration: registration.clone(),
                    cordon: worker.cordon.clone(),
                };
                workers.push(encode_record(
                    journal::Kind::Worker,
                    &registration.id,
                    &record,
                ));
            }
        }
        entries.extend(self.succession.take_records(self.term));
        let mut deleted = Vec::new();
        for key in std::mem::take(&mut self.dirty_jobs) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.dirty = false;
            if job.state.is_final() {
                let mut ended_jobs = self.ended_jobs.iter_mut();
                let ended = ended_jobs.find(|ended| ended.id == job.id);
                if let Some(ended) = ended {
                    // A later owner must know whose runs may go on.
                    ended.kept = true;
                } else if job.sent {
                    deleted.push(journal::key(journal::Kind::Accepted, &job.id));
                    deleted.push(journal::key(journal::Kind::Progress, &job.id));
                }
                job.sent = true;
                self.archive
                    .append(&job.id, Some(job.state), job.ended_at, self.term);
                continue;
            }
            if !job.stored {
                let accepted = journal::Accepted {
                    queue: job.queue.clone(),
                    submission: job.submission.clone(),
                    origin: job.origin.clone(),
                    organisation: job.organisation.clone(),
                    accepted_at: job.accepted_at,
                    term: job.term,
                };
                job.sent = true;
                entries.push(encode_record(journal::Kind::Accepted, &job.id, &accepted));
                if job.state == State::Pending {
                    continue;
                }
            }
            entries.push(encode_record(
                journal::Kind::Progress,
                &job.id,
                &journal::progress(job),
            ));
        }
        // Segments precede the deletions of the records that they replace: a batch may be stored in
        // several parts.
        let segments = self.archive.take_changed();
        entries.extend(segments.map(|(key, segment)| (key.clone(), encode(key, segment))));
        // A cordon leaves out the runs whose ends are stored: with this batch, or before it.
        entries.append(&mut workers);
        deleted.append(&mut self.dropped_keys);
        entries.extend(deleted.into_iter().map(|key| (key, None)));
        let batch = self.open_batch;
        self.open_batch += 1;
        Some((batch, entries))
    }

    /// Writes fewer bytes in each batch and more records over time, for an owner whose link is slow.
    pub fn shorten_segments(&mut self) {
        self.archive.shorten_segments();
    }

    /// Records that a batch and all batches before it are stored.
    pub fn batch_stored(&mut self, batch: u64, now: u64) {
        self.durable_batch = batch;
        let removable: Vec<WorkerKey> = self.cluster.removable().collect();
        removable
            .into_iter()
            .for_each(|key| self.remove_if_empty(key));
        let ready = |key: &mut RunKey| {
            let run = self.cluster.runs.get(*key);
            run.is_none_or(|run| run.after_batch <= batch)
        };
        let starts = self.held_starts.extract_if(.., ready);
        self.actions.extend(starts.map(Action::Start));
        // Workers whose registration is now stored may take tasks.
        self.pass_needed = true;
        let changed = std::mem::take(&mut self.changed_jobs);
        for (number, key) in changed {
            if number > batch {
                self.changed_jobs.push((number, key));
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
                self.archive.record(&job.id, job.state);
                self.remove_job(key);
            }
        }
        let new_jobs = std::mem::take(&mut self.new_jobs);
        for (number, key) in new_jobs {
            if number > batch {
                self.new_jobs.push((number, key));
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.stored = true;
            self.advance(key, now);
        }
    }

    /// Drops the states of finished jobs whose retention time has passed.
    pub(super) fn expire_archive(&mut self, now: u64) {
        // Without the final state, a record that is kept beyond it would be that of an open job.
        let kept = self.ended_jobs.iter().map(|ended| ended.since).min();
        let limit = now.saturating_sub(self.times.keep);
        let limit = limit.min(kept.unwrap_or(u64::MAX));
        self.dropped_keys.extend(self.archive.expire(limit));
    }
}

fn encode_record<T: serde::Serialize>(kind: journal::Kind, id: &str, content: &T) -> Record {
    let key = journal::key(kind, id);
    let value = encode(&key, content);
    (key, value)
}

pub(super) fn encode<T: serde::Serialize>(key: &str, content: &T) -> Option<Vec<u8>> {
    match serde_json::to_vec(content) {
        Ok(value) => Some(value),
        Err(e) => {
            // These types always serialise; readers skip an empty object.
            warn!(key; "record cannot be serialised: {e}");
            Some(b"{}".to_vec())
        }
    }
}
