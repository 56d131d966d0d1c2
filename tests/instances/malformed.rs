//! Thousands of malformed entries in the lists that the instances read.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::json;

use super::{
    processes,
    takeover::{
        self,
        Cell, //
    },
};

/// Number of malformed entries among the registrations: several pages of the store.
const ENTRIES: usize = 3_000;

/// Series that counts the malformed registrations.
const COUNT: &str = r#"bamboolock_cell_malformed_entries_total{list="registrations"}"#;

/// Values of another writer, in turn.
fn value(n: usize) -> Vec<u8> {
    let address = |text: &str| {
        let entry = json!({"service": "s", "address": text, "zone": "a", "state": "ready", "born": 1,
            "capacity": {"cpu": 1_000, "mem_mb": 1_000}, "labels": ["kind", "rack"]});
        entry.to_string()
    };
    match n % 7 {
        0 => b"no JSON\n".to_vec(),
        1 => b"\xff\xfe\x00".to_vec(),
        2 => address("127.0.0.1:65536").into_bytes(),
        3 => address("0.0.0.0:80").into_bytes(),
        4 => address("127.0.0.1:9")
            .replace(":1000", ":1e400")
            .into_bytes(),
        5 => address("127.0.0.1:9")
            .replace(":1000", ":99999999999999999999")
            .into_bytes(),
        _ if n < 100 => ("[".repeat(100_000) + &"]".repeat(100_000)).into_bytes(),
        _ => "[".repeat(200).into_bytes(),
    }
}

fn publish(cell: &Cell, round: usize) {
    let mut state = cell.platform.lock().unwrap();
    for n in 0..ENTRIES {
        let key = match n % 5 {
            0 => format!("i {n}&b=#%"),
            1 => format!("i\n{n}\u{e9}/"),
            _ => format!("i-{n}"),
        };
        state.append_record("keyed.servers", &key, &value(n + round));
    }
    // A worker's own entry, which it soon writes again.
    state.append_record("keyed.servers", "w0", b"no JSON");
    state.append_record("keyed.op", "config", b"{\"version\":1e400}");
    state.append_record("keyed.op", "wave/1", b"no JSON");
    // A well-formed entry whose text would begin a line of the log, and its removal.
    let forged = json!({"service": "x\n2026-01-01T00:00:00.000Z FORGED", "address": "127.0.0.1:9", "zone": "a",
        "state": "ready", "born": 1, "capacity": {"cpu": 0, "mem_mb": 0}, "labels": []});
    state.publish("keyed.servers", "forged", &forged);
}

fn remove_forged(cell: &Cell) {
    let mut state = cell.platform.lock().unwrap();
    state.append_record("keyed.servers", "forged", &[]);
}

#[test]
fn thousands_of_malformed_entries_stop_no_instance() {
    let began = Instant::now();
    let mut cell = Cell::start(2);
    cell.submit_for(Duration::from_millis(800));
    let first = cell.owner();
    publish(&cell, 0);
    takeover::wait_until("the entries are counted", || {
        let count = cell.instances[first].metric(COUNT);
        count.is_some_and(|count| count >= ENTRIES as u64)
    });
    cell.submit_for(Duration::from_millis(800));
    publish(&cell, 1);
    cell.submit_for(Duration::from_millis(800));
    remove_forged(&cell);
    thread::sleep(Duration::from_millis(1_000));
    // The next owner reads them from the pages of the store.
    cell.instances[first].kill();
    cell.submit_for(Duration::from_millis(1_500));
    let second = cell.owner();
    assert_ne!(second, first);
    let count = cell.instances[second].metric(COUNT);
    assert!(
        count.is_some_and(|count| count >= ENTRIES as u64),
        "{count:?}"
    );
    cell.instances[first].launch();
    cell.finish();
    let lines = 2 + 17 * (began.elapsed().as_secs() as usize / 10 + 1);
    for instance in &mut cell.instances {
        assert!(!instance.has_ended());
        let log = instance.log();
        let malformed = log.lines().filter(|l| l.contains("malformed entr"));
        // The first instance has run twice.
        assert!((1..2 * lines).contains(&malformed.count()));
        let whole = |line: &&str| {
            line.contains("Z INFO ") || line.contains("Z WARN ") || line.contains("Z ERROR ")
        };
        assert_eq!(log.lines().find(|line| !whole(line)), None);
        assert!(!log.contains("\n2026-01-01"), "a line is forged");
    }
}

#[test]
fn malformed_messages_of_instances_are_rejected() {
    let mut cell = Cell::start(2);
    cell.submit_for(Duration::from_millis(500));
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let bodies = [
        "",
        "no JSON",
        "7",
        "{}",
        "{\"term\":1e400}",
        "{\"submit\":{\"id\":7}}",
        "{\"instance\":\"x\",\"address\":7,\"term\":-1,\"strength\":1e400}",
        &nested,
    ];
    for instance in &cell.instances {
        for path in ["/ping", "/owner", "/ask", "/advise"] {
            for body in bodies {
                let answer = processes::exchange(instance.peer, "POST", path, body);
                assert_eq!(answer.map(|a| a.0), Some(400), "{path} {body:.40}");
            }
        }
    }
    // Well-formed, but no instance is at the address and no owner has reached the term.
    let most = u64::MAX;
    let beat = json!({"instance": "x", "address": "no\naddress", "term": most, "strength": 0});
    let owner = json!({"instance": "x", "address": "127.0.0.1:99999", "term": most, "life": most});
    for instance in &cell.instances {
        for (path, message) in [("/ping", &beat), ("/owner", &owner)] {
            let answer = processes::exchange(instance.peer, "POST", path, &message.to_string());
            assert_eq!(answer.map(|a| a.0), Some(200), "{path}");
        }
    }
    cell.submit_for(Duration::from_millis(1_000));
    cell.finish();
    assert!(cell.instances.iter_mut().all(|i| !i.has_ended()));
}

#[test]
fn a_malformed_owner_record_does_not_repeat_a_term() {
    let mut cell = Cell::start(3);
    cell.submit_for(Duration::from_millis(1_000));
    let first = cell.owner();
    let term = |cell: &Cell| {
        let record = cell.platform.lock().unwrap().newest("keyed.owner", "owner");
        let record: Option<serde_json::Value> = serde_json::from_slice(&record.unwrap()).ok();
        record.and_then(|r| r["term"].as_u64())
    };
    let before = term(&cell).unwrap();
    {
        let mut state = cell.platform.lock().unwrap();
        state.append_record("keyed.owner", "owner", b"no JSON");
    }
    cell.instances[first].signal("STOP");
    takeover::wait_until("another instance claims", || term(&cell).is_some());
    cell.submit_for(Duration::from_millis(2_000));
    let after = term(&cell).unwrap();
    assert!(after > before, "term {after} after term {before}");
    cell.instances[first].signal("CONT");
    cell.submit_for(Duration::from_millis(1_000));
    cell.finish();
}
