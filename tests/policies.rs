//! Plug-ins of requests, and the parts of the requests kernel that stand alone: one named row a
//! case.

use bamboolock::{
    context::{
        Distance,
        Order,
        Route,
        Shed,
        Target, //
    },
    ids::Millis,
    kernel::requests::{
        budget::Budget,
        estimate::Estimate,
        limit::Limit,
        quota::{
            Status,
            Team, //
        },
    },
    modules::{
        self,
        Point, //
    },
    resources::Resources, //
};

fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Default::default()
    }
}

/// A target with `active` of 8 slots in use, an answer time in milliseconds and a share of errors.
fn target(active: u32, latency: u64, errors: f64, distance: Distance) -> Target {
    Target {
        free: slots(8 - active),
        active,
        latency: latency * 1_000,
        errors,
        distance,
    }
}

fn route(name: &str, targets: &[Target], random: u64, turn: u64) -> Option<usize> {
    let Some(Point::Route(decide)) = modules::find("route", name).map(|p| p.point) else {
        panic!("no route plug-in {name}");
    };
    decide(&Route {
        targets,
        random,
        turn,
    })
}

fn order(name: &str, ctx: &Order) -> u64 {
    let Some(Point::Order(decide)) = modules::find("order", name).map(|p| p.point) else {
        panic!("no order plug-in {name}");
    };
    decide(ctx)
}

fn shed(name: &str, ctx: &Shed) -> bool {
    let Some(Point::Shed(decide)) = modules::find("shed", name).map(|p| p.point) else {
        panic!("no shed plug-in {name}");
    };
    decide(ctx)
}

#[test]
fn route_plugins_choose() {
    let zone = |active, latency, errors| target(active, latency, errors, Distance::Zone);
    let idle_and_busy = [zone(6, 5, 0.0), zone(1, 5, 0.0)];
    let failing_fast = [zone(0, 1, 0.9), zone(4, 20, 0.0)];
    let far = [
        target(1, 5, 0.0, Distance::Remote),
        target(2, 5, 0.0, Distance::Zone),
    ];
    let slow_near = [
        target(0, 200, 0.0, Distance::Zone),
        target(0, 5, 0.0, Distance::Region),
    ];
    let both = 1 << 32;
    type Row<'a> = (&'a str, &'a str, &'a [Target], u64, u64, usize);
    let rows: [Row<'_>; 11] = [
        ("fewest active", "least_loaded", &idle_and_busy, 0, 0, 1),
        ("near before idle", "least_loaded", &far, 0, 0, 1),
        ("first in turn", "round_robin", &idle_and_busy, 0, 4, 0),
        ("second in turn", "round_robin", &idle_and_busy, 0, 5, 1),
        ("any", "random", &idle_and_busy, 7, 0, 1),
        ("better of both", "two_choices", &idle_and_busy, both, 0, 1),
        ("drawn twice", "two_choices", &idle_and_busy, 0, 0, 0),
        ("near of both", "two_choices", &far, both, 0, 1),
        ("failures weigh", "zone_aware", &failing_fast, 0, 0, 1),
        ("distance weighs", "zone_aware", &far, 0, 0, 1),
        ("a slow near one loses", "zone_aware", &slow_near, 0, 0, 1),
    ];
    for (name, plugin, targets, random, turn, expected) in rows {
        let found = route(plugin, targets, random, turn);
        assert_eq!(found, Some(expected), "{plugin}: {name}");
    }
    for plugin in modules::names("route") {
        assert_eq!(route(plugin, &[], 1, 1), None, "{plugin}: no target");
    }
}

#[test]
fn order_plugins_sort() {
    let base = Order {
        arrived: Millis(100),
        deadline: Millis(1_000),
        priority: 4,
        estimate: 10,
        share: 50,
    };
    let urgent = Order {
        priority: 5,
        ..base
    };
    let early = Order {
        deadline: Millis(900),
        ..base
    };
    let long = Order {
        estimate: 200,
        ..base
    };
    let before = Order {
        arrived: Millis(99),
        ..base
    };
    let served = Order { share: 40, ..base };
    let rows = [
        ("priority", "deadline", urgent),
        ("earlier deadline", "deadline", early),
        ("longer run", "deadline", long),
        ("earlier arrival", "fifo", before),
        ("priority", "fair_share", urgent),
        ("team served less", "fair_share", served),
    ];
    for (name, plugin, first) in rows {
        assert!(
            order(plugin, &first) < order(plugin, &base),
            "{plugin}: {name}"
        );
    }
}

#[test]
fn shed_plugins_refuse() {
    let calm = Shed {
        now: Millis(1_000),
        deadline: Millis(1_100),
        estimate: 20,
        tail: 60,
        wait: 0,
        queued: 0,
        limit: 10,
        priority: 4,
        crowd: 0,
    };
    let full = Shed { queued: 10, ..calm };
    let waits = Shed { wait: 30, ..calm };
    let waits_long = Shed { wait: 45, ..calm };
    let late = Shed {
        estimate: 101,
        ..calm
    };
    let long_tail = Shed { tail: 500, ..calm };
    let crowded = Shed { crowd: 800, ..calm };
    let crowded_urgent = Shed {
        priority: 9,
        ..crowded
    };
    let rows = [
        ("calm", "full_queue", calm, false),
        ("full", "full_queue", full, true),
        ("late", "full_queue", late, false),
        ("calm", "deadline", calm, false),
        ("full", "deadline", full, true),
        ("cannot finish alone", "deadline", late, true),
        ("waits, in time with a long run", "deadline", waits, false),
        ("waits, late with a long run", "deadline", waits_long, true),
        (
            "a long run that need not wait",
            "deadline",
            long_tail,
            false,
        ),
        ("crowded", "deadline", crowded, false),
        ("calm", "priority", calm, false),
        ("full", "priority", full, true),
        ("cannot finish alone", "priority", late, true),
        ("crowded, middle priority", "priority", crowded, true),
        (
            "crowded, highest priority",
            "priority",
            crowded_urgent,
            false,
        ),
    ];
    for (name, plugin, ctx, expected) in rows {
        assert_eq!(shed(plugin, &ctx), expected, "{plugin}: {name}");
    }
}

#[test]
fn run_times_are_learned_and_old_ones_fade() {
    let mut estimate = Estimate::new(700);
    assert_eq!((estimate.median_or_zero(), estimate.p95_or_zero()), (0, 0));
    assert_eq!(estimate.quantile(0.5), 700);
    for took in 1..=100 {
        estimate.record(took);
    }
    for (q, exact) in [(0.5, 50), (0.9, 90), (0.99, 99)] {
        let found = estimate.quantile(q);
        let allowed = exact..=exact * 5 / 4 + 1;
        assert!(allowed.contains(&found), "quantile {q}: {found}");
    }
    assert_eq!(estimate.mean(), 50);
    for _ in 0..20_000 {
        estimate.record(1_000);
    }
    assert!(estimate.quantile(0.1) >= 1_000);
    assert!((950..=1_000).contains(&estimate.mean()));
}

#[test]
fn a_budget_is_a_share_and_saves_up_little() {
    let rows = [
        ("a tenth", 0.1, 50, 5),
        ("nothing", 0.0, 1_000, 0),
        ("saved up for a hundred sends", 0.1, 100_000, 10),
        ("a small share saves one", 0.001, 100_000, 1),
    ];
    for (name, share, sends, expected) in rows {
        let mut budget = Budget::default();
        budget.set_share(share);
        for _ in 0..sends {
            budget.earn();
        }
        // The sum of shares may fall short of a whole token by a rounding error.
        budget.earn();
        let spent = (0..1_000).filter(|_| budget.spend()).count();
        assert_eq!(spent, expected, "{name}");
    }
}

#[test]
fn the_concurrency_limit_follows_failures_only() {
    let mut limit = Limit::new(100);
    let learn = |limit: &mut Limit, from: u64, good: u32, bad: u32| {
        for i in 0..good + bad {
            limit.record(Millis(from + u64::from(i)), i >= bad);
        }
    };
    learn(&mut limit, 0, 40, 24);
    assert_eq!(limit.get(), 100, "a third fails");
    learn(&mut limit, 100, 10, 54);
    assert_eq!(limit.get(), 70, "most fail");
    for i in 0..40 {
        learn(&mut limit, 200 + i * 100, 0, 64);
    }
    assert_eq!(limit.get(), 4, "the lowest limit");
    for i in 0..40 {
        learn(&mut limit, 10_000 + i * 100, 64, 0);
    }
    assert_eq!(limit.get(), 100, "all is well again");
    limit.set_max(3);
    assert_eq!(limit.get(), 3);
}

#[test]
fn quotas_stand() {
    let team = |held, quota| {
        let id: Result<_, _> = "t".parse();
        let mut team = Team::new(id.expect("the id is valid"));
        team.held = slots(held);
        team.quota = slots(quota);
        team
    };
    let rows = [
        ("no quota", team(9, 9), None, 9, Status::Own),
        ("within", team(3, 9), Some(4), 3, Status::Own),
        (
            "beyond, others idle",
            team(4, 9),
            Some(4),
            4,
            Status::Borrowed,
        ),
        (
            "beyond, none left",
            team(9, 9),
            Some(4),
            4,
            Status::Exceeded,
        ),
        ("own, but lent", team(9, 9), Some(4), 1, Status::Exceeded),
    ];
    for (name, team, quota, held, expected) in rows {
        let quota = quota.map(slots);
        let found = team.status(quota.as_ref(), &slots(held), &slots(1));
        assert_eq!(found, expected, "{name}");
    }
}
