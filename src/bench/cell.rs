//! A cell with one instance that leases all workers, for benchmarks of the task planner.

use compact_str::format_compact;

use crate::{
    bench::measures::Error,
    configs,
    ids::{
        Incarnation,
        Millis,
        ProfileName,
        Token, //
        WorkerIncarnation,
    },
    kernel::{
        members::{
            Identity,
            Members, //
        },
        runs::{
            self,
            Runs, //
        },
        workers::Workers, //
    },
    ledger::{
        jobs::Jobs,
        record::{
            self,
            Record, //
        }, //
    },
    profile::Profile,
    resources::Resources,
    wire::{
        list,
        worker::{
            LeaseResponse,
            Report,
            StartResponse,
            Started,
            Task, //
        }, //
    }, //
};

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;

/// Profile lookup that returns the same profile for every name.
pub struct SingleProfile(Profile);

impl runs::Profiles for SingleProfile {
    fn profile(&self, _: &ProfileName) -> Option<&Profile> {
        Some(&self.0)
    }
}

/// One instance that leases all workers of its availability zone.
pub struct Cell {
    /// Simulated time.
    pub now: Millis,
    /// Membership, in which this instance is the only one.
    pub members: Members,
    /// Worker lease table.
    pub workers: Workers,
    /// Task planner.
    pub runs: Runs,
    /// Jobs as replayed from the records.
    pub jobs: Jobs,
    /// Profile of all jobs.
    pub profiles: SingleProfile,
    author: record::Author,
    job_count: u64,
}

impl Cell {
    /// Creates a cell of `count` idle workers and leases all of them.
    ///
    /// # Errors
    ///
    /// Returns an error if a name in the benchmark is invalid.
    pub fn new(count: usize, capacity: Resources, pack: &str) -> Result<Self, Error> {
        let author = record::Author {
            instance: "bench-entry-1".parse()?,
            incarnation: Incarnation(1),
        };
        let identity = Identity {
            id: author.instance.clone(),
            incarnation: author.incarnation,
            zone: "bench-a".parse()?,
            region: "bench".parse()?,
        };
        let profile = serde_json::json!({"kind": "run", "team": "bench",
            "policies": {"pack": pack}});
        let lease = configs::lease::Lease::default();
        let mut cell = Self {
            now: Millis(10_000),
            members: Members::new(configs::membership::Membership::default(), identity.clone()),
            workers: Workers::new(lease.clone(), identity.clone()),
            runs: Runs::new(configs::runs::Runs::default(), &lease, identity),
            jobs: Jobs::default(),
            profiles: SingleProfile(serde_json::from_value(profile)?),
            author,
            job_count: 0,
        };
        cell.apply_listing(count)?;
        cell.renew(capacity, &[]);
        Ok(cell)
    }

    /// Returns the platform's instance list with `count` workers.
    ///
    /// # Errors
    ///
    /// Returns an error if a name in the benchmark is invalid.
    pub fn listing(count: usize) -> Result<list::Listing, Error> {
        let mut instances = Vec::with_capacity(count);
        for number in 0..count {
            instances.push(list::Instance {
                id: format_compact!("worker-{number:06}"),
                role: list::Role::Worker,
                zone: "bench-a".parse()?,
                region: "bench".parse()?,
                rack: format!("rack-{}", number / WORKERS_PER_RACK).parse()?,
                address: format_compact!("127.0.0.1:{}", number % 60_000),
                peer: "".into(),
                state: list::State::Live,
                incarnation: WorkerIncarnation(1),
            });
        }
        let at = Millis(0);
        Ok(list::Listing { at, instances })
    }

    fn apply_listing(&mut self, count: usize) -> Result<(), Error> {
        let listing = Self::listing(count)?;
        self.members.apply_listing(self.now, &listing);
        self.workers.listed(self.now, &listing);
        Ok(())
    }

    /// Grants every lease request that is due. Returns their number.
    pub fn renew(&mut self, capacity: Resources, tasks: &[Task]) -> usize {
        let actions = self.workers.tick(self.now, &self.members);
        let count = actions.len();
        for action in actions {
            let report = report(capacity, tasks);
            let grant = LeaseResponse::Granted(report);
            self.workers
                .on_answer(action.sent, self.now, action.worker, grant);
        }
        count
    }

    /// Applies the record that accepts a job.
    ///
    /// # Errors
    ///
    /// Returns an error if a name in the benchmark is invalid.
    pub fn accept(&mut self, tasks: u32, demand: Resources) -> Result<(), Error> {
        let accepted = Self::job_record(self.job_count, tasks, demand)?;
        self.job_count += 1;
        self.apply(&Record::Accepted(accepted));
        Ok(())
    }

    /// Returns the record that accepts a job.
    ///
    /// # Errors
    ///
    /// Returns an error if a name in the benchmark is invalid.
    pub fn job_record(
        number: u64,
        tasks: u32,
        demand: Resources,
    ) -> Result<record::Accepted, Error> {
        Ok(record::Accepted {
            run: format!("bench-entry-1.19c0ffee000.{number:x}").parse()?,
            profile: "bench".parse()?,
            version: 1,
            zone: "bench-a".parse()?,
            tasks,
            demand,
            terms: record::Terms::default(),
            estimate: 60_000,
            deadline: 600_000,
            key: None,
            payload: serde_json::Value::Null,
        })
    }

    /// Runs one planning round and applies all its claims. Returns the claims.
    pub fn plan(&mut self) -> Vec<record::Claim> {
        let claims = self.runs.plan(
            self.now,
            &self.jobs,
            &mut self.workers,
            &self.members,
            &self.profiles,
        );
        for claim in &claims {
            self.apply(&Record::Claim(claim.clone()));
        }
        claims
    }

    /// Applies a record. Workers start the tasks that they are sent at once.
    fn apply(&mut self, record: &Record) {
        let effects = self.jobs.apply(self.now, &self.author, record);
        for effect in &effects {
            let commands = self.runs.on_effect(
                self.now,
                effect,
                &self.jobs,
                &mut self.workers,
                &self.profiles,
            );
            for command in commands {
                self.start_tasks(command);
            }
        }
    }

    fn start_tasks(&mut self, command: runs::Command) {
        let runs::Command::Start {
            worker, launches, ..
        } = command
        else {
            return;
        };
        let tasks: Vec<_> = launches.into_iter().map(|l| l.id).collect();
        let answer = StartResponse {
            results: vec![Started::Started; tasks.len()],
        };
        let workers = &mut self.workers;
        self.runs
            .on_start_answer(self.now, worker, &tasks, Some(&answer), workers);
    }
}

/// Returns the report of a worker that runs `tasks`; of an idle one if there are none.
#[must_use]
pub fn report(capacity: Resources, tasks: &[Task]) -> Report {
    Report {
        token: Token(1),
        incarnation: WorkerIncarnation(1),
        capacity,
        leaving: false,
        tasks: tasks.to_vec(),
        requests: 0,
        earlier: Some(0),
        usage: Resources::default(),
    }
}
