//! What differs between two JSON values, by JSON pointer.

use serde_json::Value;

use crate::wire::admin::Difference;

/// The differences from one value to another, in the order of their places. Objects are compared
/// member by member; anything else counts as a whole.
#[must_use]
pub fn diff(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", Some(before), Some(after), &mut found);
    found
}

fn compare(
    place: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        found.push(Difference {
            place: place.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let place = format!("{place}/{}", escape(name));
        compare(&place, old.get(name), new.get(name), found);
    }
}

/// A member's name as a part of a JSON pointer.
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
