//! What differs between two JSON values, by JSON pointer.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

/// One difference.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The JSON pointer of the value; `/` for the whole.
    pub place: String,
    /// The value before; null when there was none.
    pub before: Value,
    /// The value after; null when there is none.
    pub after: Value,
}

/// The differences between two values, in order of their place. Lists are compared whole.
#[must_use]
pub fn diff(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", before, after, &mut found);
    found
}

fn compare(place: &str, before: &Value, after: &Value, found: &mut Vec<Difference>) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        if before != after {
            found.push(Difference {
                place: if place.is_empty() { "/" } else { place }.to_owned(),
                before: before.clone(),
                after: after.clone(),
            });
        }
        return;
    };
    let mut names: Vec<_> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let part =
            |fields: &serde_json::Map<String, Value>| fields.get(name).cloned().unwrap_or_default();
        let place = format!("{place}/{}", name.replace('~', "~0").replace('/', "~1"));
        compare(&place, &part(old), &part(new), found);
    }
}
