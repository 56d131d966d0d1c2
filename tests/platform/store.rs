//! Malformed items and records of the store: each affects itself alone.

use std::time::Duration;

use assert_matches::assert_matches;
use bamboolock::platform::store::{
    self,
    Record, //
};
use bytes::Bytes;
use tokio::time;

use super::server::{
    self,
    LIMIT, //
};

/// Value of an item that reads as `x`.
const GOOD: &str = "eA==";

fn record(key: &str, value: &'static [u8]) -> Record {
    Record {
        key: key.into(),
        value: Some(Bytes::from_static(value)),
    }
}

fn page(items: &[String], truncated: bool) -> Vec<u8> {
    let items = items.join(",");
    format!(r#"{{"items":[{items}],"truncated":{truncated},"end":9}}"#).into_bytes()
}

fn item(key: &str, value: &str) -> String {
    serde_json::json!({"key": key, "value": value, "offset": 1}).to_string()
}

async fn snapshot(body: Vec<u8>) -> Vec<Record> {
    let (link, _) = server::start(200, vec![body]).await;
    let snapshot = store::snapshot(&link, "t", LIMIT).await.unwrap();
    assert_eq!(snapshot.end, 9);
    snapshot.records
}

#[actix::test]
async fn a_value_that_is_no_base64_is_not_a_removal() {
    let values = ["!!!", "eA", "{\"service\":\"s\"}", "e A=="];
    for value in values {
        let records = snapshot(page(&[item("bad", value), item("good", GOOD)], false)).await;
        assert_eq!(
            records,
            [record("bad", b""), record("good", b"x")],
            "{value}"
        );
    }
}

#[actix::test]
async fn a_malformed_item_does_not_spoil_its_page() {
    let nested = server::nested();
    let without_key = [
        "7".to_owned(),
        "null".to_owned(),
        "1e400".to_owned(),
        nested.clone(),
        format!(r#"{{"key":5,"value":"{GOOD}"}}"#),
        format!(r#"{{"key":{nested},"value":"{GOOD}"}}"#),
        format!(r#"{{"value":"{GOOD}"}}"#),
    ];
    for bad in without_key {
        let records = snapshot(page(&[bad.clone(), item("good", GOOD)], false)).await;
        assert_eq!(records, [record("good", b"x")], "{:.40}", bad);
    }
    let without_value = [
        r#"{"key":"bad","value":1e400}"#.to_owned(),
        r#"{"key":"bad","value":-1}"#.to_owned(),
        format!(r#"{{"key":"bad","value":{nested}}}"#),
    ];
    for bad in without_value {
        let records = snapshot(page(&[bad.clone(), item("good", GOOD)], false)).await;
        assert_eq!(
            records,
            [record("bad", b""), record("good", b"x")],
            "{:.40}",
            bad
        );
    }
    let odd_fields = format!(r#"{{"key":"k","value":"{GOOD}","offset":{nested},"more":1e400}}"#);
    assert_eq!(
        snapshot(page(&[odd_fields], false)).await,
        [record("k", b"x")]
    );
}

#[actix::test]
async fn bytes_that_are_no_utf8_spoil_only_their_item() {
    let mut body = br#"{"items":[{"key":"bad"#.to_vec();
    body.extend(b"\xff\xfe");
    body.extend(br#"","value":"eA=="},{"key":"good","value":"eA=="}],"truncated":false,"end":9}"#);
    assert_eq!(snapshot(body).await, [record("good", b"x")]);
}

#[actix::test]
async fn pages_continue_after_a_key_with_any_characters() {
    let last = "a b&c=#%\n/\u{e9}?";
    let first = page(&[item("a", GOOD), item(last, GOOD)], true);
    let (link, received) = server::start(200, vec![first, page(&[item("z", GOOD)], false)]).await;
    let snapshot = store::snapshot(&link, "t", LIMIT).await.unwrap();
    let keys: Vec<&str> = snapshot.records.iter().map(|r| r.key.as_str()).collect();
    assert_eq!(keys, ["a", last, "z"]);
    let second = received.borrow()[1].clone();
    assert!(
        second.contains("&depends_on=a%20b%26c%3D%23%25%0A%2F%C3%A9%3F "),
        "{second}"
    );
}

#[actix::test]
async fn pages_that_do_not_advance_end_the_read() {
    for key in ["", "a"] {
        let (link, _) = server::start(200, vec![page(&[item(key, GOOD)], true)]).await;
        let read = store::snapshot(&link, "t", LIMIT);
        let read = time::timeout(Duration::from_millis(500), read).await;
        assert_matches!(read, Ok(Err(store::Error::Unknown(_))), "{key:?}");
    }
}

#[actix::test]
async fn a_body_that_is_no_page_is_an_error() {
    let bodies = [
        Vec::new(),
        b"no page".to_vec(),
        b"\xff\xfe".to_vec(),
        server::nested().into_bytes(),
        br#"{"items":[],"truncated":false,"end":1e400}"#.to_vec(),
        br#"{"items":[],"truncated":false,"end":-1}"#.to_vec(),
        br#"{"items":[],"truncated":false,"end":18446744073709551616}"#.to_vec(),
        br#"{"items":{},"truncated":false,"end":1}"#.to_vec(),
        br#"{"items":[{"key":"a","val"#.to_vec(),
    ];
    for body in bodies {
        let (link, _) = server::start(200, vec![body.clone()]).await;
        let read = store::snapshot(&link, "t", LIMIT).await;
        let text = String::from_utf8_lossy(&body);
        assert_matches!(read, Err(store::Error::Unknown(_)), "{:.40}", text);
    }
}

/// Frames the contents of records as the store does.
fn frames(contents: &[&[u8]]) -> Vec<u8> {
    let mut body = 20_u64.to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for content in contents {
        body.extend((content.len() as u32).to_be_bytes());
        body.extend(*content);
    }
    body
}

#[actix::test]
async fn malformed_records_of_a_read_advance_the_offset() {
    let contents: [&[u8]; 6] = [
        b"",
        b"\x09short",
        b"\x02\xff\xfevalue",
        b"\x00value",
        b"\x01a",
        b"\x01bx",
    ];
    let (link, _) = server::start(200, vec![frames(&contents)]).await;
    let tail = store::read(&link, "t", 10, Duration::ZERO, LIMIT)
        .await
        .unwrap();
    assert_eq!((tail.next, tail.end, tail.records.len()), (16, 20, 6));
    assert!(tail.records[..4].iter().all(|r| r.key.is_empty()));
    let removal = Record {
        key: "a".into(),
        value: None,
    };
    assert_eq!(tail.records[4..], [removal, record("b", b"x")]);
}

#[actix::test]
async fn a_read_that_is_cut_short_is_an_error() {
    let whole = frames(&[b"\x01bx"]);
    for len in [0, 7, 15, 18, whole.len() - 1] {
        let (link, _) = server::start(200, vec![whole[..len].to_vec()]).await;
        let read = store::read(&link, "t", 10, Duration::ZERO, LIMIT).await;
        assert_matches!(read, Err(store::Error::Unknown(_)), "{len}");
    }
}
