//! Generates the settings page: a table of options for each settings struct, from its schema.

use std::fmt::Write;

use serde_json::Value;

use crate::cli::documents::{
    self,
    Document, //
};

const HEADER: &str = "\
# Settings

Generated from the Rust types by `bamboolock schema --tables > docs/operations/settings.md`; a test fails
if the page is out of date. The programs check the whole settings file before they start, and so does
`bamboolock config check FILE…`. Unknown options are reported as findings. The JSON schemas are in
[schemas/](../../schemas).
";

/// Maximum length of a default value in a table, in bytes of its JSON.
const MAX_DEFAULT_BYTES: usize = 40;

/// Renders the whole page.
#[must_use]
pub fn page() -> String {
    let mut page = HEADER.to_owned();
    for document in documents::ALL.iter().filter(|d| d.on_settings_page) {
        section(&mut page, document);
    }
    page
}

fn section(page: &mut String, document: &Document) {
    let schema = (document.schema)().to_value();
    let _ = write!(page, "\n## `{}`\n\n{}.\n", document.name, document.summary);
    let mut pending = vec![(String::new(), schema.clone())];
    let mut visited: Vec<String> = Vec::new();
    while !pending.is_empty() {
        let (path, node) = pending.remove(0);
        if !path.is_empty() {
            let _ = write!(page, "\n### `{path}` of `{}`\n\n", document.name);
            let _ = writeln!(page, "{}", describe(&node));
        }
        page.push_str("\n| Option | Default | Description |\n| --- | --- | --- |\n");
        for (name, property) in properties(&node) {
            let row = row(&schema, &node, name, property);
            let _ = writeln!(page, "{row}");
            let Some((kind, inner)) = nested(&schema, property) else {
                continue;
            };
            if visited.contains(&kind) {
                continue;
            }
            visited.push(kind);
            pending.push((join(&path, name), inner));
        }
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}

fn properties(node: &Value) -> impl Iterator<Item = (&String, &Value)> {
    let properties = node.get("properties").and_then(Value::as_object);
    properties.into_iter().flatten()
}

/// Returns the name and schema of the struct that a property contains directly, in a list or as an
/// option.
fn nested(schema: &Value, property: &Value) -> Option<(String, Value)> {
    let name = reference(property)?;
    let node = schema.pointer(&format!("/$defs/{name}"))?;
    node.get("properties")?;
    Some((name.to_owned(), node.clone()))
}

/// Returns the name of the definition that a property refers to.
fn reference(property: &Value) -> Option<&str> {
    let direct = property.get("$ref");
    let item = property.pointer("/items/$ref");
    let option = property.pointer("/anyOf/0/$ref");
    let found = direct.or(item).or(option)?.as_str()?;
    found.strip_prefix("#/$defs/")
}

fn row(schema: &Value, node: &Value, name: &str, property: &Value) -> String {
    let mut description = describe(property);
    if let Some(range) = range(property) {
        let _ = write!(description, " Allowed: {range}.");
    }
    if let Some(choices) = choices(schema, property) {
        let _ = write!(description, " One of {choices}.");
    }
    if nested(schema, property).is_some() {
        description.push_str(" See its table below.");
    }
    let default = default(node, name, property);
    format!("| `{name}` | {default} | {description} |")
}

fn describe(node: &Value) -> String {
    let text = node.get("description").and_then(Value::as_str);
    text.unwrap_or_default()
        .replace('\n', " ")
        .replace('|', "\\|")
}

fn default(node: &Value, name: &str, property: &Value) -> String {
    let required = node.get("required").and_then(Value::as_array);
    if required.is_some_and(|list| list.iter().any(|n| n == name)) {
        return "required".to_owned();
    }
    match property.get("default") {
        None | Some(Value::Null) => "absent".to_owned(),
        Some(value) => {
            let text = value.to_string();
            match text.len() > MAX_DEFAULT_BYTES {
                true => "as below".to_owned(),
                false => format!("`{text}`"),
            }
        }
    }
}

fn range(property: &Value) -> Option<String> {
    let bound = |name: &str| property.get(name).filter(|v| v.is_number());
    match (bound("minimum"), bound("maximum")) {
        (Some(low), Some(high)) => Some(format!("{low} to {high}")),
        (Some(low), None) if low.as_f64() != Some(0.0) => Some(format!("{low} or more")),
        (None, Some(high)) => Some(format!("up to {high}")),
        (Some(_) | None, None) => None,
    }
}

/// Lists the variants of an enum with their descriptions.
fn choices(schema: &Value, property: &Value) -> Option<String> {
    let name = reference(property)?;
    let node = schema.pointer(&format!("/$defs/{name}"))?;
    let variants = node.get("oneOf").and_then(Value::as_array)?;
    let names = variants.iter().filter_map(|v| {
        let name = v.get("const")?.as_str()?;
        Some(format!("`{name}` ({})", describe(v).trim_end_matches('.')))
    });
    Some(names.collect::<Vec<_>>().join(", "))
}
