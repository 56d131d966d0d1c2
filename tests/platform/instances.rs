//! Malformed entries of the list of instances: the others hold.

use assert_matches::assert_matches;
use bamboolock::{
    remote::{
        link,
        list, //
    },
    wire::list::Listing,
};
use serde_json::json;

use super::server::{
    self,
    LIMIT, //
};

fn entry(id: &str) -> String {
    let entry = json!({
        "id": id, "role": "entry", "zone": "north-a", "region": "north", "rack": "r1", "address": "10.1.0.1:8000",
        "peer": "10.1.0.1:8001", "state": "live", "boot": 3,
    });
    entry.to_string()
}

/// An entry in which the field `name` is replaced by the JSON text `value`.
fn with(name: &str, value: &str) -> String {
    let mut entry: serde_json::Value = serde_json::from_str(&entry("bad")).unwrap();
    entry[name] = json!("REPLACED");
    entry.to_string().replace("\"REPLACED\"", value)
}

async fn read(body: Vec<u8>) -> Result<Listing, link::Error> {
    let (link, _) = server::start(200, vec![body]).await;
    list::read(&link, LIMIT).await
}

async fn ids(entries: &[String]) -> Vec<String> {
    let body = format!(r#"{{"at":5,"instances":[{}]}}"#, entries.join(","));
    let listing = read(body.into_bytes()).await.unwrap();
    let ids = listing.instances.into_iter();
    ids.map(|i| i.id.to_string()).collect()
}

#[actix::test]
async fn a_malformed_entry_does_not_hide_the_others() {
    let nested = server::nested();
    let mut rows = vec![
        "7".to_owned(),
        "null".to_owned(),
        "1e400".to_owned(),
        "{}".to_owned(),
        nested.clone(),
    ];
    let values = [
        "null",
        "7",
        "1e400",
        "-1",
        "1.5",
        "\"\"",
        "\"a b\"",
        "\"\\u0000\"",
        "\"\u{e9}\"",
        nested.as_str(),
    ];
    for name in [
        "id", "role", "zone", "region", "rack", "address", "peer", "state",
    ] {
        let may_be_empty = |value: &&str| name == "peer" && *value == "\"\"";
        let values = values.iter().filter(|value| !may_be_empty(value));
        rows.extend(values.map(|value| with(name, value)));
    }
    let numbers = [
        "null",
        "1e400",
        "-1",
        "1.5",
        "18446744073709551615",
        "18446744073709551616",
        nested.as_str(),
    ];
    rows.extend(numbers.map(|value| with("boot", value)));
    let addresses = [
        "10.1.0.1",
        "10.1.0.1:0",
        "10.1.0.1:65536",
        "host:80",
        "0.0.0.0:80",
        "224.0.0.1:80",
    ];
    for name in ["address", "peer"] {
        rows.extend(addresses.map(|value| with(name, &json!(value).to_string())));
    }
    rows.push(with("id", &json!("x".repeat(255)).to_string()));
    for row in rows {
        let found = ids(&[entry("a"), row.clone(), entry("b")]).await;
        assert_eq!(found, ["a", "b"], "{row:.200}");
    }
}

#[actix::test]
async fn an_instance_needs_no_address_for_peers() {
    let entry = entry("w1").replace("10.1.0.1:8001", "");
    let worker = entry.replace("\"role\":\"entry\"", "\"role\":\"worker\"");
    assert_eq!(ids(&[entry, worker]).await, ["w1", "w1"]);
}

#[actix::test]
async fn entries_out_of_order_are_found_nevertheless() {
    assert_eq!(
        ids(&[entry("c"), entry("a"), entry("b")]).await,
        ["a", "b", "c"]
    );
}

#[actix::test]
async fn a_body_that_is_no_list_is_an_error() {
    let bodies = [
        Vec::new(),
        b"no JSON".to_vec(),
        b"\xff\xfe".to_vec(),
        server::nested().into_bytes(),
        br#"{"at":5,"instances":{}}"#.to_vec(),
        br#"{"at":1e400,"instances":[]}"#.to_vec(),
        br#"{"at":5,"instances":[{"id":"#.to_vec(),
    ];
    for body in bodies {
        let listing = read(body.clone()).await;
        let text = String::from_utf8_lossy(&body);
        assert_matches!(listing, Err(link::Error::Malformed(_)), "{:.40}", text);
    }
}
