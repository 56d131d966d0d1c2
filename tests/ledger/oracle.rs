//! Reference model of the ledger: the rules of the log over plain lists with linear search.

use bamboolock::ledger::{
    keys,
    profiles,
    state::State, //
};
use serde_json::Value;

use crate::common::{
    id,
    in_force, //
};

#[derive(Debug, Clone)]
struct Change {
    id: String,
    version: usize,
    accepted: bool,
    at: u64,
}

#[derive(Debug, Clone)]
struct Key {
    key: String,
    holder: String,
    ran: Option<String>,
    at: u64,
}

/// State of the reference model after the appended entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Oracle {
    /// The profiles, as name and bodies of all versions.
    profiles: Vec<(String, Vec<Value>)>,
    changes: Vec<Change>,
    keys: Vec<Key>,
    /// For each entry, the verdicts on its changes as (id, version, accepted).
    pub(crate) verdicts: Vec<Vec<(String, usize, bool)>>,
}

fn text(record: &Value, field: &str) -> String {
    record[field].as_str().unwrap().to_owned()
}

impl Oracle {
    /// Applies the next entry, given by its records; an unreadable entry has none.
    pub(crate) fn append(&mut self, records: &[Value], at: u64) {
        self.verdicts.push(Vec::new());
        for record in records {
            match record["type"].as_str() {
                Some("profile") => self.change(record, at),
                Some("key") => self.key(record, at),
                Some("answer") => self.answer(record, at),
                _ => {}
            }
        }
    }

    fn change(&mut self, record: &Value, at: u64) {
        let change = text(record, "change");
        self.changes
            .retain(|c| at - c.at < profiles::VERDICT_RETENTION_MS);
        let known = self.changes.iter().find(|c| c.id == change).cloned();
        let decided = known.unwrap_or_else(|| self.decide(record, at));
        let last = self.verdicts.last_mut().unwrap();
        last.push((change, decided.version, decided.accepted));
    }

    fn decide(&mut self, record: &Value, at: u64) -> Change {
        let name = text(record, "name");
        if !self.profiles.iter().any(|p| p.0 == name) {
            self.profiles.push((name.clone(), Vec::new()));
        }
        let versions = &mut self.profiles.iter_mut().find(|p| p.0 == name).unwrap().1;
        let body = &record["body"];
        let empty = versions.last().is_none_or(Value::is_null);
        let accepted = record["base"] == versions.len() && !(body.is_null() && empty);
        if accepted {
            versions.push(body.clone());
        }
        let change = Change {
            id: text(record, "change"),
            version: versions.len(),
            accepted,
            at,
        };
        self.changes.push(change.clone());
        change
    }

    fn key(&mut self, record: &Value, at: u64) {
        self.keys.retain(|k| at - k.at < keys::RETENTION_MS);
        let (key, request) = (text(record, "key"), text(record, "request"));
        let Some(known) = self.keys.iter_mut().find(|k| k.key == key) else {
            self.keys.push(Key {
                key,
                holder: request,
                ran: None,
                at,
            });
            return;
        };
        if known.ran.as_deref() == Some("no") && known.holder != request {
            known.holder = request;
            known.ran = None;
        }
    }

    fn answer(&mut self, record: &Value, at: u64) {
        self.keys.retain(|k| at - k.at < keys::RETENTION_MS);
        let (key, request) = (text(record, "key"), text(record, "request"));
        let mut held = self.keys.iter_mut();
        let held = held.find(|k| k.key == key && k.holder == request);
        let Some(held) = held else { return };
        if held.ran.as_deref().is_none_or(|ran| ran == "unknown") {
            held.ran = Some(text(record, "ran"));
        }
    }

    /// Asserts that a state which applied every entry agrees with the model.
    pub(crate) fn check(&self, state: &State) {
        for (name, versions) in &self.profiles {
            let since_withdrawal = versions.iter().enumerate().rev();
            let mut since_withdrawal = since_withdrawal.take_while(|(_, body)| !body.is_null());
            let newest = since_withdrawal.find(|(_, body)| body.is_object());
            let expected = newest.map(|(i, body)| {
                let priority = body["priority"].as_u64().unwrap();
                (
                    u32::try_from(i + 1).unwrap(),
                    u8::try_from(priority).unwrap(),
                )
            });
            assert_eq!(in_force(state, name), expected, "profile {name}");
        }
        for key in &self.keys {
            // Both sides expire old keys only when a record about any key is applied.
            let Some(held) = state.keys.get(&id("checks"), &id(&key.key)) else {
                panic!("key {} is missing", key.key);
            };
            assert_eq!(held.holder.as_str(), key.holder);
            let ran = held
                .answer
                .as_ref()
                .map(|a| format!("{:?}", a.ran).to_lowercase());
            assert_eq!(ran, key.ran, "key {}", key.key);
        }
        assert_eq!(state.keys.len(), self.keys.len());
    }
}
