//! What differs between two JSON values, by JSON pointer.

use serde_json::Value;

use crate::wire::admin::Difference;

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
                place: place.to_owned(),
                before: Some(before.clone()),
                after: Some(after.clone()),
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
