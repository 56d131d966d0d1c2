//! Test harness: one instance with its worker table, planner and replica of the jobs.

use bamboolock::{
    ids::{
        Boot,
        Millis,
        Token, //
    },
    kernel::{
        WorkerPool,
        members::Members,
        runs::{
            Command,
            Runs, //
        },
        workers::Workers, //
    },
    ledger::{
        jobs::Jobs,
        record::{
            self,
            Outcome,
            Record, //
        }, //
    },
    profile::Kind,
    resources::Resources,
    wire::{
        list,
        worker::{
            Grant,
            Report,
            StartAnswer,
            Started,
            TaskId, //
        }, //
    }, //
};

use super::values;

/// An instance that holds the leases of all workers of its zone, and its replica of the jobs.
pub(super) struct Harness {
    pub(super) members: Members,
    pub(super) workers: Workers,
    pub(super) runs: Runs,
    pub(super) jobs: Jobs,
    pub(super) profiles: values::Published,
    pub(super) now: u64,
}

impl Harness {
    pub(super) fn new(count: usize) -> Self {
        let me = values::me(0, "a", 1);
        let mut workers = Workers::new(values::lease(), me.clone());
        let rows = (0..count).map(|at| {
            let id = values::worker(at);
            let mut row = values::listed(id.as_str(), list::Role::Worker, "a");
            row.rack = format!("rack-{}", at / 4).parse().unwrap();
            row
        });
        let listing = values::listing(rows.collect());
        let mut members = Members::new(values::membership(), me.clone());
        let mut away = values::listed("entry-9", list::Role::Entry, "b");
        away.region = "island".parse().unwrap();
        members.apply_listing(Millis(0), &values::listing(vec![away]));
        workers.listed(Millis(0), &listing);
        let mut harness = Self {
            members,
            workers,
            runs: Runs::new(values::runs_cfg(), &values::lease(), me),
            jobs: Jobs::default(),
            profiles: values::Published::new(),
            now: 0,
        };
        harness.advance(0);
        harness
    }

    /// Advances the clock by `ms` milliseconds and renews all leases.
    pub(super) fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        loop {
            let now = Millis(self.now);
            for action in self.workers.tick(now, &self.members) {
                let grant = Grant::Granted(report(1));
                self.workers
                    .on_answer(action.sent, now, action.worker, grant);
            }
            if self.now == end {
                break;
            }
            self.now = (self.now + 700).min(end);
        }
        self.runs.tick(Millis(self.now), &mut self.workers);
    }

    pub(super) fn plan(&mut self) -> Vec<record::Claim> {
        let now = Millis(self.now);
        let (jobs, workers) = (&self.jobs, &mut self.workers);
        self.runs
            .plan(now, jobs, workers, &self.members, &self.profiles)
    }

    pub(super) fn apply(&mut self, by: usize, record: &Record) -> Vec<Command> {
        let now = Millis(self.now);
        let author = values::author(by, 1);
        let mut commands = Vec::new();
        for effect in self.jobs.apply(now, &author, record) {
            let workers = &mut self.workers;
            commands.extend(
                self.runs
                    .on_effect(now, &effect, &self.jobs, workers, &self.profiles),
            );
        }
        commands
    }

    pub(super) fn accept(&mut self, name: &str, kind: Kind, tasks: u32) {
        let job = values::accepted(name, kind, tasks);
        self.apply(0, &Record::Accepted(job));
    }

    /// Plans a round in which every claim wins and every start succeeds. Returns the started
    /// attempts.
    pub(super) fn start(&mut self) -> Vec<TaskId> {
        let mut ids = Vec::new();
        for claim in self.plan() {
            for command in self.apply(0, &Record::Claim(claim)) {
                let Command::Start {
                    worker, launches, ..
                } = command
                else {
                    continue;
                };
                let tasks: Vec<_> = launches.into_iter().map(|l| l.id).collect();
                let results = vec![Started::Started; tasks.len()];
                let answer = StartAnswer { results };
                let now = Millis(self.now);
                self.runs
                    .on_start_answer(now, worker, &tasks, Some(&answer), &mut self.workers);
                ids.extend(tasks);
            }
        }
        ids
    }

    pub(super) fn end(&mut self, id: &TaskId, end: Outcome, checkpoint: u64) -> Vec<Command> {
        let finish = record::FinishedAttempt {
            id: id.clone(),
            end,
            checkpoint,
            reason: "".into(),
        };
        let tasks = vec![finish];
        self.apply(0, &Record::Ended(record::Ended { tasks }))
    }

    pub(super) fn free(&self) -> u32 {
        let (taken, total) = self.workers.slots();
        total - taken
    }
}

pub(super) fn report(token: u64) -> Report {
    Report {
        token: Token(token),
        boot: Boot(1),
        capacity: values::capacity(),
        leaving: false,
        tasks: Vec::new(),
        requests: 0,
        earlier: Some(0),
        usage: Resources::default(),
    }
}
