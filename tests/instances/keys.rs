//! Keys of organisations, at instances that reach the store and at one that does not.

use std::{
    thread,
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};

use super::{
    processes::{
        self,
        Instance, //
    },
    standin,
    takeover, //
};

/// Time within which withdrawn keys must be refused, in milliseconds.
const REVOCATION_MS: u64 = 2_000;

/// Configuration of two organisations; the second has the given keys.
fn config(version: u32, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "service": "s", "target_latency_ms": 1_000},
                   {"name": "open", "host": "h", "path_prefix": "/open/", "service": "s", "public": true}],
        "services": [{"name": "s"}],
        "tenants": [{"name": "a", "api_keys": ["key-a"], "weight": 3, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}},
                    {"name": "b", "api_keys": keys, "weight": 1, "cap": {"cpu": 4_000, "mem_mb": 0, "gpu": 0}}],
    })
}

fn status(instance: &Instance, path: &str, key: Option<&str>) -> Option<u16> {
    let answer = processes::exchange_with_key(instance.front, "GET", path, key);
    answer.map(|(status, _)| status)
}

/// A withdrawn key must be refused everywhere in time, also by an instance that is cut off from the
/// store, and a new key must be admitted.
#[test]
fn keys_are_admitted_and_withdrawn() {
    let (address, platform) = standin::start(1, 8_000);
    let publish = |version, keys: &[&str]| {
        let mut state = platform.lock().unwrap();
        state.publish("keyed.op", "config", &config(version, keys));
    };
    publish(1, &["key-b1"]);
    let rules = json!({"strict_revocation": true, "revoke_ms": REVOCATION_MS});
    let instance = Instance::start_with_rules("keys", address, &["tenants"], &rules);
    takeover::wait_until("the instance is ready", || instance.is_ready());
    let shown = |key| status(&instance, "/q/", key);
    takeover::wait_until("the key is admitted", || shown(Some("key-b1")) == Some(200));
    assert_eq!(shown(Some("key-a")), Some(200));
    assert_eq!(shown(Some("key-b2")), Some(401));
    assert_eq!(shown(None), Some(401));
    assert_eq!(status(&instance, "/open/", None), Some(200));
    publish(2, &["key-b2"]);
    takeover::wait_until("the new key is admitted", || {
        shown(Some("key-b2")) == Some(200)
    });
    assert_eq!(shown(Some("key-b1")), Some(401));
    platform.lock().unwrap().fault.down = true;
    thread::sleep(Duration::from_millis(REVOCATION_MS + 200));
    assert_eq!(shown(Some("key-b2")), Some(503));
    assert_eq!(status(&instance, "/open/", None), Some(200));
    assert!(!instance.is_ready());
    platform.lock().unwrap().fault.down = false;
    takeover::wait_until("the key is admitted again", || {
        shown(Some("key-b2")) == Some(200)
    });
}
