//! The judge. It knows only the promises, what the workers execute and what stands in the log.

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

/// How long after a worker began to leave it may still be sent work, in real milliseconds.
const LEAVING: u64 = 3_200;

/// What was seen so far.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    begun: Vec<TaskId>,
    jobs: Vec<record::Accepted>,
    claims: Vec<record::Claim>,
    ends: Vec<record::FinishedAttempt>,
    cancelled: Vec<RunId>,
}

impl Oracle {
    /// Notes an entry that the log took.
    pub(super) fn logged(&mut self, entry: &Entry) {
        for record in &entry.records {
            match record {
                Record::Accepted(job) if self.job(&job.run).is_none() => {
                    self.jobs.push(job.clone());
                }
                Record::Claim(claim) => self.claims.push(claim.clone()),
                Record::Ended(ended) => {
                    for finish in &ended.tasks {
                        self.ended(finish);
                    }
                }
                Record::Cancel { run } => self.cancelled.push(run.clone()),
                _ => {}
            }
        }
    }

    /// Notes that a worker began to execute an attempt.
    pub(super) fn began(&mut self, id: &TaskId) {
        assert!(!self.begun.contains(id), "{id:?} executes a second time");
        self.begun.push(id.clone());
        let job = self.job(&id.run).expect("an accepted job");
        let claims = self.claims.iter().filter(|c| c.run == id.run);
        let mut named = claims.filter(|c| names(c, id));
        let whole = job.tasks as usize;
        let gang = job.terms.kind == Kind::Gang;
        assert!(
            named.any(|c| !gang || c.tasks.len() == whole),
            "{id:?} executes without a claim"
        );
        assert!(
            !self.ends.iter().any(|e| e.id == *id),
            "{id:?} executes after its end was proven"
        );
        let done = self.ends.iter().any(|e| {
            let same = e.id.run == id.run && e.id.index == id.index;
            same && e.end == record::Outcome::Done && job.terms.kind == Kind::Run
        });
        assert!(!done, "{id:?} executes although its task is done");
    }

    /// Checks work at the moment when an instance sends it.
    pub(super) fn sent(&self, t: u64, worker: &fake::Worker, token: bamboolock::ids::Token) {
        if let Some(register) = worker.register.as_ref().filter(|r| r.token == token) {
            let end = register.expires;
            assert!(t < end, "sent at {t} under a lease that ended at {end}");
        }
        if let Some(since) = worker.leaving {
            assert!(t <= since + LEAVING, "sent to a worker that is leaving");
        }
    }

    /// Checks what must hold at every moment.
    pub(super) fn check(&self, workers: &[fake::Worker]) {
        let mut active: Vec<&TaskId> = Vec::new();
        for worker in workers {
            let tasks = worker.tasks.iter().filter(|t| t.state.active());
            let requests = worker.requests.iter().map(|r| r.demand);
            let demands = tasks.clone().map(|t| t.demand).chain(requests);
            let sum = demands.fold(Resources::default(), |sum, d| sum.plus(&d));
            let room = values::capacity();
            assert!(sum.fits(&room), "{} holds {sum:?}", worker.id);
            active.extend(tasks.map(|t| &t.id));
        }
        active.sort_unstable();
        for pair in active.windows(2) {
            let same = (&pair[0].run, pair[0].index) == (&pair[1].run, pair[1].index);
            assert!(!same, "two attempts execute: {pair:?}");
            let gang = self
                .job(&pair[0].run)
                .is_some_and(|j| j.terms.kind == Kind::Gang);
            let mixed = gang && pair[0].run == pair[1].run && pair[0].attempt != pair[1].attempt;
            assert!(!mixed, "a gang starts before it has ended: {pair:?}");
        }
    }

    pub(super) fn job(&self, run: &RunId) -> Option<&record::Accepted> {
        self.jobs.iter().find(|j| j.run == *run)
    }

    /// Whether a cancellation of the job stands in the log.
    pub(super) fn is_cancelled(&self, run: &RunId) -> bool {
        self.cancelled.contains(run)
    }

    fn ended(&mut self, finish: &record::FinishedAttempt) {
        if self.ends.iter().any(|e| e.id == finish.id) {
            return;
        }
        let ran = self.begun.contains(&finish.id);
        let unstarted = finish.end == record::Outcome::Unstarted;
        assert!(
            !(ran && unstarted),
            "{:?} ran, but its end says not",
            finish.id
        );
        self.ends.push(finish.clone());
    }
}

fn names(claim: &record::Claim, id: &TaskId) -> bool {
    let mut tasks = claim.tasks.iter();
    tasks.any(|p| p.index == id.index && p.attempt == id.attempt)
}
