//! Measures the cost of each unit of state at several sizes: bytes on the wire, bytes in memory and
//! time. docs/CAPACITY.md derives the needs of each role at full size from these figures.

use std::{
    fmt,
    time::Instant, //
};

use serde::Serialize;

use crate::{
    bench::{
        cell::{
            self,
            Cell, //
        },
        measures::{
            CAPACITY,
            Error, //
        }, //
    },
    ids::{
        ChangeId,
        Incarnation,
        Millis,
        Offset,
        Token, //
        WorkerIncarnation,
    },
    ledger::{
        record::{
            self,
            Record, //
        },
        state::State, //
    },
    resources::Resources,
    wire::{
        log,
        peer,
        worker::{
            LeaseRequest,
            State as TaskState,
            Task,
            TaskId, //
        }, //
    }, //
};

/// Number of tasks of a job.
const TASKS_PER_JOB: u32 = 20;

/// Number of records in a log entry.
const BATCH_RECORDS: usize = 64;

/// Number of tasks on a busy worker.
const BUSY_TASKS: u32 = 8;

/// Size of a memory page, the unit of /proc/self/statm.
const PAGE_BYTES: u64 = 4_096;

/// Cost of one unit of state, measured at one size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UnitCost {
    /// Name of the quantity.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Number of units of state during the measurement.
    pub size: u64,
    /// Cost per unit of state.
    pub each: f64,
}

impl fmt::Display for UnitCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            unit,
            size,
            each,
        } = self;
        write!(f, "| {name} | {size} | {each:.3} | {unit} |")
    }
}

/// Measures all costs, the sizes in ascending order.
///
/// # Errors
///
/// Returns an error if a name in the benchmark is invalid.
pub fn run() -> Result<Vec<UnitCost>, Error> {
    let mut costs = messages()?;
    for size in [2_000, 8_000, 29_000] {
        costs.extend(workers(size)?);
    }
    for size in [10_000, 40_000, 220_000] {
        costs.extend(tasks(size)?);
    }
    Ok(costs)
}

/// Measures the size of the messages that are sent periodically.
fn messages() -> Result<Vec<UnitCost>, Error> {
    let lease = LeaseRequest {
        holder: "lower-mainland-a-entry-1".parse()?,
        incarnation: Incarnation(1_796_377_730_234),
        token: Some(Token(12)),
        ttl: 3_000,
        task_ttl: 20_000,
    };
    let report = cell::report(CAPACITY, &busy_tasks()?);
    let heartbeat = peer::Heartbeat {
        id: lease.holder.clone(),
        incarnation: lease.incarnation,
        zone: "lower-mainland-a".parse()?,
        region: "lower-mainland".parse()?,
        address: "127.0.0.1:21010".into(),
        peer: "127.0.0.1:21011".into(),
        next: Offset(1_000_000),
        leaving: false,
        free: 300,
        held: 40,
        shapes: vec![CAPACITY],
    };
    let sizes = [
        ("lease message", json_bytes(&lease)?),
        (
            "report of an idle worker",
            json_bytes(&cell::report(CAPACITY, &[]))?,
        ),
        ("report of a worker with 8 tasks", json_bytes(&report)?),
        ("heartbeat", json_bytes(&heartbeat)?),
    ];
    let cost = |(name, each)| UnitCost {
        name,
        unit: "bytes of JSON",
        size: 1,
        each,
    };
    Ok(sizes.into_iter().map(cost).collect())
}

fn json_bytes(value: &impl Serialize) -> Result<f64, Error> {
    Ok(serde_json::to_vec(value)?.len() as f64)
}

/// Returns the tasks of a busy worker.
fn busy_tasks() -> Result<Vec<Task>, Error> {
    let mut tasks = Vec::new();
    for index in 0..BUSY_TASKS {
        let run = "lower-mainland-a-entry-1.19c0ffee000.2a".parse()?;
        tasks.push(Task {
            id: TaskId {
                run,
                index,
                attempt: 1,
            },
            demand: demand(),
            state: TaskState::Running,
            checkpoint: 0,
            reason: "".into(),
        });
    }
    Ok(tasks)
}

fn demand() -> Resources {
    Resources {
        millicores: 250,
        memory: 256,
        accelerators: 0,
        slots: 1,
        connections: 0,
    }
}

/// Measures the lease table of an instance that leases `count` workers.
fn workers(count: u64) -> Result<Vec<UnitCost>, Error> {
    let before = resident_bytes();
    let mut cell = Cell::new(count as usize, CAPACITY, "best_fit")?;
    let memory = resident_bytes().saturating_sub(before) as f64 / count as f64;
    let listing = Cell::listing(count as usize)?;
    let listed = time_per_item(count, || cell.workers.listed(cell.now, &listing));
    let quiet = time_per_item(count, || {
        cell.workers.tick(cell.now, &cell.members);
    });
    cell.now = Millis(cell.now.0 + 1_000);
    let tasks = busy_tasks()?;
    let renewed = time_per_item(count, || {
        cell.renew(CAPACITY, &tasks);
    });
    let cost = |name, unit, each| UnitCost {
        name,
        unit,
        size: count,
        each,
    };
    Ok(vec![
        cost("lease table, memory", "bytes a worker", memory),
        cost("lease table, a quiet look", "microseconds a worker", quiet),
        cost(
            "lease table, a renewal with its report",
            "microseconds a worker",
            renewed,
        ),
        cost("list, an unchanged row", "microseconds a worker", listed),
    ])
}

/// Measures the replayed state of `count` tasks, from acceptance to their end.
fn tasks(count: u64) -> Result<Vec<UnitCost>, Error> {
    let jobs = count / u64::from(TASKS_PER_JOB);
    let mut log = Log::default();
    let before = resident_bytes();
    let mut state = State::new();
    let begin = Instant::now();
    log.write(jobs, accepted, &mut state)?;
    log.write(jobs, claim, &mut state)?;
    let started = begin.elapsed().as_secs_f64() * 1e6;
    let memory = resident_bytes().saturating_sub(before) as f64;
    let begin = Instant::now();
    let snapshot = serde_json::to_vec(&state.snapshot())?;
    let written = begin.elapsed().as_secs_f64() * 1e6;
    let bytes = snapshot.len() as f64;
    drop(snapshot);
    let begin = Instant::now();
    log.write(jobs, ended, &mut state)?;
    let finished = begin.elapsed().as_secs_f64() * 1e6;
    let cost = |name, unit, total: f64| UnitCost {
        name,
        unit,
        size: count,
        each: total / count as f64,
    };
    Ok(vec![
        cost("log, acceptance to end", "bytes a task", log.bytes as f64),
        cost(
            "state, acceptance and claim",
            "microseconds a task",
            started,
        ),
        cost("state, end", "microseconds a task", finished),
        cost("state, memory", "bytes a running task", memory),
        cost("snapshot, text", "bytes a running task", bytes),
        cost("snapshot, writing", "microseconds a running task", written),
    ])
}

/// Generates log entries and counts their bytes.
#[derive(Default)]
struct Log {
    next: u64,
    bytes: u64,
}

impl Log {
    /// Makes a record for each job, groups the records into entries and applies the entries.
    fn write(
        &mut self,
        jobs: u64,
        make: fn(u64) -> Result<Record, Error>,
        state: &mut State,
    ) -> Result<(), Error> {
        let all: Vec<_> = (0..jobs).collect();
        for numbers in all.chunks(BATCH_RECORDS) {
            let mut records = Vec::with_capacity(numbers.len());
            for number in numbers {
                records.push(serde_json::to_value(make(*number)?)?);
            }
            let id: ChangeId = format!("bench-{}", self.next).parse()?;
            let batch = record::Batch {
                format: record::FORMAT,
                id,
                by: record::Author {
                    instance: "bench-entry-1".parse()?,
                    incarnation: Incarnation(1),
                },
                records,
            };
            let payload = serde_json::to_string(&batch)?;
            self.bytes += payload.len() as u64;
            state.apply(&log::Entry {
                offset: Offset(self.next),
                at: Millis(self.next),
                payload,
            });
            self.next += 1;
        }
        Ok(())
    }
}

fn accepted(number: u64) -> Result<Record, Error> {
    Ok(Record::Accepted(Cell::job_record(
        number,
        TASKS_PER_JOB,
        demand(),
    )?))
}

fn claim(number: u64) -> Result<Record, Error> {
    let run = Cell::job_record(number, TASKS_PER_JOB, demand())?.run;
    let mut tasks = Vec::new();
    for index in 0..TASKS_PER_JOB {
        let worker = (number * u64::from(TASKS_PER_JOB) + u64::from(index)) / u64::from(BUSY_TASKS);
        tasks.push(record::Placement {
            index,
            attempt: 1,
            worker: format!("worker-{worker:06}").parse()?,
            token: Token(1),
            boot: WorkerIncarnation(1),
        });
    }
    Ok(Record::Claim(record::Claim { run, tasks }))
}

fn ended(number: u64) -> Result<Record, Error> {
    let run = Cell::job_record(number, TASKS_PER_JOB, demand())?.run;
    let finish = |index| record::FinishedAttempt {
        id: TaskId {
            run: run.clone(),
            index,
            attempt: 1,
        },
        end: record::Outcome::Done,
        checkpoint: 0,
        reason: "".into(),
    };
    let tasks = (0..TASKS_PER_JOB).map(finish).collect();
    Ok(Record::Ended(record::Ended { tasks }))
}

/// Runs `act` and returns its duration divided by `count`, in microseconds.
fn time_per_item(count: u64, mut act: impl FnMut()) -> f64 {
    let begin = Instant::now();
    act();
    begin.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Returns the resident memory of this process, in bytes; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|p| p.parse().ok())
        .map_or(0, |p: u64| p * PAGE_BYTES)
}
