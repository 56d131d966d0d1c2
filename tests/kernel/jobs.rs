//! Contract tests of the job state: which claims win, how outcomes change the state, and what is
//! retained.

use bamboolock::{
    ids::{
        Boot,
        Millis,
        Token, //
    },
    ledger::{
        effect::Effect,
        jobs::{
            self,
            Jobs, //
        },
        record::{
            self,
            Outcome,
            Record, //
        }, //
    },
    profile::Kind,
    wire::{
        caller::JobState,
        worker::TaskId, //
    }, //
};

use super::values;

/// A record about the single job of a row.
#[derive(Clone, Copy)]
enum Step {
    Claim(&'static [(u32, u32)]),
    End(u32, u32, Outcome),
    Cancel,
}

use Step::{
    Cancel,
    Claim,
    End as Ends, //
};

struct Row {
    name: &'static str,
    kind: Kind,
    tasks: u32,
    steps: &'static [Step],
    /// Expected result of each claim: whether it won.
    won: &'static [bool],
    state: JobState,
    /// Numbers of waiting, running and completed tasks.
    counts: (u32, u32, u32),
}

const ROWS: &[Row] = &[
    Row {
        name: "a first claim wins, the next on the same attempt loses",
        kind: Kind::Run,
        tasks: 2,
        steps: &[Claim(&[(0, 1)]), Claim(&[(0, 1)])],
        won: &[true, false],
        state: JobState::Running,
        counts: (1, 1, 0),
    },
    Row {
        name: "a claim of a running task's next attempt loses",
        kind: Kind::Run,
        tasks: 1,
        steps: &[Claim(&[(0, 1)]), Claim(&[(0, 2)])],
        won: &[true, false],
        state: JobState::Running,
        counts: (0, 1, 0),
    },
    Row {
        name: "a claim that skips an attempt loses",
        kind: Kind::Run,
        tasks: 1,
        steps: &[Claim(&[(0, 2)])],
        won: &[false],
        state: JobState::Waiting,
        counts: (1, 0, 0),
    },
    Row {
        name: "a claim with one invalid task loses whole",
        kind: Kind::Run,
        tasks: 3,
        steps: &[
            Claim(&[(1, 1)]),
            Claim(&[(0, 1), (1, 1)]),
            Claim(&[(2, 1), (2, 1)]),
        ],
        won: &[true, false, false],
        state: JobState::Running,
        counts: (2, 1, 0),
    },
    Row {
        name: "an index outside the job loses",
        kind: Kind::Run,
        tasks: 1,
        steps: &[Claim(&[(1, 1)]), Claim(&[])],
        won: &[false, false],
        state: JobState::Waiting,
        counts: (1, 0, 0),
    },
    Row {
        name: "an outcome of another attempt has no effect",
        kind: Kind::Run,
        tasks: 1,
        steps: &[
            Claim(&[(0, 1)]),
            Ends(0, 2, Outcome::Done),
            Ends(0, 0, Outcome::Done),
        ],
        won: &[true],
        state: JobState::Running,
        counts: (0, 1, 0),
    },
    Row {
        name: "a duplicate outcome counts once",
        kind: Kind::Run,
        tasks: 2,
        steps: &[
            Claim(&[(0, 1)]),
            Ends(0, 1, Outcome::Done),
            Ends(0, 1, Outcome::Done),
        ],
        won: &[true],
        state: JobState::Running,
        counts: (1, 0, 1),
    },
    Row {
        name: "a done task is not claimed again",
        kind: Kind::Run,
        tasks: 2,
        steps: &[
            Claim(&[(0, 1)]),
            Ends(0, 1, Outcome::Done),
            Claim(&[(0, 2)]),
        ],
        won: &[true, false],
        state: JobState::Running,
        counts: (1, 0, 1),
    },
    Row {
        name: "the number of failed attempts is limited",
        kind: Kind::Run,
        tasks: 1,
        steps: &[
            Claim(&[(0, 1)]),
            Ends(0, 1, Outcome::Failed),
            Claim(&[(0, 2)]),
            Ends(0, 2, Outcome::Failed),
            Claim(&[(0, 3)]),
            Ends(0, 3, Outcome::Failed),
            Claim(&[(0, 4)]),
        ],
        won: &[true, true, true, false],
        state: JobState::Failed,
        counts: (0, 0, 0),
    },
    Row {
        name: "an unstarted attempt does not count as a failure",
        kind: Kind::Run,
        tasks: 1,
        steps: &[
            Claim(&[(0, 1)]),
            Ends(0, 1, Outcome::Unstarted),
            Claim(&[(0, 2)]),
            Ends(0, 2, Outcome::Unstarted),
            Claim(&[(0, 3)]),
            Ends(0, 3, Outcome::Unstarted),
        ],
        won: &[true, true, true],
        state: JobState::Waiting,
        counts: (1, 0, 0),
    },
    Row {
        name: "a cancelled job rejects claims and ends with its attempts",
        kind: Kind::Run,
        tasks: 2,
        steps: &[
            Claim(&[(0, 1)]),
            Cancel,
            Claim(&[(1, 1)]),
            Ends(0, 1, Outcome::Stopped),
        ],
        won: &[true, false],
        state: JobState::Cancelled,
        counts: (0, 0, 0),
    },
    Row {
        name: "a claim of a part of a gang loses",
        kind: Kind::Gang,
        tasks: 3,
        steps: &[Claim(&[(0, 1), (1, 1)])],
        won: &[false],
        state: JobState::Waiting,
        counts: (3, 0, 0),
    },
    Row {
        name: "a gang waits until all its members have ended",
        kind: Kind::Gang,
        tasks: 2,
        steps: &[
            Claim(&[(0, 1), (1, 1)]),
            Ends(0, 1, Outcome::Lost),
            Claim(&[(0, 2), (1, 2)]),
        ],
        won: &[true, false],
        state: JobState::Running,
        counts: (0, 1, 0),
    },
    Row {
        name: "a gang restarts whole, including completed members",
        kind: Kind::Gang,
        tasks: 2,
        steps: &[
            Claim(&[(0, 1), (1, 1)]),
            Ends(0, 1, Outcome::Done),
            Ends(1, 1, Outcome::Lost),
            Claim(&[(0, 2), (1, 2)]),
        ],
        won: &[true, true],
        state: JobState::Running,
        counts: (0, 2, 0),
    },
    Row {
        name: "a service is restarted after every outcome",
        kind: Kind::Service,
        tasks: 1,
        steps: &[
            Claim(&[(0, 1)]),
            Ends(0, 1, Outcome::Done),
            Claim(&[(0, 2)]),
            Ends(0, 2, Outcome::Failed),
            Claim(&[(0, 3)]),
            Ends(0, 3, Outcome::Failed),
            Claim(&[(0, 4)]),
            Ends(0, 4, Outcome::Failed),
            Claim(&[(0, 5)]),
        ],
        won: &[true, true, true, true, true],
        state: JobState::Running,
        counts: (0, 1, 0),
    },
];

fn record(step: Step) -> Record {
    match step {
        Claim(tasks) => Record::Claim(record::Claim {
            run: values::run("job"),
            tasks: tasks.iter().map(|t| placement(t.0, t.1)).collect(),
        }),
        Ends(index, attempt, end) => ended(index, attempt, end, 0),
        Cancel => Record::Cancel {
            run: values::run("job"),
        },
    }
}

fn placement(index: u32, attempt: u32) -> record::Placement {
    record::Placement {
        index,
        attempt,
        worker: values::worker(0),
        token: Token(1),
        boot: Boot(1),
    }
}

fn ended(index: u32, attempt: u32, end: Outcome, checkpoint: u64) -> Record {
    let finish = record::FinishedAttempt {
        id: TaskId {
            run: values::run("job"),
            index,
            attempt,
        },
        end,
        checkpoint,
        reason: "out of memory".into(),
    };
    Record::Ended(record::Ended {
        tasks: vec![finish],
    })
}

fn apply(jobs: &mut Jobs, at: u64, record: &Record) -> Vec<Effect> {
    jobs.apply(Millis(at), &values::author(0, 1), record)
}

fn accept(jobs: &mut Jobs, kind: Kind, tasks: u32) {
    let job = values::accepted("job", kind, tasks);
    apply(jobs, 0, &Record::Accepted(job));
}

#[test]
fn records_have_the_tabulated_effects() {
    for row in ROWS {
        let mut jobs = Jobs::default();
        accept(&mut jobs, row.kind, row.tasks);
        let mut won = Vec::new();
        for step in row.steps {
            for effect in apply(&mut jobs, 1, &record(*step)) {
                if let Effect::Claim { won: yes, .. } = effect {
                    won.push(yes);
                }
            }
        }
        assert_eq!(won, row.won, "{}", row.name);
        let status = jobs.status(&values::run("job")).unwrap();
        assert_eq!(status.state, row.state, "{}", row.name);
        let counts = (status.waiting, status.running, status.done);
        assert_eq!(counts, row.counts, "{}", row.name);
        let text = serde_json::to_string(&jobs).unwrap();
        let back: Jobs = serde_json::from_str(&text).unwrap();
        assert_eq!(back, jobs, "{}: restored from a snapshot", row.name);
    }
}

#[test]
fn the_first_early_end_of_a_member_stops_the_gang_once() {
    let mut jobs = Jobs::default();
    accept(&mut jobs, Kind::Gang, 3);
    apply(&mut jobs, 1, &record(Claim(&[(0, 1), (1, 1), (2, 1)])));
    let stops = |effects: Vec<Effect>| {
        let stopped = effects.into_iter();
        stopped
            .filter(|e| {
                matches!(
                    e,
                    Effect::Stopped {
                        state: JobState::Waiting,
                        ..
                    }
                )
            })
            .count()
    };
    assert_eq!(
        stops(apply(&mut jobs, 2, &ended(1, 1, Outcome::Failed, 0))),
        1
    );
    assert_eq!(
        stops(apply(&mut jobs, 3, &ended(0, 1, Outcome::Stopped, 0))),
        0
    );
    assert_eq!(
        stops(apply(&mut jobs, 4, &ended(2, 1, Outcome::Stopped, 0))),
        0
    );
    assert_eq!(jobs.get(&values::run("job")).unwrap().waiting(), [0, 1, 2]);
}

#[test]
fn a_job_that_fails_every_attempt_reports_a_reason() {
    let mut jobs = Jobs::default();
    accept(&mut jobs, Kind::Run, 1);
    for attempt in 1..=3 {
        let claim = record::Claim {
            run: values::run("job"),
            tasks: vec![placement(0, attempt)],
        };
        apply(&mut jobs, 1, &Record::Claim(claim));
        apply(&mut jobs, 1, &ended(0, attempt, Outcome::Failed, 0));
    }
    let status = jobs.status(&values::run("job")).unwrap();
    assert_eq!(status.state, JobState::Failed);
    assert_eq!(status.reason, "out of memory");
}

#[test]
fn the_highest_checkpoint_is_kept() {
    let mut jobs = Jobs::default();
    accept(&mut jobs, Kind::Run, 1);
    apply(&mut jobs, 1, &record(Claim(&[(0, 1)])));
    apply(&mut jobs, 1, &ended(0, 1, Outcome::Lost, 900));
    apply(&mut jobs, 1, &record(Claim(&[(0, 2)])));
    apply(&mut jobs, 1, &ended(0, 2, Outcome::Lost, 300));
    assert_eq!(
        jobs.get(&values::run("job")).unwrap().tasks[0].checkpoint,
        900
    );
}

#[test]
fn a_repeated_idempotency_key_yields_the_same_job_until_the_job_is_deleted() {
    let mut jobs = Jobs::default();
    let mut first = values::accepted("job", Kind::Run, 1);
    first.key = Some("plan-7".parse().unwrap());
    let mut second = first.clone();
    second.run = values::run("other");
    apply(&mut jobs, 0, &Record::Accepted(first));
    let repeat = Record::Accepted(second);
    let expect = |run: &str| {
        let run = values::run(run);
        let proposed = values::run("other");
        vec![Effect::Accepted { run, proposed }]
    };
    assert_eq!(apply(&mut jobs, 1, &repeat), expect("job"));
    apply(&mut jobs, 2, &record(Cancel));
    assert_eq!(
        apply(&mut jobs, 2 + jobs::RETENTION_MS, &repeat),
        expect("job")
    );
    assert_eq!(
        apply(&mut jobs, 3 + jobs::RETENTION_MS, &repeat),
        expect("other")
    );
}
