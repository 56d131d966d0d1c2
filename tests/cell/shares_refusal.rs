//! Which jobs of organisations are refused at once, and the figures of organisations.

use bamboolock::cell::{
    engine::Engine,
    model,
    shares::{
        Stats,
        notices::Notices, //
    },
    shell::organisations::Families, //
};
use prometheus_client::{
    encoding::text,
    registry::Registry, //
};

use super::{
    make::{
        self,
        START, //
    },
    shares::{
        self,
        id, //
    }, //
};

fn admit(engine: &mut Engine, n: u32, name: &str, work: &model::Submission) -> Result<(), u64> {
    engine.admit(&id(n), name, &make::queue("q", 0), work, START)
}

/// A refusal must be true: no job is refused that has capacity, is known or could start in time, and a
/// refused one is not kept.
#[test]
fn jobs_are_refused_only_when_they_cannot_start_in_time() {
    let list = [
        shares::organisation("a", 100.0, 0),
        shares::organisation("b", 100.0, 0),
    ];
    let mut engine = shares::cell(&[("w1", 2_000)], &list);
    let work = make::work(vec![make::step(1, 1_000)]);
    engine.schedule(START);
    // Objective: 2 x 1,000 + 1,000 ms; no value after 9,000 ms. One organisation has both cores.
    for n in 0..30 {
        assert_eq!(
            admit(&mut engine, n, "a", &work),
            Ok(()),
            "capacity is free"
        );
        shares::submit(&mut engine, n, "a", vec![make::step(1, 1_000)]);
        if n == 20 {
            assert_eq!(shares::started(&mut engine, START).len(), 2);
            // 19 seconds of work wait for two cores.
            assert_eq!(admit(&mut engine, 99, "a", &work), Err(5));
            for gone in 2..5 {
                engine.cancel(&id(gone), START).unwrap();
            }
            make::store(&mut engine, START);
            engine.schedule(START);
            assert_eq!(admit(&mut engine, 99, "a", &work), Ok(()), "16 do not");
            break;
        }
    }
    for n in 21..30 {
        shares::submit(&mut engine, n, "a", vec![make::step(1, 1_000)]);
    }
    assert_eq!(admit(&mut engine, 99, "a", &work), Err(5));
    assert!(!engine.is_known(&id(99)));
    assert_eq!(make::store(&mut engine, START), []);
    assert_eq!(admit(&mut engine, 25, "a", &work), Ok(()), "known");
    assert_eq!(
        admit(&mut engine, 99, "b", &work),
        Ok(()),
        "has its own share"
    );
    assert_eq!(admit(&mut engine, 99, "", &work), Ok(()), "no organisation");
    let later = model::Submission {
        first_due: START + 60_000,
        occurrences: 1,
        ..work.clone()
    };
    assert_eq!(admit(&mut engine, 99, "a", &later), Ok(()), "due later");
    let urgent = model::Queue {
        priority: 0,
        ..make::queue("q", 0)
    };
    let idle = model::Queue {
        priority: 3,
        ..make::queue("q", 0)
    };
    let job = id(99);
    assert!(engine.admit(&job, "a", &idle, &work, START).is_err());
    assert!(engine.admit(&job, "a", &urgent, &work, START).is_err());
}

/// A cap limits what an organisation gets also while the rest of the cell is free.
#[test]
fn the_expected_wait_respects_the_cap() {
    let mut engine = shares::cell(&[("w1", 16_000)], &shares::capped());
    shares::submit(&mut engine, 1, "a", vec![make::step(44, 1_000)]);
    assert_eq!(shares::started(&mut engine, START).len(), 4);
    let work = make::work(vec![make::step(1, 1_000)]);
    // 40 seconds of work wait for four cores: 10 s.
    assert_eq!(admit(&mut engine, 2, "a", &work), Err(5));
    assert_eq!(admit(&mut engine, 2, "b", &work), Ok(()));
    engine.set_organisations(&[shares::organisation("a", 1.0, 5_000)]);
    assert_eq!(admit(&mut engine, 2, "a", &work), Ok(()), "8 s are in time");
}

/// Work that waits for accelerators must not have a job refused that needs none.
#[test]
fn the_expected_wait_counts_only_resources_that_the_job_needs() {
    let list = [shares::organisation("a", 100.0, 0)];
    let mut engine = shares::cell(&[], &list);
    let mut worker = make::worker("w1", 1, 1_000);
    worker.capacity.accelerators = 1;
    engine.register(worker);
    let key = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, key, make::report(1, 500), START);
    make::store(&mut engine, START);
    let mut accelerated = make::step(30, 0);
    accelerated.demand.accelerators = 1;
    shares::submit(&mut engine, 1, "a", vec![accelerated.clone()]);
    let plain = make::step(1, 1_000);
    shares::submit(&mut engine, 2, "a", vec![plain.clone()]);
    assert_eq!(shares::started(&mut engine, START).len(), 2);
    // 29 seconds of work wait for the accelerator, and nothing for the core, which is busy.
    assert_eq!(admit(&mut engine, 3, "a", &make::work(vec![plain])), Ok(()));
    let work = make::work(vec![accelerated]);
    assert_eq!(admit(&mut engine, 4, "a", &work), Err(5));
}

/// A job beyond the rate is served after all that is owed service, and must be told so.
#[test]
fn a_job_beyond_the_rate_is_refused_behind_the_work_of_others() {
    let list = ["a", "b"].map(|name| shares::organisation(name, 1.0, 0));
    let mut engine = shares::cell(&[("w1", 2_000)], &list);
    shares::submit(&mut engine, 1, "b", vec![make::step(30, 1_000)]);
    assert_eq!(shares::started(&mut engine, START).len(), 2);
    let work = make::work(vec![make::step(1, 1_000)]);
    // The organisation has one second of work waiting; 28 of the other one wait for two cores.
    assert_eq!(admit(&mut engine, 3, "a", &work), Ok(()), "within the rate");
    shares::submit(&mut engine, 3, "a", vec![make::step(1, 1_000)]);
    assert_eq!(admit(&mut engine, 4, "a", &work), Err(5));
}

/// An organisation of the least weight is owed one task at a time, and must not be told that it waits
/// for a hundredth of a core.
#[test]
fn the_smallest_organisation_is_not_refused_for_its_weight() {
    let list = [
        shares::organisation("a", 10.0, 0),
        shares::organisation("b", 1_000.0, 0),
    ];
    let mut engine = shares::cell(&[("w1", 2_000)], &list);
    shares::submit(&mut engine, 1, "b", vec![make::step(30, 1_000)]);
    assert_eq!(shares::started(&mut engine, START).len(), 2);
    let work = make::work(vec![make::step(1, 1_000)]);
    for n in 2..5 {
        assert_eq!(admit(&mut engine, n, "a", &work), Ok(()));
        shares::submit(&mut engine, n, "a", vec![make::step(1, 1_000)]);
    }
    assert_eq!(admit(&mut engine, 5, "a", &work), Ok(()));
    assert_eq!(admit(&mut engine, 6, "b", &work), Err(5));
}

/// Operators must see whose work waits, and what keeps it.
#[test]
fn figures_name_what_runs_waits_and_is_withheld_and_refused() {
    let mut engine = shares::cell(&[("w1", 16_000)], &shares::capped());
    shares::submit(&mut engine, 1, "a", vec![make::step(50, 1_000)]);
    assert_eq!(shares::started(&mut engine, START).len(), 4);
    let work = make::work(vec![make::step(1, 1_000)]);
    for n in 2..5 {
        assert_eq!(admit(&mut engine, n, "a", &work), Err(5));
    }
    let figures = |engine: &mut Engine| {
        let all = engine.take_organisation_stats().into_iter();
        let own = all.filter(|stats| stats.name == "a");
        let own = own.map(|s| (s.running, s.waiting, s.withheld, s.placed, s.refused));
        own.collect::<Vec<_>>()
    };
    assert_eq!(figures(&mut engine), [(4_000, 1, 46, 4, 3)]);
    assert_eq!(figures(&mut engine), [(4_000, 1, 46, 0, 0)], "counted once");
}

/// Names of organisations must not make any number of series.
#[test]
fn figures_have_at_most_200_organisations() {
    let mut registry = Registry::default();
    let families = Families::default();
    families.register(&mut registry);
    let stats = |n: u32| Stats {
        name: format!("organisation-{n}").into(),
        running: 1,
        waiting: 0,
        withheld: 0,
        placed: 0,
        refused: 0,
    };
    let stats: Vec<Stats> = (0..300).map(stats).collect();
    families.set(&stats);
    families.set(&stats);
    let mut page = String::new();
    text::encode(&mut page, &registry).unwrap();
    let prefix = "organisation_running_millicores{";
    let lines: Vec<&str> = page.lines().filter(|l| l.starts_with(prefix)).collect();
    assert_eq!(lines.len(), 200);
    assert!(
        lines
            .iter()
            .any(|l| l.contains("_other") && l.ends_with(" 101"))
    );
}

/// Log lines must stay few however often a cap is reached or jobs are refused.
#[test]
fn log_lines_about_an_organisation_are_bounded() {
    let mut notices = Notices::default();
    let lines = (0..10_000).filter(|now| notices.refuse(*now).is_some());
    assert_eq!(lines.count(), 10);
    let mut notices = Notices::default();
    let changes = (0..10_000).filter_map(|now| notices.note_cap(now % 20 < 10, now));
    assert_eq!(changes.collect::<Vec<_>>(), [true]);
    assert_eq!(notices.note_cap(false, 10_500), None);
    assert_eq!(notices.note_cap(false, 11_000), Some(false));
}
