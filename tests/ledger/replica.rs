//! Tests of the replica against a log with injected faults.

use std::time::Duration;

use assert_matches::assert_matches;
use bamboolock::{
    ids::Offset,
    ledger::{
        effect::Effect,
        record::Record,
        replica::{
            ApplyTail,
            GetStatus,
            GetTail,
            Handle,
            Replica,
            Unavailable, //
        },
        state::State, //
    },
    settings,
    wire::{
        caller::Ran,
        peer, //
    }, //
};
use serde_json::json;

use crate::{
    common::{
        answer,
        author,
        batch,
        body,
        change,
        entry,
        id,
        in_force,
        key,
        part, //
    },
    fake_log::{
        FakeLog,
        Fault, //
    }, //
};

const LONG: Duration = Duration::from_secs(5);

fn settings(log: &FakeLog) -> settings::Entry {
    serde_json::from_value(json!({
        "id": "i1", "zone": "z1", "region": "r1", "listen": "127.0.0.1:1", "peer": "127.0.0.1:1",
        "admin": "127.0.0.1:1", "platform": log.addr.to_string(),
        "log": {"gather": 5, "timeout": 200, "poll": 100, "backoff": 5, "snapshot": 20}
    }))
    .unwrap()
}

fn start(log: &FakeLog, instance: &str) -> Handle {
    Replica::start(&settings(log), author(instance))
}

fn record(value: serde_json::Value) -> Record {
    serde_json::from_value(value).unwrap()
}

async fn publish(replica: &Handle, base: u32, name: &str) -> Result<Vec<Effect>, Unavailable> {
    let value = change(name, "checks", base, body(u8::try_from(base % 10).unwrap()));
    replica.append(vec![record(value)], LONG).await
}

/// Waits until a condition holds; panics after about 5 seconds.
async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..1_000 {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("not in time: {what}");
}

async fn loaded(replica: &Handle) -> bool {
    replica.addr.send(GetStatus).await.unwrap().loaded
}

#[actix::test]
async fn an_append_resolves_with_the_effects_of_its_own_records() {
    let log = FakeLog::start();
    let replica = start(&log, "i1");
    let first = replica.append(vec![record(key("k1", "r1"))], LONG);
    let second = replica.append(vec![record(key("k1", "r2")), record(key("k2", "r2"))], LONG);
    let (first, second) = tokio::join!(first, second);
    assert_matches!(first.unwrap().as_slice(), [Effect::Key { request, .. }] if *request == id("r1"));
    assert_matches!(
        second.unwrap().as_slice(),
        [Effect::Key { holder: a, .. }, Effect::Key { holder: b, .. }]
            if *a == id("r1") && *b == id("r2")
    );
    assert_eq!(
        log.content.lock().unwrap().entries.len(),
        1,
        "one group commit"
    );
}

#[actix::test]
async fn a_lost_response_is_resolved_by_reading_back() {
    for fault in [Fault::LoseResponses, Fault::Hang] {
        let log = FakeLog::start();
        let replica = start(&log, "i1");
        log.fault(fault);
        for base in 0..3 {
            let effects = publish(&replica, base, &format!("c{base}")).await.unwrap();
            assert_matches!(
                effects[0],
                Effect::Profile { accepted: true, .. },
                "{fault:?}"
            );
        }
        assert_eq!(
            replica.read(|s| in_force(s, "checks")),
            Some((3, 2)),
            "{fault:?}"
        );
    }
}

#[actix::test]
async fn a_batch_read_back_needs_no_acknowledgement() {
    let log = FakeLog::start();
    let mut cfg = settings(&log);
    cfg.log.timeout = LONG;
    let replica = Replica::start(&cfg, author("i1"));
    log.fault(Fault::Hang);
    let three = async {
        for base in 0..3 {
            publish(&replica, base, &format!("c{base}")).await.unwrap();
        }
    };
    assert_matches!(tokio::time::timeout(LONG / 2, three).await, Ok(()));
}

#[actix::test]
async fn a_stalled_connection_is_replaced() {
    let log = FakeLog::start();
    let replica = start(&log, "i1");
    publish(&replica, 0, "c0").await.unwrap();
    log.fault(Fault::Stall);
    let kept = publish(&replica, 1, "c1");
    let back = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        log.fault(Fault::None);
    };
    let (kept, ()) = tokio::join!(kept, back);
    assert_matches!(
        kept.unwrap()[0],
        Effect::Profile {
            accepted: true,
            version: 2,
            ..
        }
    );
}

#[actix::test]
async fn appends_are_retried_during_an_outage_until_their_deadline() {
    let log = FakeLog::start();
    let replica = start(&log, "i1");
    publish(&replica, 0, "c0").await.unwrap();
    log.fault(Fault::Down);
    let soon = Duration::from_millis(100);
    let lost = replica.append(vec![record(key("k", "r"))], soon).await;
    assert_eq!(lost, Err(Unavailable::Pending));
    let kept = publish(&replica, 1, "c1");
    let back = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        log.fault(Fault::None);
    };
    let (kept, ()) = tokio::join!(kept, back);
    assert_matches!(
        kept.unwrap()[0],
        Effect::Profile {
            accepted: true,
            version: 2,
            ..
        }
    );
}

#[actix::test]
async fn an_append_without_a_connection_is_dropped() {
    let log = FakeLog::start();
    let mut cfg = settings(&log);
    cfg.platform = "127.0.0.1:1".parse().unwrap();
    // The backoff is longer than the deadline, so that no append is in progress at the deadline.
    cfg.log.backoff = Duration::from_secs(20);
    let replica = Replica::start(&cfg, author("i1"));
    let soon = Duration::from_secs(2);
    let lost = replica.append(vec![record(key("k", "r"))], soon).await;
    assert_eq!(lost, Err(Unavailable::Dropped));
    assert!(!loaded(&replica).await);
}

#[actix::test]
async fn a_new_instance_starts_from_a_snapshot_after_retention() {
    let log = FakeLog::start();
    let writer = start(&log, "i1");
    for base in 0..30 {
        publish(&writer, base, &format!("c{base}")).await.unwrap();
    }
    until("a snapshot is written", async || {
        writer.read(|s| s.last_snapshot().is_some())
    })
    .await;
    let covered = writer.read(|s| s.last_snapshot().unwrap().next);
    log.content.lock().unwrap().first = covered.0;
    let reader = start(&log, "i2");
    until("the reader is loaded", async || loaded(&reader).await).await;
    until("the reader catches up", async || {
        reader.read(State::next) == writer.read(State::next)
    })
    .await;
    assert_eq!(reader.read(State::clone), writer.read(State::clone));
}

#[actix::test]
async fn a_new_instance_without_a_usable_snapshot_is_not_loaded() {
    let log = FakeLog::start();
    {
        let mut content = log.content.lock().unwrap();
        let mut state = State::new();
        for base in 0..4 {
            let text = batch(
                "b",
                vec![change(&format!("c{base}"), "checks", base, body(1))],
            );
            let offset = content.append(&text);
            state.apply(&entry(offset.0, &text));
        }
        let mut broken = state.snapshot().state;
        broken["profiles"] = json!(1);
        let broken = part(4, 0, 1, &broken.to_string());
        content.append(&batch("b", vec![broken]));
        content.first = 2;
    }
    let reader = start(&log, "i2");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!loaded(&reader).await);
}

#[actix::test]
async fn entries_and_snapshots_from_peers_are_applied_during_an_outage() {
    let log = FakeLog::start();
    let peer = start(&log, "i1");
    for base in 0..5 {
        publish(&peer, base, &format!("c{base}")).await.unwrap();
    }
    log.fault(Fault::Down);
    let follower = start(&log, "i2");
    let tail = peer.addr.send(GetTail { from: Offset(0) }).await.unwrap();
    let next = follower.addr.send(ApplyTail(tail)).await.unwrap();
    assert_eq!(next, peer.read(State::next));
    assert!(loaded(&follower).await);
    assert_eq!(follower.read(State::clone), peer.read(State::clone));

    let other = start(&log, "i3");
    let snapshot = peer.read(State::snapshot);
    let older = peer::Snapshot {
        next: Offset(0),
        state: State::new().snapshot().state,
    };
    for snapshot in [snapshot, older] {
        let tail = peer::Tail {
            entries: Vec::new(),
            snapshot: Some(snapshot),
        };
        other.addr.send(ApplyTail(tail)).await.unwrap();
        assert_eq!(other.read(|s| in_force(s, "checks")), Some((5, 4)));
    }
}

#[actix::test]
async fn snapshots_are_split_and_records_rejected_above_the_entry_size_limit() {
    let log = FakeLog::start();
    let writer = start(&log, "i1");
    let answered = |index: usize, size: usize| {
        let (name, request) = (format!("k{index}"), format!("r{index}"));
        let mut answer = answer(&name, &request, Ran::Yes);
        answer["body"] = json!("\"".repeat(size));
        vec![record(key(&name, &request)), record(answer)]
    };
    let soon = Duration::from_secs(2);
    let refused = writer.append(answered(99, 1 << 20), soon).await;
    assert_eq!(refused, Err(Unavailable::Dropped));
    let all = (0..30).map(|i| writer.append(answered(i, 30_000), LONG));
    for result in futures_util::future::join_all(all).await {
        assert_matches!(result.unwrap()[1], Effect::Answer(_));
    }
    for base in 0..20 {
        publish(&writer, base, &format!("c{base}")).await.unwrap();
    }
    until("a snapshot is complete", async || {
        writer.read(|s| s.last_snapshot().is_some_and(|m| m.offset.0 > m.next.0 + 1))
    })
    .await;
    let covered = writer.read(|s| s.last_snapshot().unwrap().next);
    log.content.lock().unwrap().first = covered.0;
    let reader = start(&log, "i2");
    until("the reader is loaded", async || loaded(&reader).await).await;
    assert_eq!(reader.read(|s| s.keys.len()), 30);
}
