//! Structural differences between two JSON values, listed by JSON pointer.

use serde_json::Value;

use crate::wire::admin::Difference;

/// Returns the differences between two values, sorted by member name. Objects are compared member
/// by member; all other values, arrays included, are compared as a whole.
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

/// Escapes a member name for use in a JSON pointer.
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
