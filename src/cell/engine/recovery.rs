//! Recovery at the start of a term: stored records are loaded first, then compared with the reports
//! of the workers.

use compact_str::CompactString;
use log::info;
use serde::de::DeserializeOwned;

use super::{
    Engine,
    reports,
    submissions,
    succession, //
};
use crate::{
    cell::{
        archive, //
        cluster,
        job::{
            JobKey,
            Occurrence,
            StepKey,
            WorkerKey, //
        },
        journal,
        model::State, //
    },
    malformed,
};

/// Longest time without proof of ownership in which the owner places tasks and renews leases, in
/// milliseconds. Outages of the store are shorter, and a successor waits this long for unknown runs.
const MAX_STORE_OUTAGE_MS: u64 = 6_000;

/// Age of the proof of ownership up to which no other instance can have owned the cell for long, in
/// milliseconds: shorter than any change of owner.
const FRESH_PROOF_MS: u64 = 700;

/// Age of the proof of ownership at which an owner without changes to store obtains another one, in
/// milliseconds: a third of the time in which it may command.
const PROOF_INTERVAL_MS: u64 = MAX_STORE_OUTAGE_MS / 3;

/// The same while workers wait for a command that requires a fresh proof.
const SHORT_PROOF_INTERVAL_MS: u64 = FRESH_PROOF_MS / 2;

fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|e| e.to_string())
}

impl Engine {
    /// Loads the stored records, oldest first; a record without a value deletes its key. Malformed
    /// records are counted and skipped.
    pub fn load<'a>(
        &mut self,
        records: impl Iterator<Item = (&'a str, Option<&'a [u8]>)>,
        now: u64,
    ) {
        let mut newest: Vec<(&str, Option<&[u8]>)> = records.collect();
        // The sort is stable, so the last of equal keys is the newest.
        newest.sort_by_key(|(key, _)| *key);
        newest.reverse();
        newest.dedup_by_key(|(key, _)| *key);
        let mut progress: Vec<(String, journal::Progress)> = Vec::new();
        let mut segments: Vec<(CompactString, archive::Segment)> = Vec::new();
        let mut owners: Vec<journal::Owner> = Vec::new();
        let mut skipped = 0_usize;
        for (key, value) in newest {
            let Some(value) = value else {
                continue;
            };
            let Some((kind, id)) = journal::parse_key(key) else {
                skipped += 1;
                continue;
            };
            let read = match kind {
                journal::Kind::Accepted => decode(value).and_then(|a| self.load_job(id, a)),
                journal::Kind::Progress => decode(value).map(|p| progress.push((id.to_owned(), p))),
                journal::Kind::Worker => decode(value).and_then(|w| self.load_worker(id, w)),
                journal::Kind::Segment => decode(value).map(|s| segments.push((key.into(), s))),
                journal::Kind::Owner => {
                    let owner = decode(value).and_then(|o| self.check_owner(id, o));
                    owner.map(|owner| owners.push(owner))
                }
            };
            if let Err(e) = read {
                skipped += 1;
                // Tasks may run on a worker that its record does not name.
                self.unread_workers += usize::from(kind == journal::Kind::Worker);
                if matches!(kind, journal::Kind::Accepted | journal::Kind::Progress) {
                    self.unread_jobs.push(id.into());
                }
                malformed::note(malformed::List::Records, key, &e);
            }
        }
        for (id, progress) in &progress {
            if let Some(key) = self.find_job(id) {
                journal::restore(&mut self.jobs[key], progress);
            }
        }
        self.unread_jobs.sort_unstable();
        for id in &self.unread_jobs {
            if let Some(key) = self.find_job(id) {
                self.jobs[key].unread = true;
            }
        }
        self.archive.load(segments, now);
        self.load_ended_jobs(now);
        let past = &self.archive;
        // An interrupted batch can leave records that a segment has already replaced.
        self.jobs.retain(|_, job| past.state(&job.id).is_none());
        let jobs = &self.jobs;
        self.index.retain(|(_, key)| jobs.contains_key(*key));
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            if self.jobs[key].state.is_final() {
                self.jobs[key].ended_at = now;
                self.mark_dirty(key);
                continue;
            }
            let first =
                self.jobs[key].occurrences.is_empty() && self.jobs[key].submission.occurrences == 0;
            if first {
                let occurrence = Occurrence::new(0, &self.jobs[key].submission.steps);
                self.jobs[key].occurrences.push(occurrence);
            }
            self.advance(key, now);
        }
        self.recount_jobs();
        self.load_exposures();
        self.succession.load(owners);
        self.cluster.reconciled = false;
        self.loaded_at = now;
        self.reconcile_by =
            now + MAX_STORE_OUTAGE_MS + self.times.lease + succession::RECONCILE_MARGIN_MS;
        info!(open = self.jobs.len(), finished = self.archive.len(), skipped, term = self.term; "stored jobs loaded");
    }

    /// Adds a worker that an earlier owner gave tasks to, whether or not it is registered now.
    fn load_worker(&mut self, id: &str, record: journal::Worker) -> Result<(), String> {
        let registration = record.registration;
        registration.check()?;
        if registration.id != id {
            return Err(format!("the record names worker {}", registration.id));
        }
        let key = self.add_worker(registration.clone());
        let worker = &mut self.cluster.workers[key];
        worker.registered = false;
        worker.stored_registration = Some(registration);
        worker.record_batch = 0;
        worker.inherited = true;
        self.load_cordon(key, record.cordon);
        Ok(())
    }

    /// Checks the record of a former owner, whose term is its name and precedes this term.
    fn check_owner(&self, name: &str, owner: journal::Owner) -> Result<journal::Owner, String> {
        if owner.term >= self.term || name.parse() != Ok(owner.term) {
            return Err(format!("the record names term {}", owner.term));
        }
        Ok(owner)
    }

    /// Whether a stored record of an open job could not be read: what its tasks have done is not known.
    pub(super) fn is_unread(&self, id: &str) -> bool {
        let found = self
            .unread_jobs
            .binary_search_by(|name| name.as_str().cmp(id));
        found.is_ok() && self.archive.state(id).is_none()
    }

    fn load_job(&mut self, id: &str, accepted: journal::Accepted) -> Result<(), String> {
        submissions::validate(&accepted.submission)?;
        let mut job = submissions::new_job(
            id,
            accepted.queue,
            accepted.submission,
            accepted.accepted_at,
            accepted.term,
        );
        job.origin = accepted.origin;
        job.organisation = accepted.organisation;
        job.organisation_key = self.shares.intern(&job.organisation);
        job.stored = true;
        job.sent = true;
        job.inherited = true;
        self.insert_job(job);
        Ok(())
    }

    /// Records that the store has confirmed this term in reply to a call that was sent at local
    /// time `sent`, in milliseconds. The reply may have been under way for any time: a later owner
    /// can have begun as soon as the call was sent.
    pub fn confirm_ownership(&mut self, sent: u64) {
        if self.proven_at < self.proof_from {
            self.pass_needed = true;
        }
        self.proven_at = self.proven_at.max(sent);
    }

    /// Asks for a proof of ownership after local time `now`, in milliseconds.
    pub fn request_proof(&mut self, now: u64) {
        self.proof_from = self.proof_from.max(now);
    }

    /// Whether the store should be asked to confirm the term.
    #[must_use]
    pub fn needs_proof(&self, now: u64) -> bool {
        let waiting = |w: &cluster::Worker| !w.fenced && !w.superseded;
        let interval = match self.cluster.workers.values().any(waiting) {
            true => SHORT_PROOF_INTERVAL_MS,
            false => PROOF_INTERVAL_MS,
        };
        self.proven_at < self.proof_from || now > self.proven_at + interval
    }

    /// Whether the proof of ownership is so recent that no later owner can have begun long ago.
    #[must_use]
    pub fn has_fresh_proof(&self, now: u64) -> bool {
        now <= self.proven_at + FRESH_PROOF_MS
    }

    /// Whether tasks may be placed and leases renewed, by the age of the proof of ownership.
    #[must_use]
    pub fn may_command(&self, now: u64) -> bool {
        now <= self.proven_at + MAX_STORE_OUTAGE_MS
    }

    /// Ends reconciliation, in which runs of earlier owners may be unknown, once every worker that may
    /// hold some has reported, or enough time has passed and ownership has been proven after it.
    ///
    /// Once only cordoned workers are left, all tasks may start but those that these workers may run.
    pub(super) fn reconcile(&mut self, now: u64) {
        if self.cluster.reconciled || self.cluster.workers.is_empty() && now < self.reconcile_by {
            return;
        }
        let workers = self.cluster.workers.values();
        let unanswered = workers.filter(|w| w.is_unaccounted());
        let (cordoned, unknown): (Vec<_>, Vec<_>) = unanswered.partition(|w| w.cordon.is_some());
        let count = cordoned.len() + unknown.len() + self.unread_workers;
        let mut deadline = self.reconcile_by;
        if unknown.len() + self.unread_workers == 0 {
            let cordons = cordoned.iter().filter_map(|w| w.cordon.as_ref());
            let leases = cordons.map(|cordon| cordon.leases).max().unwrap_or(0);
            deadline = deadline.min(self.loaded_at + leases + succession::RECONCILE_MARGIN_MS);
            self.survey(count, now);
        }
        self.release_tasks(false, now);
        if count > 0 && now < deadline {
            return;
        }
        if count > 0 && self.proven_at < deadline {
            // A later owner may know the outcomes of the workers that were not heard.
            self.proof_from = self.proof_from.max(deadline);
            return;
        }
        info!(workers = self.cluster.workers.len(), unanswered = count; "runs of earlier owners reconciled");
        self.cluster.reconciled = true;
        self.settle();
        self.release_tasks(true, now);
        let removable: Vec<WorkerKey> = self.cluster.removable().collect();
        removable
            .into_iter()
            .for_each(|key| self.remove_if_empty(key));
        self.repair_jobs(now);
    }

    /// Lets inherited tasks start that are not on any worker, once `unanswered` workers are left that
    /// are all cordoned.
    fn survey(&mut self, unanswered: usize, now: u64) {
        if self.cluster.surveyed || unanswered == 0 {
            return;
        }
        self.cluster.surveyed = true;
        self.withhold_tasks();
        info!(unanswered, withheld = self.withheld.len(); "all workers but cordoned ones have reported");
        self.repair_jobs(now);
    }

    fn repair_jobs(&mut self, now: u64) {
        self.pass_needed = true;
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            self.repair_job(key, now);
        }
    }

    /// Stops gangs that an earlier owner left incomplete and returns the steps of inherited jobs to
    /// the backlog.
    fn repair_job(&mut self, key: JobKey, now: u64) {
        let job = &self.jobs[key];
        if job.state.is_final() || !job.inherited {
            return;
        }
        let mut steps = Vec::new();
        for (o, occurrence) in job.occurrences.iter().enumerate() {
            for s in 0..occurrence.steps.len() {
                steps.push(StepKey {
                    job: key,
                    occurrence: o as u32,
                    step: s as u32,
                });
            }
        }
        for step in steps {
            reports::stop_incomplete_gang(self, step, now);
        }
        if self.jobs[key].state == State::Pending && self.jobs[key].started {
            self.jobs[key].state = State::Running;
        }
    }
}
