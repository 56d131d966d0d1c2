//! Admission of requests by their API key.

use bamboolock::cell::{
    access::{
        self,
        Denied,
        Rules, //
    },
    model, //
};

use super::make;

const STRICT: Rules = Rules {
    required: true,
    revocation: Some(5_000),
    propagation: 4_000,
};

/// A catalog in which organisation `a` has two keys and organisation `b` one.
fn catalog() -> model::Catalog {
    let organisation = |name: &str| model::Organisation {
        name: name.into(),
        weight: 1.0,
        cap: Default::default(),
    };
    let mut keys = vec![
        (access::digest("key-a1"), 0),
        (access::digest("key-a2"), 0),
        (access::digest("key-b1"), 1),
    ];
    keys.sort_unstable();
    model::Catalog {
        version: 1,
        queues: vec![make::queue("q", 0), make::queue("open", 0)],
        services: Vec::new(),
        limits: model::Limits {
            body: 1_000,
            header: std::time::Duration::from_secs(3),
            idle: std::time::Duration::from_secs(15),
        },
        organisations: vec![organisation("a"), organisation("b")],
        keys,
        public_queues: vec!["open".into()],
    }
}

fn check(queue: &str, key: Option<&str>, rules: &Rules, age: u64) -> Result<String, Denied> {
    let queue = make::queue(queue, 0);
    access::check(&catalog(), &queue, key, rules, age).map(str::to_owned)
}

/// A request without a key that some configuration holds must not run.
#[test]
fn only_known_keys_are_admitted() {
    assert_eq!(check("q", Some("key-a1"), &STRICT, 0), Ok("a".to_owned()));
    assert_eq!(check("q", Some("key-a2"), &STRICT, 0), Ok("a".to_owned()));
    assert_eq!(check("q", Some("key-b1"), &STRICT, 0), Ok("b".to_owned()));
    assert_eq!(check("q", Some("key-b2"), &STRICT, 0), Err(Denied::Unknown));
    assert_eq!(check("q", None, &STRICT, 0), Err(Denied::Unknown));
}

#[test]
fn a_public_queue_needs_no_key() {
    assert_eq!(check("open", None, &STRICT, 0), Ok(String::new()));
    assert_eq!(check("open", Some("key-b2"), &STRICT, 0), Ok(String::new()));
    assert_eq!(check("open", None, &STRICT, 60_000), Ok(String::new()));
}

/// A withdrawn key must be refused in time by an instance that does not hear of the withdrawal.
#[test]
fn an_old_configuration_admits_no_key() {
    let known = |age| check("q", Some("key-a1"), &STRICT, age);
    assert_eq!(known(4_800), Ok("a".to_owned()));
    assert_eq!(known(5_000), Err(Denied::Unproven));
    assert_eq!(known(u64::MAX), Err(Denied::Unproven));
    let lenient = Rules {
        revocation: None,
        ..STRICT
    };
    let known = check("q", Some("key-a1"), &lenient, 60_000);
    assert_eq!(known, Ok("a".to_owned()));
}

/// A key that was just added must not be refused as unknown by an instance that has not heard of it.
#[test]
fn an_unknown_key_may_be_newer_than_the_configuration() {
    let lenient = Rules {
        revocation: None,
        ..STRICT
    };
    let unknown = |age| check("q", Some("key-b2"), &lenient, age);
    assert_eq!(unknown(3_000), Err(Denied::Unknown));
    assert_eq!(unknown(4_000), Err(Denied::Unproven));
}

/// A deployment without organisations is served as before.
#[test]
fn without_organisations_no_key_is_needed() {
    let mut catalog = catalog();
    catalog.keys.clear();
    let queue = make::queue("q", 0);
    let checked = access::check(&catalog, &queue, None, &Rules::default(), u64::MAX);
    assert_eq!(checked, Ok(""));
    // Once keys are in force, a configuration without any admits nobody.
    let checked = access::check(&catalog, &queue, Some("key-a1"), &STRICT, 0);
    assert_eq!(checked, Err(Denied::Unknown));
}
