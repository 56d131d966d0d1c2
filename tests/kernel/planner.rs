//! Contract of the planner.

use assert_matches::assert_matches;
use bamboolock::{
    ids::{
        Millis,
        Token, //
    },
    kernel::runs::{
        Command,
        Runs,
        possible::{
            self,
            Impossible, //
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

use super::bench::{
    Bench,
    report, //
};

fn placed(claims: &[record::Claim]) -> usize {
    claims.iter().map(|c| c.tasks.len()).sum()
}

#[test]
fn a_job_is_placed_at_home_at_once_and_elsewhere_as_its_profile_allows() {
    for (name, home, spill, waited, expect) in [
        ("at home", "a", Spill::Zone, 0, 1),
        ("in the region, at once", "b", Spill::Region, 0, 0),
        ("in the region, later", "b", Spill::Region, 600, 1),
        ("never outside its zone", "b", Spill::Zone, 60_000, 0),
        ("in an unknown region", "c", Spill::Region, 60_000, 0),
        ("anywhere, early", "c", Spill::Anywhere, 900, 0),
        ("anywhere, late", "c", Spill::Anywhere, 1_000, 1),
    ] {
        let mut bench = Bench::new(2);
        let mut job = values::accepted("job", Kind::Run, 1);
        job.zone = home.parse().unwrap();
        job.terms.spill = spill;
        bench.apply(1, &Record::Accepted(job));
        bench.pass(waited);
        assert_eq!(placed(&bench.plan()), expect, "{name}");
    }
}

#[test]
fn a_won_claim_starts_once_and_a_lost_one_gives_its_room_back() {
    for (name, by, starts, free) in [("won", 0, 1, 7), ("lost", 1, 0, 8)] {
        let mut bench = Bench::new(2);
        bench.accept("job", Kind::Run, 1);
        let claim = Record::Claim(bench.plan().remove(0));
        assert_eq!(bench.free(), 7, "held before the claim is in the log");
        let mut rival = claim.clone();
        if let Record::Claim(rival) = &mut rival {
            rival.tasks[0].worker = values::worker(9);
        }
        let first = if by == 0 { &claim } else { &rival };
        let mut commands = bench.apply(by, first);
        commands.extend(bench.apply(0, &claim));
        commands.extend(bench.apply(0, &claim));
        let sent = commands
            .iter()
            .filter(|c| matches!(c, Command::Start { .. }));
        assert_eq!(sent.count(), starts, "{name}");
        assert_eq!(bench.free(), free, "{name}");
    }
}

#[test]
fn a_claim_that_wins_too_late_is_not_started() {
    for (name, wait) in [
        ("the lease was lost", 3_000),
        ("its room was given back", 6_000),
    ] {
        let mut bench = Bench::new(1);
        bench.accept("job", Kind::Run, 1);
        let claim = bench.plan().remove(0);
        if wait == 3_000 {
            bench.now += wait;
        } else {
            bench.pass(wait);
        }
        let commands = bench.apply(0, &Record::Claim(claim));
        assert_matches!(
            commands.as_slice(),
            [Command::End(ended)] if ended.tasks[0].end == Outcome::Unstarted,
            "{name}"
        );
    }
}

#[test]
fn the_answer_to_a_start_decides_what_is_known() {
    for (name, answer, ends, free) in [
        ("started", Some(Started::Started), 0, 3),
        ("full", Some(Started::Full), 1, 4),
        ("fenced", Some(Started::Fenced), 1, 4),
        ("leaving", Some(Started::Leaving), 1, 4),
        ("no answer", None, 0, 3),
    ] {
        let mut bench = Bench::new(1);
        bench.accept("job", Kind::Run, 1);
        let claim = bench.plan().remove(0);
        let commands = bench.apply(0, &Record::Claim(claim));
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
        let now = Millis(bench.now);
        let told = bench
            .runs
            .started(now, *worker, &ids, answer.as_ref(), &mut bench.workers);
        assert_eq!(told.len(), ends, "{name}");
        assert_eq!(bench.free(), free, "{name}");
    }
}

#[test]
fn urgent_work_goes_first_then_the_earliest_deadline() {
    let mut bench = Bench::new(1);
    for (name, priority, deadline) in [("c", 0, 9_000), ("b", 0, 5_000), ("a", 9, 60_000)] {
        let mut job = values::accepted(name, Kind::Run, 1);
        job.terms.priority = priority;
        job.deadline = deadline;
        bench.apply(0, &Record::Accepted(job));
    }
    let order: Vec<_> = bench.plan().iter().map(|c| c.run.to_string()).collect();
    assert_eq!(order, ["a", "b", "c"]);
}

#[test]
fn a_profile_holds_no_more_than_its_quota() {
    let mut bench = Bench::new(2);
    bench.profiles.0.quota = Some(values::demand(3, 1_700));
    bench.profiles.0.quota = bench
        .profiles
        .0
        .quota
        .map(|q| Resources { memory: 9_999, ..q });
    bench.accept("job", Kind::Run, 8);
    let started = bench.start();
    assert_eq!(started.len(), 3);
    assert_eq!(bench.start().len(), 0);
    bench.end(&started[0], Outcome::Done, 0);
    assert_eq!(bench.start().len(), 1);
}

#[test]
fn a_gang_takes_all_its_room_or_none() {
    let mut bench = Bench::new(2);
    bench.accept("small", Kind::Run, 3);
    let small = bench.start();
    bench.accept("gang", Kind::Gang, 6);
    assert_eq!(placed(&bench.plan()), 0);
    assert_eq!(bench.free(), 5, "nothing is held for a part of it");
    bench.pass(2_500);
    bench.accept("late", Kind::Run, 1);
    assert_eq!(
        placed(&bench.plan()),
        0,
        "work behind a gang that waits is held back"
    );
    bench.end(&small[0], Outcome::Done, 0);
    let claims = bench.plan();
    assert_eq!(
        placed(&claims),
        6,
        "all of the gang, and then the workers are full"
    );
    assert_eq!(claims[0].run, values::run("gang"));
    bench.end(&small[1], Outcome::Done, 0);
    assert_eq!(placed(&bench.plan()), 1, "the work behind it");
}

#[test]
fn tasks_are_laid_over_racks_as_the_profile_says() {
    for (name, racks, expect) in [
        ("spread", Racks::Spread, vec![1, 1, 1, 1]),
        ("together", Racks::Together, vec![4]),
    ] {
        for pack in ["best_fit", "balanced_fit", "spread", "first_fit"] {
            let mut bench = Bench::new(16);
            bench.profiles.0.policies.pack = pack.into();
            let mut job = values::accepted("job", Kind::Run, 4);
            job.terms.racks = racks;
            bench.apply(0, &Record::Accepted(job));
            let claims = bench.plan();
            let rack = |p: &record::Placement| {
                let key = bench.workers.key(&p.worker).unwrap();
                bench.workers.get(key).unwrap().rack.clone()
            };
            let mut used: Vec<_> = claims[0].tasks.iter().map(rack).collect();
            used.sort_unstable();
            let counts: Vec<_> = used.chunk_by(|a, b| a == b).map(<[_]>::len).collect();
            assert_eq!(counts, expect, "{name} by {pack}");
        }
    }
}

#[test]
fn a_failed_task_rests_and_goes_on_from_its_checkpoint() {
    let mut bench = Bench::new(1);
    bench.accept("job", Kind::Run, 1);
    let id = bench.start().remove(0);
    bench.end(&id, Outcome::Failed, 700);
    assert_eq!(placed(&bench.plan()), 0);
    bench.pass(100);
    let claim = bench.plan().remove(0);
    let commands = bench.apply(0, &Record::Claim(claim));
    assert_matches!(
        commands.as_slice(),
        [Command::Start { launches, .. }] if launches[0].resume == 700
    );
}

#[test]
fn a_worker_that_fails_everything_is_ejected_but_never_too_many() {
    let mut bench = Bench::new(4);
    for round in 0..60 {
        bench.accept(&format!("job-{round}"), Kind::Run, 1);
        for id in bench.start() {
            let place = bench.jobs.assignment(&id).unwrap().clone();
            let bad = place.worker != values::worker(3);
            bench.end(&id, if bad { Outcome::Failed } else { Outcome::Done }, 0);
        }
        bench.pass(20);
    }
    let used = |bench: &mut Bench, name: &str| {
        let mut names = Vec::new();
        for round in 0..20 {
            bench.accept(&format!("{name}-{round}"), Kind::Run, 1);
            for id in bench.start() {
                names.push(bench.jobs.assignment(&id).unwrap().worker.clone());
                bench.end(&id, Outcome::Done, 0);
            }
        }
        names.sort_unstable();
        names.dedup();
        names
    };
    let names = used(&mut bench, "soon");
    assert!(names.contains(&values::worker(3)));
    assert_eq!(names.len(), 2, "two of four stay in service");
    bench.pass(11_000);
    assert_eq!(used(&mut bench, "later").len(), 4, "all get another chance");
}

#[test]
fn a_large_task_is_placed_although_small_ones_keep_coming() {
    let mut bench = Bench::new(3);
    bench.accept("small", Kind::Service, 12);
    let mut small = bench.start();
    let mut large = values::accepted("large", Kind::Run, 1);
    large.demand = values::demand(4, 500);
    large.terms.priority = 9;
    bench.apply(0, &Record::Accepted(large));
    let mut waited = 0;
    while !small.iter().any(|id| id.run == values::run("large")) {
        assert!(waited < 5_000, "the large task starves");
        let id = small.remove(0);
        bench.end(&id, Outcome::Done, 0);
        bench.pass(100);
        waited += 100;
        small.extend(bench.start());
    }
}

#[test]
fn a_wave_of_cancellations_stops_everything_that_was_started() {
    let mut bench = Bench::new(500);
    for at in 0..500 {
        bench.accept(&format!("job-{at}"), Kind::Run, 4);
    }
    let mut started = Vec::new();
    while bench.free() > 0 {
        started.extend(bench.start());
        bench.pass(50);
    }
    assert_eq!(started.len(), 2_000);
    let mut stopped = Vec::new();
    for at in 0..500 {
        let run = values::run(&format!("job-{at}"));
        for command in bench.apply(0, &Record::Cancel { run }) {
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
    assert_eq!(placed(&bench.plan()), 0);
}

#[test]
fn jobs_that_no_worker_could_hold_are_named() {
    let bench = Bench::new(2);
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
            Err(Impossible::Demand("memory".to_owned())),
        ),
        ("whole gang", values::demand(2, 500), 4, Kind::Gang, Ok(())),
        (
            "too many",
            values::demand(2, 500),
            5,
            Kind::Gang,
            Err(Impossible::Members(5, 4)),
        ),
    ] {
        let found = possible::possible(&bench.workers, &demand, tasks, kind);
        assert_eq!(found, expect, "{name}");
    }
}

#[test]
fn a_restarted_planner_takes_up_what_waits_and_starts_nothing_of_its_former_life() {
    let mut bench = Bench::new(1);
    bench.accept("job", Kind::Run, 2);
    let mut claim = bench.plan().remove(0);
    claim.tasks.truncate(1);
    let me = values::me(0, "a", 2);
    bench.runs = Runs::new(values::runs_cfg(), &values::lease(), me);
    bench.runs.rebuild(Millis(0), &bench.jobs, &bench.profiles);
    assert_eq!(bench.runs.waiting(), 1);
    assert!(bench.apply(0, &Record::Claim(claim)).is_empty());
    assert_eq!(placed(&bench.plan()), 1);
}

#[test]
fn a_lost_claim_keeps_the_room_of_an_attempt_that_another_instance_started() {
    let mut bench = Bench::new(1);
    bench.accept("job", Kind::Run, 1);
    let own = bench.plan().remove(0);
    let key = bench.workers.key(&values::worker(0)).unwrap();
    // Another instance takes the worker, claims the same attempt there and starts it.
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
    let (sent, now) = (Millis(bench.now), Millis(bench.now + 1));
    let grant = Grant::Granted(taken);
    assert!(bench.workers.answered(sent, now, key, grant).is_some());
    bench.apply(1, &Record::Claim(rival));
    bench.apply(0, &Record::Claim(own));
    assert_eq!(bench.free(), 3, "the worker runs it");
}

#[test]
fn a_report_from_before_the_start_proves_nothing() {
    let mut bench = Bench::new(1);
    bench.accept("job", Kind::Run, 1);
    assert_eq!(bench.start().len(), 1);
    let key = bench.workers.key(&values::worker(0)).unwrap();
    let now = Millis(bench.now);
    let (jobs, workers) = (&bench.jobs, &mut bench.workers);
    let commands = bench.runs.report(now, key, &report(1), jobs, workers);
    assert!(commands.is_empty(), "{commands:?}");
    let commands = bench.runs.report(now, key, &report(2), jobs, workers);
    assert_matches!(
        commands.as_slice(),
        [Command::End(ended)] if ended.tasks[0].end == Outcome::Unstarted
    );
}
