//! What clients may take of the machine: framing of requests, deadlines, and who gives way first.

use bamboolock::cell::{
    engine::{
        Engine,
        memory::{
            self,
            Shortage, //
        }, //
    },
    settings,
    shell::{
        intake::{
            ConnectionKey,
            Limit,
            budget::{
                self,
                Budget, //
            },
            connections::{
                Connections,
                Stage,
                Times, //
            },
            framing::{
                Framing,
                HeadScan, //
            },
            notes::{
                self,
                Notes, //
            }, //
        },
        relay::Specs,
    },
};

use super::make::{
    START,
    TIMES,
    queue,
    step,
    work, //
};

const LIMITS: Times = Times {
    head: 3_000,
    body: 5_000,
    body_span: 30_000,
    answer: 5_000,
    closing: 2_000,
};

const PIECE: usize = 100 << 10;

/// Keys of `count` connections.
fn keys(count: usize) -> Vec<ConnectionKey> {
    let mut connections = Connections::new(count);
    (0..count).map(|_| connections.open(0)).collect()
}

/// A head must end at its empty line, however the bytes arrive, or a second request is parsed.
#[test]
fn a_head_ends_at_its_empty_line() {
    for head in [
        "GET / HTTP/1.1\r\nhost: h\r\n\r\n",
        "GET / HTTP/1.1\nhost: h\n\n",
        "\r\n\nGET / HTTP/1.1\r\nhost: h\n\r\n",
    ] {
        let all = format!("{head}GET /next");
        let mut scan = HeadScan::default();
        assert_eq!(scan.end(all.as_bytes()), Some(head.len()), "{head:?}");
        for len in 1..head.len() {
            assert_eq!(scan.end(&all.as_bytes()[..len]), None, "{head:?} at {len}");
        }
        assert_eq!(scan.end(head.as_bytes()), Some(head.len()), "{head:?}");
    }
}

/// The bytes after a body must stay with the next request.
#[test]
fn a_body_ends_where_its_framing_says() {
    let mut sized = Framing::length(5);
    assert_eq!(sized.accept(b"abc", 2), (2, 2));
    assert_eq!(sized.accept(b"cdeGET", 100), (3, 3));
    assert!(sized.is_done());
    assert_eq!(sized.accept(b"GET", 100), (0, 0));
    assert!(Framing::length(0).is_done());

    let chunks = b"3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n";
    let all = [chunks.as_slice(), b"GET /"].concat();
    for room in [1, 2, 4, 100] {
        let mut chunked = Framing::CHUNKED;
        let (mut at, mut data) = (0, 0);
        while !chunked.is_done() {
            let (len, bytes) = chunked.accept(&all[at..], room);
            assert!(len > 0 && bytes <= room);
            at += len;
            data += bytes;
        }
        assert_eq!((at, data), (chunks.len(), 13), "room {room}");
    }
}

/// Without the budget, unfinished bodies fill the memory of the machine.
#[test]
fn requests_wait_while_the_budget_is_exhausted() {
    let keys = keys(3);
    let mut budget = Budget::new(8 * PIECE);
    keys.iter().for_each(|key| budget.begin(*key, false, START));
    assert!(budget.charge(keys[0], 6 * PIECE, START));
    assert!(!budget.charge(keys[1], 2 * PIECE, START));
    assert!(!budget.charge(keys[2], 1, START), "the oldest goes first");
    assert_eq!((budget.used(), budget.waiting()), (6 * PIECE, 2));
    assert_eq!(budget.grant(START), None);
    budget.release(keys[0]);
    assert_eq!(budget.grant(START), Some(keys[1]));
    assert_eq!(budget.grant(START), Some(keys[2]));
    budget.release(keys[1]);
    budget.release(keys[2]);
    assert_eq!((budget.used(), budget.waiting()), (0, 0));
}

/// An ordinary job must not wait behind a crowd of large bodies.
#[test]
fn small_requests_have_a_reserve() {
    let keys = keys(3);
    let mut budget = Budget::new(8 * PIECE);
    budget.begin(keys[0], false, START);
    budget.begin(keys[1], false, START);
    budget.begin(keys[2], true, START);
    assert!(budget.charge(keys[0], 7 * PIECE, START));
    assert!(!budget.charge(keys[1], PIECE, START));
    assert!(budget.charge(keys[2], budget::SMALL_BYTES, START));
}

/// The slowest client gives way first, then the newest; never one whose body is complete.
#[test]
fn the_slowest_and_then_the_newest_body_is_given_up() {
    let keys = keys(5);
    let mut budget = Budget::new(8 * PIECE);
    for (n, key) in keys.iter().enumerate() {
        budget.begin(*key, false, START + n as u64);
    }
    let [complete, slow, sending, newest, waiting] = keys[..] else {
        panic!("five keys");
    };
    assert!(budget.charge(complete, PIECE, START));
    budget.complete(complete);
    for key in [slow, sending, newest] {
        assert!(budget.charge(key, 2 * PIECE, START));
    }
    let now = START + 1_000;
    assert!(!budget.charge(waiting, PIECE, now));
    let late = now + budget::GIVE_UP_SLOW_MS;
    for key in [sending, newest] {
        budget.progress(key, late - 10);
    }
    budget.progress(slow, late - budget::SLOW_MS);
    assert_eq!(budget.give_up(late - 1), None, "reading pauses first");
    assert_eq!(budget.give_up(late), Some(slow));
    assert_eq!(budget.give_up(late), None, "what it holds is enough");
    budget.release(slow);
    assert_eq!(budget.grant(late), Some(waiting));
    assert!(!budget.charge(waiting, 2 * PIECE, late));
    let later = late + budget::GIVE_UP_MS;
    for key in [sending, newest] {
        budget.progress(key, later - 10);
    }
    assert_eq!(budget.give_up(later - 1), None, "their clients send");
    assert_eq!(budget.give_up(later), Some(newest));
    assert_eq!(budget.give_up(later), None);
}

/// A caller must learn within its usual deadline that there is no room.
#[test]
fn a_request_does_not_wait_for_ever() {
    let keys = keys(2);
    let mut budget = Budget::new(8 * PIECE);
    budget.begin(keys[0], false, START);
    budget.begin(keys[1], false, START);
    assert!(budget.charge(keys[0], 7 * PIECE, START));
    budget.complete(keys[0]);
    assert!(!budget.charge(keys[1], PIECE, START));
    assert_eq!(budget.give_up(START + budget::MAX_WAIT_MS - 1), None);
    assert_eq!(budget.give_up(START + budget::MAX_WAIT_MS), Some(keys[1]));
}

/// A decoded job must be charged by its own size, and heads must count.
#[test]
fn heads_and_decoded_jobs_are_charged() {
    let keys = keys(2);
    let mut budget = Budget::new(8 * PIECE);
    assert!(budget.charge_head(keys[0], PIECE, START));
    assert!(budget.charge_head(keys[0], 2 * PIECE, START));
    assert!(!budget.charge_head(keys[1], 7 * PIECE, START));
    budget.begin(keys[0], false, START);
    assert!(budget.charge(keys[0], PIECE, START));
    assert_eq!(budget.used(), 3 * PIECE);
    assert!(budget.replace(keys[0], 5 * PIECE));
    assert!(!budget.replace(keys[0], 6 * PIECE));
    assert!(budget.replace(keys[0], PIECE));
    assert_eq!(budget.used(), 3 * PIECE);
    budget.release(keys[0]);
    budget.release(keys[1]);
    assert_eq!(budget.used(), 0);
}

/// A client that makes no progress must not hold its connection, in any part of a request.
#[test]
fn clients_without_progress_are_overdue() {
    for (stage, span, limit) in [
        (Stage::Opened, 4_000, Limit::HeadTime),
        (Stage::Head, 3_000, Limit::HeadTime),
        (Stage::Body, 5_000, Limit::BodyTime),
        (Stage::Answer, 5_000, Limit::AnswerTime),
        (Stage::Closing, 2_000, Limit::CloseTime),
    ] {
        let mut connections = Connections::new(4);
        let key = connections.open(START);
        connections.enter(key, stage, START);
        let late = |now| connections.overdue(&LIMITS, now).collect::<Vec<_>>();
        assert_eq!(late(START + span - 1), [], "{stage:?}");
        assert_eq!(late(START + span), [(key, limit)], "{stage:?}");
    }
    for stage in [Stage::Idle, Stage::Serving, Stage::Waiting] {
        let mut connections = Connections::new(4);
        let key = connections.open(START);
        connections.enter(key, stage, START);
        assert_eq!(connections.overdue(&LIMITS, START + 60_000).count(), 0);
    }
}

/// A body that trickles must end, but a wait for memory is not its client's fault.
#[test]
fn a_body_that_trickles_is_overdue_in_the_end() {
    let mut connections = Connections::new(4);
    let key = connections.open(START);
    connections.enter(key, Stage::Body, START);
    for second in 1..30 {
        connections.progress(key, START + second * 1_000);
        let late = connections.overdue(&LIMITS, START + second * 1_000 + 900);
        assert_eq!(late.count(), 0);
    }
    connections.enter(key, Stage::Waiting, START + 29_950);
    assert_eq!(connections.overdue(&LIMITS, START + 30_000).count(), 0);
    connections.enter(key, Stage::Body, START + 30_050);
    assert_eq!(connections.overdue(&LIMITS, START + 30_099).count(), 0);
    assert_eq!(connections.overdue(&LIMITS, START + 30_100).count(), 1);
}

/// A new connection must not cost a caller whose request is complete.
#[test]
fn the_connection_without_progress_for_longest_makes_room() {
    let mut connections = Connections::new(3);
    let open: Vec<_> = (0..3).map(|n| connections.open(START + n)).collect();
    assert!(connections.is_full());
    connections.enter(open[0], Stage::Serving, START);
    connections.enter(open[1], Stage::Body, START + 20);
    connections.enter(open[2], Stage::Idle, START + 10);
    assert_eq!(connections.evict(), Some(open[2]));
    assert_eq!(connections.evict(), Some(open[1]), "each is chosen once");
    assert_eq!(connections.evict(), None);
    connections.close(open[2]);
    assert!(!connections.is_full());
    assert_eq!(connections.len(), 2);
}

/// A crowd must not fill the log.
#[test]
fn lines_about_a_limit_are_bounded() {
    let mut notes = Notes::default();
    assert_eq!(notes.note(Limit::Bytes, START), Some(1));
    for n in 1..1_000 {
        assert_eq!(notes.note(Limit::Bytes, START + n), None);
    }
    assert_eq!(notes.note(Limit::Connections, START), Some(1));
    let next = START + notes::INTERVAL_MS;
    assert_eq!(notes.note(Limit::Bytes, next), Some(1_000));
}

/// A client within the platform's limits must not meet a default, on the smallest machine.
#[test]
fn the_defaults_are_beyond_clients_within_the_limits() {
    let limits = settings::Limits::new(160_000_000, 3_900);
    assert!(limits.callers.connections >= 500, "{limits:?}");
    assert!(limits.callers.bytes >= 64 * 262_144);
    assert!(limits.head_bytes >= 16_384 + 1_024);
    assert!(limits.head_time >= 3_000 && limits.body_time > 3_000);
    assert!(limits.peers.bytes >= 2 * (4 << 20));
    let large = memory::submission_bytes(&work(vec![step(1, 100); 20_000]));
    assert!(2 * large < limits.callers.bytes / 2, "{large}");
    let connections =
        limits.callers.connections + limits.ready.connections * 2 + limits.peers.connections;
    assert!(connections < 3_900);
    let bytes = limits.callers.bytes + limits.ready.bytes + limits.peers.bytes;
    let bytes = bytes + limits.job_bytes + limits.spec_bytes;
    assert!(bytes + limits.callers.connections * 32_768 < 112_000_000);
}

/// Specifications that are kept for relays must not grow with the number of jobs, also empty ones.
#[test]
fn kept_specifications_are_bounded() {
    let specs = Specs::new(1_000);
    let known = |n: u32, spec: &str| {
        let id = format!("{n:016x}");
        specs.get(&id, xxhash_rust::xxh3::xxh3_64(spec.as_bytes()))
    };
    for n in 0..100 {
        specs.insert(&format!("{n:016x}"), "");
    }
    let kept = (0..100).filter(|n| known(*n, "").is_some()).count();
    assert!((2..=10).contains(&kept), "{kept}");
    assert!(known(99, "").is_some(), "the newest is kept");
    specs.insert("0000000000000064", &"x".repeat(2_000));
    assert!(known(100, &"x".repeat(2_000)).is_none());
    specs.insert("0000000000000065", "spec");
    assert!(known(101, "spec").is_some());
}

fn owner(limit: usize) -> Engine {
    let mut engine = Engine::new(1, TIMES);
    engine.set_memory(limit, 2_000_000);
    engine
}

fn submit(engine: &mut Engine, id: u32, steps: Vec<bamboolock::cell::model::Step>) -> bool {
    let (id, work) = (format!("{id:016x}"), work(steps));
    let room = engine.check_room(&id, &work).is_ok();
    if room {
        let submitted = engine.submit(&id, queue("q", 0), work, START);
        assert!(submitted.is_ok());
    }
    room
}

/// Stores what has changed.
fn store(engine: &mut Engine) {
    if let Some((batch, _)) = engine.take_batch() {
        engine.batch_stored(batch, START);
    }
}

/// Without a bound, a few hundred accepted jobs of 20,000 tasks end the owner's process.
#[test]
fn jobs_are_refused_beyond_the_memory_for_jobs() {
    let mut engine = owner(24_000_000);
    let accepted = (0..30).filter(|n| submit(&mut engine, *n, vec![step(20_000, 100)]));
    let accepted = accepted.count();
    assert!((2..8).contains(&accepted), "{accepted}");
    assert!(engine.job_bytes() <= 18_000_000);
    let large = work(vec![step(20_000, 100)]);
    let refused = engine.check_room("00000000000000ff", &large);
    assert_eq!(refused, Err(Shortage::Memory));
    assert_eq!(
        engine.check_room("0000000000000000", &large),
        Ok(()),
        "known"
    );
    assert!(
        submit(&mut engine, 100, vec![step(1, 100)]),
        "an ordinary job"
    );
    store(&mut engine);
    let before = engine.job_bytes();
    for n in 0..accepted {
        engine.cancel(&format!("{n:016x}"), START);
    }
    store(&mut engine);
    assert!(engine.job_bytes() < before / 100, "{}", engine.job_bytes());
    assert!(submit(&mut engine, 101, vec![step(20_000, 100)]));
    engine.cancel(&format!("{:016x}", 100), START);
    engine.cancel(&format!("{:016x}", 101), START);
    store(&mut engine);
    assert_eq!(engine.job_bytes(), 0);
}

/// Occurrences that are due at once must not take more memory than there is, and must all begin.
#[test]
fn occurrences_wait_while_memory_is_scarce() {
    let mut engine = owner(24_000_000);
    let mut many = work(vec![step(10_000, 100)]);
    (many.first_due, many.occurrences) = (1, 200);
    let id = "00000000000000aa";
    assert_eq!(engine.check_room(id, &many), Ok(()));
    assert!(engine.submit(id, queue("q", 0), many, START).is_ok());
    engine.set_wall_clock(START, START);
    store(&mut engine);
    engine.tick(START + 100);
    assert!(engine.job_bytes() <= 24_000_000, "{}", engine.job_bytes());
    let begun = engine.jobs.values().next().unwrap().occurrences.len();
    assert!((2..200).contains(&begun), "{begun}");
    assert!(engine.cancel(id, START).is_some());
    store(&mut engine);
    assert_eq!(engine.job_bytes(), 0);
}

/// A record that the store does not take would be repeated for ever, and nothing after it be stored.
#[test]
fn a_job_whose_record_is_too_large_is_not_accepted() {
    let engine = owner(usize::MAX);
    let many = work(vec![step(1, 100); 20_000]);
    let found = engine.check_room("00000000000000ab", &many);
    assert!(matches!(found, Err(Shortage::Record(bytes)) if bytes > 2_000_000));
    let fewer = work(vec![step(1, 100); 10_000]);
    assert_eq!(engine.check_room("00000000000000ab", &fewer), Ok(()));
}
