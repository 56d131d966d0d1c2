//! Hints on the allowed values at a position of a document, derived from its JSON schema.

use serde_json::Value;

/// Hint used when the schema has no description of the value.
const FALLBACK_HINT: &str = "see the schema under schemas/";

/// Returns the schema of the value at a JSON pointer, with references resolved.
#[must_use]
pub fn subschema<'a>(schema: &'a Value, pointer: &str) -> Option<&'a Value> {
    let mut node = resolve(schema, schema)?;
    for segment in pointer.split('/').filter(|segment| !segment.is_empty()) {
        let name = segment.replace("~1", "/").replace("~0", "~");
        let inner = node.pointer("/properties").and_then(|p| p.get(&name));
        node = resolve(schema, inner.or_else(|| node.get("items"))?)?;
    }
    Some(node)
}

/// Resolves the reference of a schema node; for an optional value, that of its non-null variant.
fn resolve<'a>(schema: &'a Value, node: &'a Value) -> Option<&'a Value> {
    let optional = node.pointer("/anyOf/0");
    let node = optional.unwrap_or(node);
    let Some(reference) = node.get("$ref").and_then(Value::as_str) else {
        return Some(node);
    };
    schema.pointer(reference.strip_prefix('#')?)
}

/// Returns the values of an enumeration; empty for any other schema.
#[must_use]
pub fn enum_values(node: &Value) -> Vec<&str> {
    let variants = node.get("oneOf").and_then(Value::as_array);
    let values = variants.into_iter().flatten().map(|v| v.get("const"));
    let direct = node.get("enum").and_then(Value::as_array);
    let all = values.chain(direct.into_iter().flatten().map(Some));
    all.filter_map(|value| value?.as_str()).collect()
}

/// Returns the field names of an object; empty for any other schema.
#[must_use]
pub fn field_names(node: &Value) -> Vec<&str> {
    let properties = node.get("properties").and_then(Value::as_object);
    properties
        .into_iter()
        .flatten()
        .map(|(name, _)| name.as_str())
        .collect()
}

/// Returns a hint on the allowed values at a JSON pointer.
#[must_use]
pub fn hint(schema: &Value, pointer: &str) -> String {
    let Some(node) = subschema(schema, pointer) else {
        return FALLBACK_HINT.to_owned();
    };
    let (choices, fields) = (enum_values(node), field_names(node));
    match (choices.is_empty(), fields.is_empty()) {
        (false, _) => format!("one of {}", choices.join(", ")),
        (true, false) => format!("fields: {}", fields.join(", ")),
        (true, true) => description(node),
    }
}

/// Returns the description of a scalar value on one line.
fn description(node: &Value) -> String {
    let text = node.get("description").and_then(Value::as_str);
    text.map_or_else(|| FALLBACK_HINT.to_owned(), |t| t.replace('\n', " "))
}
