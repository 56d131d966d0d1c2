//! Tasks that crash the workers that start them, and crashes that no task has caused: which jobs an
//! owner gives up, and after how many starts.

use bamboolock::cell::{
    journal,
    model::{
        self,
        State,
        TaskName, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    driver::{
        Back,
        Cell,
        STEP,
        WAYS, //
    },
    make,
    workers::Deadly, //
};

const JOB: &str = "00000000000000e1";

/// Time after which a task that crashes its workers must have been given up, in milliseconds.
const SOON: u64 = 40_000;

/// Most starts of a task that crashes its workers: the platform's bound, and the bound where nothing
/// else runs on these workers.
const MOST_STARTS: usize = 5;
const MOST_ALONE: usize = 4;

/// All tasks of the first step crash their workers at once.
const AT_ONCE: Deadly = Deadly {
    step: 0,
    index: None,
    delay: 10,
};

fn one(millicores: u32) -> model::Submission {
    make::work(vec![make::step(1, millicores)])
}

fn first() -> TaskName {
    make::task(JOB, 0, 0)
}

/// Checks that no rule was broken.
fn check_sound(cell: &Cell) {
    assert_eq!(cell.judge.violations.first(), None, "{:?}", cell.back);
}

/// Checks that a task was given up, after `most` starts at most, and that its job is shown as failed.
fn check_given_up(cell: &Cell, task: &TaskName, most: usize) {
    let (starts, way) = (cell.judge.starts_of(task), cell.back);
    check_sound(cell);
    assert!(starts <= most, "{way:?}: {starts} starts");
    assert_eq!(cell.state(&task.job), Some(State::Failed), "{way:?}");
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up_after_few_starts() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        cell.submit(JOB, one(1_000), Some(AT_ONCE));
        cell.run(SOON);
        check_given_up(&cell, &first(), MOST_ALONE);
    }
}

#[test]
fn a_task_that_crashes_its_workers_after_a_while_is_given_up() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        let deadly = Deadly {
            delay: 700,
            ..AT_ONCE
        };
        cell.submit(JOB, one(1_000), Some(deadly));
        cell.run(SOON);
        check_given_up(&cell, &first(), MOST_ALONE);
    }
}

#[test]
fn one_task_of_a_step_that_crashes_its_workers_is_given_up() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        let deadly = Deadly {
            index: Some(3),
            ..AT_ONCE
        };
        let work = make::work(vec![make::step(6, 1_000)]);
        cell.submit(JOB, work, Some(deadly));
        cell.run(SOON);
        check_given_up(&cell, &make::task(JOB, 0, 3), MOST_STARTS);
    }
}

#[test]
fn a_member_of_a_gang_that_crashes_its_workers_is_given_up() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        let deadly = Deadly {
            index: Some(2),
            ..AT_ONCE
        };
        let mut step = make::step(4, 4_000);
        step.gang = true;
        cell.submit(JOB, make::work(vec![step]), Some(deadly));
        cell.run(SOON);
        check_given_up(&cell, &make::task(JOB, 0, 2), MOST_STARTS);
    }
}

#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        let mut step = make::step(1, 1_000);
        step.long_running = true;
        cell.submit(JOB, make::work(vec![step]), Some(AT_ONCE));
        cell.run(SOON);
        check_given_up(&cell, &first(), MOST_STARTS);
    }
}

#[test]
fn a_task_with_duplicates_that_crashes_its_workers_is_given_up() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        let mut step = make::step(1, 1_000);
        step.copies = true;
        cell.submit(JOB, make::work(vec![step]), Some(AT_ONCE));
        cell.run_until("a crash", |c| c.judge.crashes_under(&first()) == 1);
        cell.replace_owner();
        cell.run(SOON);
        check_given_up(&cell, &first(), MOST_STARTS);
    }
}

#[test]
fn an_occurrence_that_crashes_its_workers_is_given_up() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        let mut work = one(1_000);
        work.first_due = cell.now + 1_000;
        work.interval = 60_000;
        work.occurrences = 2;
        cell.submit(JOB, work, Some(AT_ONCE));
        cell.run(SOON);
        check_given_up(&cell, &first(), MOST_STARTS);
    }
}

#[test]
fn a_start_whose_answer_was_lost_counts() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        cell.unanswered = true;
        cell.submit(JOB, one(1_000), Some(AT_ONCE));
        cell.run(2 * SOON);
        check_given_up(&cell, &first(), MOST_STARTS);
    }
}

#[test]
fn crashes_are_remembered_by_the_next_owner() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        cell.submit(JOB, one(1_000), Some(AT_ONCE));
        for crashes in 1..=MOST_STARTS as u32 {
            // The owner has learned of the crash and stores what follows; it starts nothing more.
            let learned = |c: &Cell| {
                let final_state = c.state(JOB).is_some_and(State::is_final);
                let crashed = c.judge.crashes_under(&first()) == crashes;
                final_state || crashed && c.engine.cluster.runs.is_empty()
            };
            cell.run_until("the owner learns of a crash", learned);
            let now = cell.now;
            cell.log.extend(make::store(&mut cell.engine, now));
            cell.replace_owner();
        }
        cell.run(SOON);
        check_given_up(&cell, &first(), MOST_STARTS);
    }
}

#[test]
fn a_crash_that_the_owner_did_not_live_to_see_is_made_up_for() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        cell.submit(JOB, one(1_000), Some(AT_ONCE));
        cell.run_until("a crash", |c| c.judge.crashes_under(&first()) == 1);
        cell.run(500);
        cell.replace_owner();
        cell.run(SOON);
        check_given_up(&cell, &first(), MOST_STARTS);
    }
}

#[test]
fn tasks_beside_one_that_crashes_its_workers_complete() {
    for back in WAYS {
        let mut cell = Cell::new(6, back);
        cell.duration = 1_500;
        let ids: Vec<String> = (0..20).map(|n| format!("{n:016x}")).collect();
        ids.iter().for_each(|id| cell.submit(id, one(400), None));
        cell.submit(JOB, one(400), Some(AT_ONCE));
        cell.run(2 * SOON);
        for id in &ids {
            assert_eq!(cell.state(id), Some(State::Completed), "{back:?}: {id}");
        }
        check_given_up(&cell, &first(), MOST_STARTS);
    }
}

#[test]
fn racks_that_crash_twice_fail_no_job() {
    for (back, millicores) in WAYS.into_iter().flat_map(|b| [(b, 8_000), (b, 1_000)]) {
        let mut cell = Cell::new(4, back);
        cell.duration = 2_000;
        let ids: Vec<String> = (0..4).map(|n| format!("{n:016x}")).collect();
        ids.iter()
            .for_each(|id| cell.submit(id, one(millicores), None));
        for _ in 0..2 {
            let runs = |c: &Cell| {
                ids.iter()
                    .all(|id| c.place(&make::task(id, 0, 0)).is_some())
            };
            cell.run_until("all run", runs);
            cell.run(300);
            (0..4).for_each(|at| cell.crash(at));
        }
        cell.run(SOON);
        for id in &ids {
            assert_eq!(
                cell.state(id),
                Some(State::Completed),
                "{back:?}, {millicores}: {id}"
            );
        }
        check_sound(&cell);
    }
}

#[test]
fn a_worker_that_drains_and_exits_is_no_evidence_against_its_tasks() {
    for back in WAYS {
        let mut cell = Cell::new(4, back);
        cell.duration = 60_000;
        cell.submit(JOB, one(1_000), None);
        for _ in 0..5 {
            cell.run_until("it runs", |c| c.place(&first()).is_some());
            let at = cell.place(&first()).unwrap();
            cell.exits[at] = Some(cell.now + 2_500);
            cell.run(3_000);
        }
        cell.duration = 500;
        cell.run(SOON);
        assert_eq!(cell.state(JOB), Some(State::Completed), "{back:?}");
        assert_eq!(cell.judge.starts_of(&first()), 6, "{back:?}");
        check_sound(&cell);
    }
}

#[test]
fn a_silent_worker_whose_lease_has_lapsed_is_no_evidence_against_its_tasks() {
    let mut cell = Cell::new(4, Back::Itself);
    cell.duration = 60_000;
    cell.submit(JOB, one(1_000), None);
    for _ in 0..5 {
        cell.run_until("it runs", |c| c.place(&first()).is_some());
        let at = cell.place(&first()).unwrap();
        cell.cuts[at] = cell.now + 9_000;
        cell.run_until("it lapses", |c| c.place(&first()) != Some(at));
    }
    cell.duration = 500;
    cell.run(2 * SOON);
    assert_eq!(cell.state(JOB), Some(State::Completed));
    assert_eq!(cell.judge.starts_of(&first()), 6);
    check_sound(&cell);
}

#[test]
fn a_job_that_is_cancelled_between_crashes_is_cancelled_and_not_started_again() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        cell.submit(JOB, one(1_000), Some(AT_ONCE));
        cell.run_until("a crash", |c| c.judge.crashes_under(&first()) == 2);
        cell.run(100);
        let now = cell.now;
        cell.engine.cancel(JOB, now).unwrap();
        cell.run(SOON);
        assert_eq!(cell.state(JOB), Some(State::Cancelled), "{back:?}");
        assert_eq!(cell.judge.starts_of(&first()), 2, "{back:?}");
        check_sound(&cell);
    }
}

/// Occurrence, step, and ranges of indices of tasks that have succeeded.
type Ranges = (u32, u32, Vec<(u32, u32)>);

/// Progress of a job as builds before this rule know it.
#[derive(Debug, Serialize, Deserialize)]
struct FormerProgress {
    state: State,
    #[serde(default)]
    begun: u32,
    #[serde(default)]
    done: Vec<Ranges>,
    #[serde(default)]
    tasks: Vec<FormerTask>,
}

/// Progress of a task as builds before this rule know it.
#[derive(Debug, Serialize, Deserialize)]
struct FormerTask {
    at: (u32, u32, u32),
    #[serde(default)]
    failed: Vec<u32>,
    run: u32,
    #[serde(default)]
    saved: String,
}

#[test]
fn the_build_before_reads_the_records_of_a_suspected_job() {
    for back in WAYS {
        let mut cell = Cell::new(8, back);
        cell.submit(JOB, one(1_000), Some(AT_ONCE));
        cell.run_until("another start", |c| c.judge.starts_of(&first()) == 2);
        let key = journal::key(journal::Kind::Progress, JOB);
        let records = cell.log.iter().filter(|(name, _)| *name == key.as_str());
        for value in records.filter_map(|(_, value)| value.as_deref()) {
            let read: FormerProgress = serde_json::from_slice(value).unwrap();
            assert!(!read.state.is_final(), "{back:?}");
            let failed = read.tasks.iter().any(|task| !task.failed.is_empty());
            assert!(!failed, "{back:?}: no run has ended as failed: {read:?}");
        }
        let key = journal::key(journal::Kind::Accepted, JOB);
        let accepted = cell.log.iter().find(|(name, _)| *name == key.as_str());
        let value = accepted.unwrap().1.as_deref().unwrap();
        let value: serde_json::Value = serde_json::from_slice(value).unwrap();
        // The build before reads no job whose submission has fields that it does not know.
        let names = |value: &serde_json::Value| -> Vec<String> {
            let fields = value.as_object().unwrap();
            fields.keys().cloned().collect()
        };
        assert_eq!(names(&value["work"]), ["spec", "steps"]);
        let step = &value["work"]["steps"][0];
        assert_eq!(names(step), ["count", "demand", "estimate"]);
    }
}

#[test]
fn records_of_the_build_before_are_read() {
    let mut cell = Cell::new(8, Back::Another);
    cell.submit(JOB, make::work(vec![make::step(3, 1_000)]), None);
    cell.run(STEP);
    let accepted = cell.log.iter().find(|(key, _)| key.starts_with('a'));
    let accepted = accepted.unwrap().clone();
    let task = FormerTask {
        at: (0, 0, 0),
        failed: vec![1],
        run: 1,
        saved: String::new(),
    };
    let progress = FormerProgress {
        state: State::Running,
        begun: 1,
        done: vec![(0, 0, vec![(1, 2)])],
        tasks: vec![task],
    };
    let key = journal::key(journal::Kind::Progress, JOB).to_string();
    let value = serde_json::to_vec(&progress).unwrap();
    let mut next = Cell::new(8, Back::Another);
    next.judge = cell.judge;
    next.log = vec![accepted, (key, Some(value))];
    next.replace_owner();
    next.run(SOON);
    assert_eq!(next.state(JOB), Some(State::Completed));
    assert_eq!(next.judge.completions, 1, "the others had succeeded");
    check_sound(&next);
}
