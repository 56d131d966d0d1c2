//! The test oracle. It checks the guarantees of the scheduler against the tasks that workers
//! execute and the records in the log, without access to the state of the instances.

use bamboolock::{
    ids::RunId,
    ledger::record::{
        self,
        Record, //
    },
    profile::Kind,
    resources::Resources,
    wire::worker::TaskId, //
};

use super::{
    fake,
    network::Entry,
    values, //
};

/// Milliseconds of the global clock for which a worker may still receive work after it began to
/// leave.
const LEAVING_GRACE_MS: u64 = 3_200;

/// Events observed so far.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    started: Vec<TaskId>,
    jobs: Vec<record::Accepted>,
    claims: Vec<record::Claim>,
    outcomes: Vec<record::FinishedAttempt>,
    cancelled: Vec<RunId>,
}

impl Oracle {
    /// Records an entry that was appended to the log.
    pub(super) fn record_entry(&mut self, entry: &Entry) {
        for record in &entry.records {
            match record {
                Record::Accepted(job) if self.job(&job.run).is_none() => {
                    self.jobs.push(job.clone());
                }
                Record::Claim(claim) => self.claims.push(claim.clone()),
                Record::Ended(ended) => {
                    for finish in &ended.tasks {
                        self.record_outcome(finish);
                    }
                }
                Record::Cancel { run } => self.cancelled.push(run.clone()),
                _ => {}
            }
        }
    }

    /// Records that a worker started an attempt, and checks that the start was allowed.
    pub(super) fn record_start(&mut self, id: &TaskId) {
        assert!(!self.started.contains(id), "{id:?} started twice");
        self.started.push(id.clone());
        let job = self.job(&id.run).expect("an accepted job");
        let claims = self.claims.iter().filter(|c| c.run == id.run);
        let mut named = claims.filter(|c| names(c, id));
        let whole = job.tasks as usize;
        let gang = job.terms.kind == Kind::Gang;
        assert!(
            named.any(|c| !gang || c.tasks.len() == whole),
            "{id:?} started without a claim"
        );
        assert!(
            !self.outcomes.iter().any(|e| e.id == *id),
            "{id:?} started after its outcome was proven"
        );
        let done = self.outcomes.iter().any(|e| {
            let same = e.id.run == id.run && e.id.index == id.index;
            same && e.end == record::Outcome::Done && job.terms.kind == Kind::Run
        });
        assert!(!done, "{id:?} started although its task is done");
    }

    /// Checks that an instance may send work to a worker at time `t`.
    pub(super) fn check_send(&self, t: u64, worker: &fake::Worker, token: bamboolock::ids::Token) {
        if let Some(register) = worker.register.as_ref().filter(|r| r.token == token) {
            let end = register.expires;
            assert!(t < end, "sent at {t} under a lease that ended at {end}");
        }
        if let Some(since) = worker.leaving {
            assert!(
                t <= since + LEAVING_GRACE_MS,
                "sent to a worker that is leaving"
            );
        }
    }

    /// Checks the invariants that must hold at all times.
    pub(super) fn check(&self, workers: &[fake::Worker]) {
        let mut active: Vec<&TaskId> = Vec::new();
        for worker in workers {
            let tasks = worker.tasks.iter().filter(|t| t.state.active());
            let requests = worker.requests.iter().map(|r| r.demand);
            let demands = tasks.clone().map(|t| t.demand).chain(requests);
            let sum = demands.fold(Resources::default(), |sum, d| sum.plus(&d));
            let room = values::capacity();
            assert!(
                sum.fits(&room),
                "{} is overcommitted with {sum:?}",
                worker.id
            );
            active.extend(tasks.map(|t| &t.id));
        }
        active.sort_unstable();
        for pair in active.windows(2) {
            let same = (&pair[0].run, pair[0].index) == (&pair[1].run, pair[1].index);
            assert!(!same, "two attempts at a task are running: {pair:?}");
            let gang = self
                .job(&pair[0].run)
                .is_some_and(|j| j.terms.kind == Kind::Gang);
            let mixed = gang && pair[0].run == pair[1].run && pair[0].attempt != pair[1].attempt;
            assert!(
                !mixed,
                "a gang was started before its earlier attempt had ended: {pair:?}"
            );
        }
    }

    pub(super) fn job(&self, run: &RunId) -> Option<&record::Accepted> {
        self.jobs.iter().find(|j| j.run == *run)
    }

    /// Returns whether a cancellation of the job is in the log.
    pub(super) fn is_cancelled(&self, run: &RunId) -> bool {
        self.cancelled.contains(run)
    }

    fn record_outcome(&mut self, finish: &record::FinishedAttempt) {
        if self.outcomes.iter().any(|e| e.id == finish.id) {
            return;
        }
        let ran = self.started.contains(&finish.id);
        let unstarted = finish.end == record::Outcome::Unstarted;
        assert!(
            !(ran && unstarted),
            "{:?} ran, but its outcome is unstarted",
            finish.id
        );
        self.outcomes.push(finish.clone());
    }
}

fn names(claim: &record::Claim, id: &TaskId) -> bool {
    let mut tasks = claim.tasks.iter();
    tasks.any(|p| p.index == id.index && p.attempt == id.attempt)
}
