//! Contract tests of the planner.

use assert_matches::assert_matches;
use bamboolock::{
    ids::{
        Millis,
        Token, //
    },
    kernel::runs::{
        Command,
        Runs,
        feasibility::{
            self,
            Infeasible, //
        }, //
    },
    ledger::record::{
        self,
        Outcome,
        Record, //
    },
    profile::{
        Kind,
        Racks,
        Spill, //
    },
    resources::Resources,
    wire::worker::{
        Grant,
        Signal,
        StartAnswer,
        Started,
        State,
        Task, //
    }, //
};

use super::values;

use super::harness::{
    Harness,
    report, //
};

fn placed(claims: &[record::Claim]) -> usize {
    claims.iter().map(|c| c.tasks.len()).sum()
}

#[test]
fn jobs_spill_to_other_zones_as_their_profile_allows() {
    for (name, home, spill, waited, expect) in [
        ("at home", "a", Spill::Zone, 0, 1),
        ("in the region, at once", "b", Spill::Region, 0, 0),
        ("in the region, later", "b", Spill::Region, 600, 1),
        ("never outside its zone", "b", Spill::Zone, 60_000, 0),
        ("in an unknown region", "c", Spill::Region, 60_000, 0),
        ("anywhere, early", "c", Spill::Anywhere, 900, 0),
        ("anywhere, late", "c", Spill::Anywhere, 1_000, 1),
    ] {
        let mut harness = Harness::new(2);
        let mut job = values::accepted("job", Kind::Run, 1);
        job.zone = home.parse().unwrap();
        job.terms.spill = spill;
        harness.apply(1, &Record::Accepted(job));
        harness.advance(waited);
        assert_eq!(placed(&harness.plan()), expect, "{name}");
    }
}

#[test]
fn a_won_claim_starts_once_and_a_lost_one_releases_its_allocation() {
    for (name, by, starts, free) in [("won", 0, 1, 7), ("lost", 1, 0, 8)] {
        let mut harness = Harness::new(2);
        harness.accept("job", Kind::Run, 1);
        let claim = Record::Claim(harness.plan().remove(0));
        assert_eq!(
            harness.free(),
            7,
            "allocated before the claim is in the log"
        );
        let mut rival = claim.clone();
        if let Record::Claim(rival) = &mut rival {
            rival.tasks[0].worker = values::worker(9);
        }
        let first = if by == 0 { &claim } else { &rival };
        let mut commands = harness.apply(by, first);
        commands.extend(harness.apply(0, &claim));
        commands.extend(harness.apply(0, &claim));
        let sent = commands
            .iter()
            .filter(|c| matches!(c, Command::Start { .. }));
        assert_eq!(sent.count(), starts, "{name}");
        assert_eq!(harness.free(), free, "{name}");
    }
}

#[test]
fn a_claim_that_wins_too_late_is_not_started() {
    for (name, wait) in [
        ("the lease was lost", 3_000),
        ("its allocation was released", 6_000),
    ] {
        let mut harness = Harness::new(1);
        harness.accept("job", Kind::Run, 1);
        let claim = harness.plan().remove(0);
        if wait == 3_000 {
            harness.now += wait;
        } else {
            harness.advance(wait);
        }
        let commands = harness.apply(0, &Record::Claim(claim));
        assert_matches!(
            commands.as_slice(),
            [Command::AppendOutcomes(ended)] if ended.tasks[0].end == Outcome::Unstarted,
            "{name}"
        );
    }
}

#[test]
fn the_answer_to_a_start_determines_outcomes_and_allocations() {
    for (name, answer, ends, free) in [
        ("started", Some(Started::Started), 0, 3),
        ("full", Some(Started::Full), 1, 4),
        ("fenced", Some(Started::Fenced), 1, 4),
        ("leaving", Some(Started::Leaving), 1, 4),
        ("no answer", None, 0, 3),
    ] {
        let mut harness = Harness::new(1);
        harness.accept("job", Kind::Run, 1);
        let claim = harness.plan().remove(0);
        let commands = harness.apply(0, &Record::Claim(claim));
        let [
            Command::Start {
                worker, launches, ..
            },
        ] = commands.as_slice()
        else {
            panic!("{name}: no start");
        };
        let ids = [launches[0].id.clone()];
        let results: Vec<_> = answer.into_iter().collect();
        let answer = answer.map(|_| StartAnswer { results });
        let now = Millis(harness.now);
        let told =
            harness
                .runs
                .on_start_answer(now, *worker, &ids, answer.as_ref(), &mut harness.workers);
        assert_eq!(told.len(), ends, "{name}");
        assert_eq!(harness.free(), free, "{name}");
    }
}

#[test]
fn jobs_are_ordered_by_priority_then_deadline() {
    let mut harness = Harness::new(1);
    for (name, priority, deadline) in [("c", 0, 9_000), ("b", 0, 5_000), ("a", 9, 60_000)] {
        let mut job = values::accepted(name, Kind::Run, 1);
        job.terms.priority = priority;
        job.deadline = deadline;
        harness.apply(0, &Record::Accepted(job));
    }
    let order: Vec<_> = harness.plan().iter().map(|c| c.run.to_string()).collect();
    assert_eq!(order, ["a", "b", "c"]);
}

#[test]
fn a_profile_uses_no_more_than_its_quota() {
    let mut harness = Harness::new(2);
    harness.profiles.0.quota = Some(values::demand(3, 1_700));
    harness.profiles.0.quota = harness
        .profiles
        .0
        .quota
        .map(|q| Resources { memory: 9_999, ..q });
    harness.accept("job", Kind::Run, 8);
    let started = harness.start();
    assert_eq!(started.len(), 3);
    assert_eq!(harness.start().len(), 0);
    harness.end(&started[0], Outcome::Done, 0);
    assert_eq!(harness.start().len(), 1);
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let mut harness = Harness::new(2);
    harness.accept("small", Kind::Run, 3);
    let small = harness.start();
    harness.accept("gang", Kind::Gang, 6);
    assert_eq!(placed(&harness.plan()), 0);
    assert_eq!(
        harness.free(),
        5,
        "no resources are allocated for a part of it"
    );
    harness.advance(2_500);
    harness.accept("late", Kind::Run, 1);
    assert_eq!(
        placed(&harness.plan()),
        0,
        "a waiting gang blocks the jobs behind it"
    );
    harness.end(&small[0], Outcome::Done, 0);
    let claims = harness.plan();
    assert_eq!(
        placed(&claims),
        6,
        "all of the gang, and then the workers are full"
    );
    assert_eq!(claims[0].run, values::run("gang"));
    harness.end(&small[1], Outcome::Done, 0);
    assert_eq!(placed(&harness.plan()), 1, "the job behind it");
}

#[test]
fn tasks_are_distributed_over_racks_as_the_profile_says() {
    for (name, racks, expect) in [
        ("spread", Racks::Spread, vec![1, 1, 1, 1]),
        ("together", Racks::Together, vec![4]),
    ] {
        for pack in ["best_fit", "balanced_fit", "spread", "first_fit"] {
            let mut harness = Harness::new(16);
            harness.profiles.0.policies.pack = pack.into();
            let mut job = values::accepted("job", Kind::Run, 4);
            job.terms.racks = racks;
            harness.apply(0, &Record::Accepted(job));
            let claims = harness.plan();
            let rack = |p: &record::Placement| {
                let key = harness.workers.key(&p.worker).unwrap();
                harness.workers.get(key).unwrap().rack.clone()
            };
            let mut used: Vec<_> = claims[0].tasks.iter().map(rack).collect();
            used.sort_unstable();
            let counts: Vec<_> = used.chunk_by(|a, b| a == b).map(<[_]>::len).collect();
            assert_eq!(counts, expect, "{name} by {pack}");
        }
    }
}

#[test]
fn a_failed_task_backs_off_and_resumes_from_its_checkpoint() {
    let mut harness = Harness::new(1);
    harness.accept("job", Kind::Run, 1);
    let id = harness.start().remove(0);
    harness.end(&id, Outcome::Failed, 700);
    assert_eq!(placed(&harness.plan()), 0);
    harness.advance(100);
    let claim = harness.plan().remove(0);
    let commands = harness.apply(0, &Record::Claim(claim));
    assert_matches!(
        commands.as_slice(),
        [Command::Start { launches, .. }] if launches[0].resume == 700
    );
}

#[test]
fn failing_workers_are_ejected_up_to_the_limit() {
    let mut harness = Harness::new(4);
    for round in 0..60 {
        harness.accept(&format!("job-{round}"), Kind::Run, 1);
        for id in harness.start() {
            let place = harness.jobs.assignment(&id).unwrap().clone();
            let bad = place.worker != values::worker(3);
            harness.end(&id, if bad { Outcome::Failed } else { Outcome::Done }, 0);
        }
        harness.advance(20);
    }
    let used = |harness: &mut Harness, name: &str| {
        let mut names = Vec::new();
        for round in 0..20 {
            harness.accept(&format!("{name}-{round}"), Kind::Run, 1);
            for id in harness.start() {
                names.push(harness.jobs.assignment(&id).unwrap().worker.clone());
                harness.end(&id, Outcome::Done, 0);
            }
        }
        names.sort_unstable();
        names.dedup();
        names
    };
    let names = used(&mut harness, "soon");
    assert!(names.contains(&values::worker(3)));
    assert_eq!(names.len(), 2, "two of four workers are not ejected");
    harness.advance(11_000);
    assert_eq!(
        used(&mut harness, "later").len(),
        4,
        "every worker is readmitted"
    );
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut harness = Harness::new(3);
    harness.accept("small", Kind::Service, 12);
    let mut small = harness.start();
    let mut large = values::accepted("large", Kind::Run, 1);
    large.demand = values::demand(4, 500);
    large.terms.priority = 9;
    harness.apply(0, &Record::Accepted(large));
    let mut waited = 0;
    while !small.iter().any(|id| id.run == values::run("large")) {
        assert!(waited < 5_000, "the large task is starved");
        let id = small.remove(0);
        harness.end(&id, Outcome::Done, 0);
        harness.advance(100);
        waited += 100;
        small.extend(harness.start());
    }
}

#[test]
fn mass_cancellation_stops_every_started_task() {
    let mut harness = Harness::new(500);
    for at in 0..500 {
        harness.accept(&format!("job-{at}"), Kind::Run, 4);
    }
    let mut started = Vec::new();
    while harness.free() > 0 {
        started.extend(harness.start());
        harness.advance(50);
    }
    assert_eq!(started.len(), 2_000);
    let mut stopped = Vec::new();
    for at in 0..500 {
        let run = values::run(&format!("job-{at}"));
        for command in harness.apply(0, &Record::Cancel { run }) {
            if let Command::Signal { tasks, .. } = command {
                stopped.extend(
                    tasks
                        .into_iter()
                        .filter(|t| t.1 == Signal::Stop)
                        .map(|t| t.0),
                );
            }
        }
    }
    started.sort_unstable();
    stopped.sort_unstable();
    assert_eq!(stopped, started);
    assert_eq!(placed(&harness.plan()), 0);
}

#[test]
fn infeasible_jobs_are_rejected_with_a_reason() {
    let harness = Harness::new(2);
    let huge = Resources {
        memory: 5_000,
        ..values::demand(1, 500)
    };
    for (name, demand, tasks, kind, expect) in [
        ("fits", values::demand(4, 4_000), 100, Kind::Run, Ok(())),
        (
            "too much",
            huge,
            1,
            Kind::Run,
            Err(Infeasible::Demand("memory".to_owned())),
        ),
        ("whole gang", values::demand(2, 500), 4, Kind::Gang, Ok(())),
        (
            "too many",
            values::demand(2, 500),
            5,
            Kind::Gang,
            Err(Infeasible::GangSize(5, 4)),
        ),
    ] {
        let found = feasibility::check(&harness.workers, &demand, tasks, kind);
        assert_eq!(found, expect, "{name}");
    }
}

#[test]
fn a_restarted_planner_queues_waiting_tasks_and_ignores_claims_of_its_earlier_incarnation() {
    let mut harness = Harness::new(1);
    harness.accept("job", Kind::Run, 2);
    let mut claim = harness.plan().remove(0);
    claim.tasks.truncate(1);
    let me = values::me(0, "a", 2);
    harness.runs = Runs::new(values::runs_cfg(), &values::lease(), me);
    harness
        .runs
        .rebuild(Millis(0), &harness.jobs, &harness.profiles);
    assert_eq!(harness.runs.waiting(), 1);
    assert!(harness.apply(0, &Record::Claim(claim)).is_empty());
    assert_eq!(placed(&harness.plan()), 1);
}

#[test]
fn a_lost_claim_keeps_the_allocation_of_an_attempt_that_another_instance_started() {
    let mut harness = Harness::new(1);
    harness.accept("job", Kind::Run, 1);
    let own = harness.plan().remove(0);
    let key = harness.workers.key(&values::worker(0)).unwrap();
    // Another instance acquires the lease of the worker, claims the same attempt and starts it.
    let mut rival = own.clone();
    rival.tasks[0].token = Token(2);
    let mut taken = report(3);
    taken.tasks = vec![Task {
        id: values::task("job", 0, 1),
        demand: values::demand(1, 500),
        state: State::Running,
        checkpoint: 0,
        reason: "".into(),
    }];
    let (sent, now) = (Millis(harness.now), Millis(harness.now + 1));
    let grant = Grant::Granted(taken);
    assert!(harness.workers.on_answer(sent, now, key, grant).is_some());
    harness.apply(1, &Record::Claim(rival));
    harness.apply(0, &Record::Claim(own));
    assert_eq!(harness.free(), 3, "the worker runs it");
}

#[test]
fn a_report_from_before_the_start_proves_nothing() {
    let mut harness = Harness::new(1);
    harness.accept("job", Kind::Run, 1);
    assert_eq!(harness.start().len(), 1);
    let key = harness.workers.key(&values::worker(0)).unwrap();
    let now = Millis(harness.now);
    let (jobs, workers) = (&harness.jobs, &mut harness.workers);
    let commands = harness.runs.report(now, key, &report(1), jobs, workers);
    assert!(commands.is_empty(), "{commands:?}");
    let commands = harness.runs.report(now, key, &report(2), jobs, workers);
    assert_matches!(
        commands.as_slice(),
        [Command::AppendOutcomes(ended)] if ended.tasks[0].end == Outcome::Unstarted
    );
}
