//! Builders of log entries and records, shared by the tests.

use bamboolock::{
    ids::{
        ChangeId,
        Incarnation,
        Millis,
        Offset,
        ProfileName, //
    },
    ledger::{
        effect::Effect,
        record,
        state::State, //
    },
    wire::{
        caller::Ran,
        log, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

/// Parses an identifier of any kind.
pub(crate) fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub(crate) fn author(instance: &str) -> record::Author {
    record::Author {
        instance: id(instance),
        incarnation: Incarnation(1),
    }
}

pub(crate) fn entry(offset: u64, payload: &str) -> log::Entry {
    log::Entry {
        offset: Offset(offset),
        at: Millis(1_000 + offset),
        payload: payload.to_owned(),
    }
}

pub(crate) fn batch(name: &str, records: Vec<Value>) -> String {
    let batch = record::Batch {
        format: record::FORMAT,
        id: id(name),
        by: author("i1"),
        records,
    };
    serde_json::to_string(&batch).unwrap()
}

/// A valid profile body with the given priority.
pub(crate) fn body(priority: u8) -> Value {
    json!({"kind": "request", "team": "gates", "priority": priority})
}

pub(crate) fn change(change: &str, name: &str, base: u32, body: Value) -> Value {
    json!({"type": "profile", "change": change, "name": name, "base": base, "body": body,
        "operator": "ann"})
}

pub(crate) fn key(key: &str, request: &str) -> Value {
    json!({"type": "key", "profile": "checks", "key": key, "request": request})
}

pub(crate) fn answer(key: &str, request: &str, ran: Ran) -> Value {
    json!({"type": "answer", "profile": "checks", "key": key, "request": request,
        "status": 200, "ran": ran, "body": null})
}

pub(crate) fn snapshot(state: &State) -> Value {
    let snapshot = state.snapshot();
    part(snapshot.next.0, 0, 1, &snapshot.state.to_string())
}

pub(crate) fn part(next: u64, part: u32, parts: u32, text: &str) -> Value {
    json!({"type": "snapshot", "next": next, "part": part, "parts": parts, "text": text})
}

/// Applies one batch of records at the state's next offset.
pub(crate) fn apply(state: &mut State, records: Vec<Value>) -> Vec<Effect> {
    let offset = state.next().0;
    let payload = batch(&format!("b{offset}"), records);
    state.apply(&entry(offset, &payload)).effects
}

/// The active version of a profile and its priority.
pub(crate) fn in_force(state: &State, name: &str) -> Option<(u32, u8)> {
    let found = state.profiles.profile(&id::<ProfileName>(name))?;
    Some((found.version, found.profile.priority))
}

pub(crate) fn verdict(effect: &Effect) -> Option<(ChangeId, u32, bool)> {
    match effect {
        Effect::Profile {
            change,
            version,
            accepted,
            ..
        } => Some((change.clone(), *version, *accepted)),
        _ => None,
    }
}
