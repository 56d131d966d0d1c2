//! Configurations with values out of range are rejected as a whole, so that the one in force holds.

use assert_matches::assert_matches;
use bamboolock::{
    cell::access,
    platform::catalog, //
};
use serde_json::{
    Value,
    json, //
};

use super::server;

fn config() -> Value {
    json!({
        "version": 7,
        "routes": [{"name": "q", "host": "h", "path_prefix": "/a/", "service": "s", "target_latency_ms": 400, "priority": 1,
                    "max_attempts": 4, "stretch": 2.0, "advice": {"decide_ms": 350.0, "each_ms": 5.1, "valid_ms": 2_000}}],
        "services": [{"name": "s", "admission_control": true}],
        "limits": {"max_body_bytes": 1_000, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}

/// Text of a configuration in which the value at `pointer` is replaced by the JSON text `value`.
fn with(pointer: &str, value: &str) -> Vec<u8> {
    let mut config = config();
    *config.pointer_mut(pointer).unwrap() = json!("REPLACED");
    config
        .to_string()
        .replace("\"REPLACED\"", value)
        .into_bytes()
}

#[test]
fn a_number_out_of_range_rejects_the_configuration() {
    assert_matches!(catalog::decode(config().to_string().as_bytes()), Ok(_));
    let fields = [
        "/version",
        "/routes/0/target_latency_ms",
        "/routes/0/priority",
        "/routes/0/max_attempts",
        "/routes/0/stretch",
        "/routes/0/advice/decide_ms",
        "/routes/0/advice/each_ms",
        "/routes/0/advice/valid_ms",
        "/limits/max_body_bytes",
        "/limits/header_timeout_ms",
        "/limits/idle_timeout_ms",
    ];
    for field in fields {
        for number in [
            "18446744073709551615",
            "18446744073709551616",
            "1e400",
            "1e300",
            "-1",
        ] {
            let decoded = catalog::decode(&with(field, number));
            assert_matches!(decoded, Err(_), "{field} {number}");
        }
    }
}

#[test]
fn text_that_cannot_be_read_rejects_the_configuration() {
    let nested = server::nested();
    for text in [
        &b""[..],
        b"no JSON",
        b"\xff\xfe",
        b"{\"version\":7",
        nested.as_bytes(),
    ] {
        assert_matches!(catalog::decode(text), Err(_));
    }
    for field in [
        "/version",
        "/routes",
        "/routes/0",
        "/routes/0/advice",
        "/services/0/name",
        "/limits",
    ] {
        assert_matches!(catalog::decode(&with(field, &nested)), Err(_), "{field}");
    }
}

/// Organisations are found by their keys, and only by them.
#[test]
fn organisations_are_decoded() {
    let mut config = config();
    config["routes"][0]["public"] = json!(true);
    config["tenants"] = json!([
        {"name": "a", "api_keys": ["k1", "k2"], "priority": 1, "weight": 65, "cap": {"cpu": 3_120_199, "mem_mb": 7_022_861, "gpu": 0}},
        {"name": "b", "api_keys": []},
    ]);
    let catalog = catalog::decode(config.to_string().as_bytes()).unwrap();
    let found = |key| {
        let found = catalog.organisation(&access::digest(key));
        found.map(|organisation| organisation.name.as_str())
    };
    assert_eq!(
        (found("k1"), found("k2"), found("k3")),
        (Some("a"), Some("a"), None)
    );
    let a = &catalog.organisations[0];
    assert_eq!(a.weight, 65.0);
    assert_eq!(
        (a.cap.millicores, a.cap.memory, a.cap.accelerators),
        (3_120_199, 7_022_861, 0)
    );
    assert!(catalog.is_public("q"));
    config["tenants"][0]["weight"] = json!(-1);
    assert_matches!(catalog::decode(config.to_string().as_bytes()), Err(_));
}
