//! What is allowed at a place of a document, from its schema.

use serde_json::Value;

/// Hint where the schema says nothing short.
const GENERAL: &str = "see the schema under schemas/";

/// The schema of the value at a JSON pointer, references followed.
#[must_use]
pub fn node<'a>(schema: &'a Value, place: &str) -> Option<&'a Value> {
    let mut node = follow(schema, schema)?;
    for part in place.split('/').filter(|part| !part.is_empty()) {
        let name = part.replace("~1", "/").replace("~0", "~");
        let inner = node.pointer("/properties").and_then(|p| p.get(&name));
        node = follow(schema, inner.or_else(|| node.get("items"))?)?;
    }
    Some(node)
}

/// Follows references, also that of an optional value.
fn follow<'a>(schema: &'a Value, node: &'a Value) -> Option<&'a Value> {
    let option = node.pointer("/anyOf/0");
    let node = option.unwrap_or(node);
    let Some(reference) = node.get("$ref").and_then(Value::as_str) else {
        return Some(node);
    };
    schema.pointer(reference.strip_prefix('#')?)
}

/// The values of an enumeration; empty for anything else.
#[must_use]
pub fn choices(node: &Value) -> Vec<&str> {
    let variants = node.get("oneOf").and_then(Value::as_array);
    let values = variants.into_iter().flatten().map(|v| v.get("const"));
    let direct = node.get("enum").and_then(Value::as_array);
    let all = values.chain(direct.into_iter().flatten().map(Some));
    all.filter_map(|value| value?.as_str()).collect()
}

/// The fields of an object; empty for anything else.
#[must_use]
pub fn fields(node: &Value) -> Vec<&str> {
    let properties = node.get("properties").and_then(Value::as_object);
    properties
        .into_iter()
        .flatten()
        .map(|(name, _)| name.as_str())
        .collect()
}

/// What to write at a place in the stead of a faulty value.
#[must_use]
pub fn hint(schema: &Value, place: &str) -> String {
    let Some(node) = node(schema, place) else {
        return GENERAL.to_owned();
    };
    let (choices, fields) = (choices(node), fields(node));
    match (choices.is_empty(), fields.is_empty()) {
        (false, _) => format!("one of {}", choices.join(", ")),
        (true, false) => format!("fields: {}", fields.join(", ")),
        (true, true) => scalar(node),
    }
}

/// The description of a plain value, as its documentation has it.
fn scalar(node: &Value) -> String {
    let words = node.get("description").and_then(Value::as_str);
    words.map_or_else(|| GENERAL.to_owned(), |w| w.replace('\n', " "))
}
