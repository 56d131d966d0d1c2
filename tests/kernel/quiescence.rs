//! End of a fuzz case: all faults stop, after which every job must reach its final state.

use bamboolock::{
    ids::RunId,
    ledger::jobs::Jobs,
    profile::Kind,
    wire::{
        caller::JobState,
        worker::State, //
    }, //
};

use super::{
    network::Cuts,
    simulation::Simulation, //
};

/// Maximum number of rounds without faults until every job must have reached its final state.
const MAX_QUIET_ROUNDS: u64 = 1_200;

impl Simulation {
    /// Ends all faults and checks that every accepted job reaches its final state.
    pub(super) fn quiesce(&mut self) {
        self.cuts = Cuts::default();
        for at in 0..self.instances.len() {
            self.instances[at].paused = false;
            if self.instances[at].members.is_leaving() {
                self.restart(at);
            }
        }
        for round in 0..MAX_QUIET_ROUNDS {
            if round % 5 == 0 {
                self.publish();
                self.cancel_services();
            }
            if round % 3 == 0 {
                self.finish_all();
            }
            self.round(100);
            self.oracle.check(&self.workers);
            if self.is_quiescent() {
                self.check_replicas();
                return;
            }
        }
        let unfinished: Vec<_> = self.unfinished().collect();
        panic!(
            "not quiescent after {MAX_QUIET_ROUNDS} rounds without faults: {unfinished:?}, {:?}",
            self.workers
        );
    }

    /// Cancels services, which never end by themselves and may use all resources.
    fn cancel_services(&mut self) {
        for job in 0..self.submitted.len() {
            let spec = self.oracle.job(&self.submitted[job]);
            let service = spec.is_some_and(|s| s.terms.kind == Kind::Service);
            if service && !self.oracle.is_cancelled(&self.submitted[job]) {
                self.cancel(0, job);
            }
        }
    }

    /// Returns the accepted jobs that have not reached a final state or still have running tasks.
    fn unfinished(&self) -> impl Iterator<Item = bamboolock::wire::caller::Status> {
        let jobs = &self.instances[0].jobs;
        self.submitted.iter().filter_map(move |run| {
            self.oracle.job(run)?;
            let status = jobs.status(run)?;
            let over = status.running == 0
                && matches!(
                    status.state,
                    JobState::Done | JobState::Failed | JobState::Cancelled
                );
            (!over).then_some(status)
        })
    }

    fn is_quiescent(&self) -> bool {
        let lost = self
            .submitted
            .iter()
            .any(|run| self.oracle.job(run).is_some() && self.instances[0].jobs.get(run).is_none());
        !lost && self.unfinished().next().is_none() && self.cancelled_stopped() && self.all_free()
    }

    /// Returns whether every instance counts the workers that it holds as entirely free.
    fn all_free(&self) -> bool {
        let mut workers = self.instances.iter().flat_map(|s| s.workers.iter());
        workers.all(|(_, w)| !w.usable() || w.free == w.capacity)
    }

    /// Returns whether no task of a cancelled job is running.
    fn cancelled_stopped(&self) -> bool {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let mut active = tasks.filter(|t| t.state.active());
        !active.any(|t| self.oracle.is_cancelled(&t.id.run))
    }

    /// Checks that every replica at the same log offset has the same jobs, and that a snapshot
    /// restores them.
    fn check_replicas(&self) {
        let first = &self.instances[0];
        for instance in &self.instances[1..] {
            if instance.next_offset == first.next_offset {
                assert_eq!(instance.jobs, first.jobs);
            }
        }
        let text = serde_json::to_string(&first.jobs).unwrap();
        let back: Jobs = serde_json::from_str(&text).unwrap();
        assert_eq!(back, first.jobs);
    }

    /// Ends requests and stopping tasks, and completes running tasks except those of services and
    /// cancelled jobs, which only stop when they receive a signal.
    fn finish_all(&mut self) {
        for worker in 0..self.workers.len() {
            while !self.workers[worker].requests.is_empty() {
                self.finish_request(worker, 0);
            }
            let jobs = &self.oracle;
            let kept = |run: &RunId| {
                let spec = jobs.job(run);
                let service = spec.is_some_and(|s| s.terms.kind == Kind::Service);
                service || jobs.is_cancelled(run)
            };
            for task in &mut self.workers[worker].tasks {
                task.state = match task.state {
                    State::Stopping => State::Stopped,
                    State::Running if !kept(&task.id.run) => State::Done,
                    state => state,
                };
            }
        }
    }
}
