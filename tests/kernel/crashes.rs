//! Tests of a task that crashes each worker that runs it: it is given up soon, and what merely ran
//! there, drained or was moved is not.

use bamboolock::{
    ids::{
        Millis,
        WorkerId,
        WorkerIncarnation, //
    },
    kernel::runs::Command,
    ledger::{
        jobs::Jobs,
        record::{
            self,
            Record, //
        }, //
    },
    profile::Kind,
    wire::{
        caller::JobState,
        list,
        worker::TaskId, //
    }, //
};

use super::{
    harness::{
        Harness,
        report, //
    },
    values,
};

/// Number of workers of the cell; a worker that restarted gets no further task.
const WORKERS: usize = 60;

/// Crashes of a task's workers that do not count as failed attempts.
const FREE: usize = 2;

/// Number of failed attempts at which the jobs of these tests fail.
const ATTEMPTS: usize = 3;

/// How a worker ends what runs there.
#[derive(Clone, Copy)]
enum End {
    /// It restarts without notice, as the list shows.
    Crash,
    /// It restarts without notice, as its own report shows.
    ReportedCrash,
    /// It is listed as leaving before it restarts.
    Notice,
    /// It reports that it is leaving before it restarts.
    ReportedNotice,
    /// The platform ended it.
    Gone,
}

/// An instance with its workers as the platform lists them.
struct Cell {
    harness: Harness,
    rows: Vec<list::Instance>,
}

impl Cell {
    fn new() -> Self {
        let rows = (0..WORKERS).map(|at| {
            let mut row = values::listed(values::worker(at).as_str(), list::Role::Worker, "a");
            row.rack = format!("rack-{}", at / 4).parse().unwrap();
            row
        });
        Self {
            harness: Harness::new(WORKERS),
            rows: rows.collect(),
        }
    }

    /// The worker of a task, while it is claimed.
    fn worker(&self, run: &str, index: u32) -> Option<WorkerId> {
        let job = self.harness.jobs.get(&values::run(run))?;
        let mut places = job.assignments();
        let found = places.find(|(at, _)| *at == index)?;
        Some(found.1.worker.clone())
    }

    fn state(&self, run: &str) -> JobState {
        self.harness.jobs.status(&values::run(run)).unwrap().state
    }

    /// Ends what runs on a worker.
    fn end(&mut self, worker: &WorkerId, end: End) {
        let at = self.rows.iter().position(|r| r.id == worker.as_str());
        let at = at.unwrap();
        let incarnation = self.rows[at].incarnation.0 + 1;
        match end {
            End::Gone => self.rows[at].state = list::State::Gone,
            End::Notice => {
                self.rows[at].state = list::State::Leaving;
                self.list();
                self.rows[at].state = list::State::Live;
            }
            End::ReportedNotice => self.report(worker, 1, true),
            End::Crash | End::ReportedCrash => {}
        }
        match end {
            End::Gone => {}
            End::ReportedCrash => self.report(worker, incarnation, false),
            _ => self.rows[at].incarnation = WorkerIncarnation(incarnation),
        }
        self.list();
        self.harness.advance(5_000);
    }

    /// Applies a report of a worker under a new token.
    fn report(&mut self, worker: &WorkerId, incarnation: u64, leaving: bool) {
        let harness = &mut self.harness;
        let now = Millis(harness.now);
        let key = harness.workers.key(worker).unwrap();
        let mut seen = report(1);
        seen.incarnation = WorkerIncarnation(incarnation);
        seen.leaving = leaving;
        if leaving {
            let jobs = harness.jobs.claimed_on(worker).to_vec();
            for (run, index) in jobs {
                let attempt = harness.jobs.get(&run).unwrap().tasks[index as usize].attempt;
                seen.tasks.push(values::running(TaskId {
                    run,
                    index,
                    attempt,
                }));
            }
        }
        harness.workers.reacquire(now, key);
        let actions = harness.workers.tick(now, &harness.members);
        assert!(!actions.is_empty());
        harness.advance(0);
        seen.token = bamboolock::ids::Token(harness.now + 2);
        let grant = bamboolock::wire::worker::LeaseResponse::Granted(seen);
        let now = Millis(harness.now);
        let seen = harness.workers.on_answer(now, now, key, grant).unwrap();
        let (jobs, workers) = (&harness.jobs, &mut harness.workers);
        let commands = harness.runs.report(now, key, &seen, jobs, workers);
        self.apply(commands);
    }

    fn list(&mut self) {
        let harness = &mut self.harness;
        let now = Millis(harness.now);
        let listing = values::listing(self.rows.clone());
        harness.workers.listed(now, &listing);
        let commands = harness.runs.listed(
            now,
            &listing,
            &harness.jobs,
            &harness.members,
            &harness.workers,
        );
        self.apply(commands);
    }

    fn apply(&mut self, commands: Vec<Command>) {
        for command in commands {
            if let Command::AppendOutcomes(ended) = command {
                self.harness.apply(0, &Record::Ended(ended));
            }
        }
    }

    /// Replaces the owner of the job by one that knows only the snapshot of the log.
    fn replace_owner(&mut self) {
        let harness = &mut self.harness;
        let text = serde_json::to_string(&harness.jobs).unwrap();
        harness.jobs = serde_json::from_str(&text).unwrap();
        let now = Millis(harness.now);
        harness.runs.rebuild(now, &harness.jobs, &harness.profiles);
    }

    /// Starts the tasks of a job and ends the worker of its first one, up to `most` times while the
    /// job is active. Returns how many workers were ended.
    fn play(&mut self, run: &str, end: End, most: usize) -> usize {
        for count in 0..most {
            self.harness.start();
            let Some(worker) = self.worker(run, 0) else {
                return count;
            };
            self.end(&worker, end);
            self.replace_owner();
        }
        most
    }
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up_soon() {
    for (name, end) in [("listed", End::Crash), ("reported", End::ReportedCrash)] {
        for kind in [Kind::Run, Kind::Gang] {
            let mut cell = Cell::new();
            cell.harness.accept("deadly", kind, 1);
            let crashed = cell.play("deadly", end, 40);
            assert_eq!(crashed, FREE + ATTEMPTS, "{name}, {kind:?}");
            let status = cell.harness.jobs.status(&values::run("deadly")).unwrap();
            assert_eq!(status.state, JobState::Failed, "{name}, {kind:?}");
            assert_eq!(status.reason, record::CRASHED, "{name}, {kind:?}");
        }
    }
}

#[test]
fn announced_restarts_and_ended_workers_do_not_count_as_crashes() {
    for (name, end) in [
        ("listed notice", End::Notice),
        ("reported notice", End::ReportedNotice),
        ("gone", End::Gone),
    ] {
        let mut cell = Cell::new();
        cell.harness.accept("unlucky", Kind::Run, 1);
        let ended = cell.play("unlucky", end, FREE + ATTEMPTS + 3);
        assert_eq!(ended, FREE + ATTEMPTS + 3, "{name}");
        assert_eq!(cell.state("unlucky"), JobState::Waiting, "{name}");
        let job = cell.harness.jobs.get(&values::run("unlucky")).unwrap();
        assert_eq!(job.tasks[0].failures, 0, "{name}");
    }
}

#[test]
fn a_task_that_ran_beside_a_deadly_one_is_not_given_up() {
    let mut cell = Cell::new();
    cell.harness.accept("deadly", Kind::Run, 1);
    cell.harness.start();
    cell.harness.accept("beside", Kind::Run, 8);
    cell.play("deadly", End::Crash, 40);
    assert_eq!(cell.state("deadly"), JobState::Failed);
    let job = cell.harness.jobs.get(&values::run("beside")).unwrap();
    assert!(job.active());
    assert!(job.tasks.iter().any(|task| task.crashes > 0));
    assert!(job.tasks.iter().all(|task| task.failures == 0));
}

#[test]
fn a_task_whose_worker_crashed_runs_alone_where_it_can() {
    let mut cell = Cell::new();
    cell.harness.accept("deadly", Kind::Run, 1);
    cell.harness.start();
    let worker = cell.worker("deadly", 0).unwrap();
    cell.harness.accept("others", Kind::Run, 30);
    cell.harness.start();
    cell.end(&worker, End::Crash);
    cell.harness.start();
    let worker = cell.worker("deadly", 0).unwrap();
    let beside = cell.harness.jobs.claimed_on(&worker);
    assert_eq!(beside.len(), 1, "{beside:?}");
}

#[test]
fn the_member_that_crashes_its_worker_is_counted_not_its_neighbour() {
    let mut cell = Cell::new();
    cell.harness.accept("gang", Kind::Gang, 2);
    let mut crashed = 0;
    while cell.state("gang") != JobState::Failed && crashed < 20 {
        cell.harness.start();
        let Some(worker) = cell.worker("gang", 1) else {
            break;
        };
        cell.end(&worker, End::Crash);
        crashed += 1;
        if let Some(place) = cell.worker("gang", 0) {
            let attempt = cell.harness.jobs.get(&values::run("gang")).unwrap().tasks[0].attempt;
            assert_ne!(place, worker);
            let id = values::task("gang", 0, attempt);
            cell.harness.end(&id, record::Outcome::Stopped, 0);
        }
    }
    assert!(crashed <= FREE + ATTEMPTS, "{crashed} workers");
}

#[test]
fn a_service_that_crashes_its_workers_waits_longer_each_time_and_is_kept() {
    let mut cell = Cell::new();
    cell.harness.accept("lasting", Kind::Service, 1);
    let crashed = cell.play("lasting", End::Crash, 6);
    assert_eq!(crashed, 6);
    let job = cell.harness.jobs.get(&values::run("lasting")).unwrap();
    assert!(job.active());
    assert_eq!(job.tasks[0].failures, 4, "counted for the backoff");
}

#[test]
fn jobs_of_the_build_before_are_read_and_theirs_by_it() {
    let mut cell = Cell::new();
    cell.harness.accept("deadly", Kind::Run, 1);
    cell.play("deadly", End::Crash, 1);
    let mut value = serde_json::to_value(&cell.harness.jobs).unwrap();
    let task = value
        .pointer_mut("/entries/0/job/tasks/0")
        .and_then(|task| task.as_object_mut())
        .unwrap();
    assert_eq!(task.remove("crashes"), Some(1.into()));
    let jobs: Jobs = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(jobs.get(&values::run("deadly")).unwrap().tasks[0].losses, 1);
    // A field that a build does not know is passed over.
    let task = value.pointer_mut("/entries/0/job/tasks/0").unwrap();
    task["later"] = 7.into();
    serde_json::from_value::<Jobs>(value).unwrap();
}
