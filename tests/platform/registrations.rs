//! Registrations that name no worker to use.

use assert_matches::assert_matches;
use bamboolock::platform::registration;
use serde_json::{
    Value,
    json, //
};

use super::server;

const ID: &str = "i-9e690922b8";

fn entry() -> Value {
    json!({
        "service": "s", "address": "10.128.0.9:8080", "zone": "a", "state": "ready", "born": 1_700_000_000_000_u64,
        "sequence": 4, "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 1}, "labels": ["kind", "r1-3"],
    })
}

/// Text of an entry in which the field at `pointer` is replaced by the JSON text `value`.
fn with(pointer: &str, value: &str) -> Vec<u8> {
    let mut entry = entry();
    *entry.pointer_mut(pointer).unwrap() = json!("REPLACED");
    entry
        .to_string()
        .replace("\"REPLACED\"", value)
        .into_bytes()
}

fn assert_rejected(id: &str, value: &[u8]) {
    let text = String::from_utf8_lossy(value);
    assert_matches!(
        registration::decode(id, value),
        Err(_),
        "{id:?} {:.200}",
        text
    );
}

#[test]
fn a_value_that_cannot_be_read_names_no_worker() {
    let nested = server::nested();
    let values: [&[u8]; 7] = [
        b"",
        b"no JSON",
        b"\xff\xfe",
        b"{\"service\":\"s",
        b"null",
        b"1e400",
        nested.as_bytes(),
    ];
    for value in values {
        assert_rejected(ID, value);
    }
    for field in [
        "/service",
        "/address",
        "/zone",
        "/state",
        "/born",
        "/capacity",
        "/labels",
        "/labels/0",
    ] {
        assert_rejected(ID, &with(field, &nested));
    }
}

#[test]
fn a_number_out_of_range_names_no_worker() {
    let numbers = [
        "18446744073709551615",
        "18446744073709551616",
        "1e400",
        "-1",
        "1.5",
        "\"7\"",
        "null",
    ];
    for field in [
        "/born",
        "/capacity/cpu",
        "/capacity/mem_mb",
        "/capacity/gpu",
    ] {
        for number in numbers {
            assert_rejected(ID, &with(field, number));
        }
    }
    for absurd in ["4294967295", "4294967296"] {
        assert_rejected(ID, &with("/capacity/cpu", absurd));
        assert_rejected(ID, &with("/capacity/mem_mb", absurd));
    }
    // The milliseconds of the year 2262.
    assert_rejected(ID, &with("/born", "9223372036854"));
}

#[test]
fn an_address_that_no_worker_can_have_names_no_worker() {
    let addresses = [
        "",
        "somewhere",
        "10.128.0.9",
        "10.128.0.9:",
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:-1",
        "10.128.0.9:99999999999999999999",
        "10.128.0.9:8080/x",
        "10.128.0.9:8080\n",
        "host:8080",
        "0.0.0.0:8080",
        "224.0.0.1:8080",
        "255.255.255.255:8080",
        "[::]:8080",
        "[ff02::1]:8080",
        "[2001:db8::1]:8080",
    ];
    for address in addresses {
        assert_rejected(ID, &with("/address", &json!(address).to_string()));
    }
}

#[test]
fn a_key_that_is_no_id_names_no_worker() {
    let good = entry().to_string();
    let long = "i".repeat(255);
    let keys = [
        "",
        &long,
        "i 1",
        "i/1",
        "i\n1",
        "i\r\nx-more: 1",
        "i\u{0}1",
        "i\u{7f}1",
        "i-\u{e9}",
        "\u{fffd}",
    ];
    for key in keys {
        assert_rejected(key, good.as_bytes());
    }
    let entry = registration::decode(ID, good.as_bytes()).unwrap();
    assert_eq!((entry.id.as_str(), entry.rack()), (ID, "r1-3"));
}

#[test]
fn an_entry_that_is_far_too_large_names_no_worker() {
    let label = json!("x".repeat(200_000)).to_string();
    assert_rejected(ID, &with("/labels/0", &label));
    assert_rejected(ID, &with("/service", &label));
    assert_rejected(ID, &with("/zone", &label));
    let labels = json!(vec!["x"; 50_000]).to_string();
    assert_rejected(ID, &with("/labels", &labels));
}

#[test]
fn fields_that_no_decision_uses_may_hold_anything() {
    // Within the maximum size of a registration.
    let nested = "[".repeat(4_000) + &"]".repeat(4_000);
    for value in ["1e400", "-1", "null", "\"x\"", nested.as_str()] {
        assert_matches!(
            registration::decode(ID, &with("/sequence", value)),
            Ok(_),
            "{:.40}",
            value
        );
    }
}
