//! Check that the operations page of the stand-in lists every command and every kind of violation.

use bamboolock::standin::{
    command::Command,
    judge::Kind, //
};
use schemars::Schema;
use serde_json::Value;

const DOC: &str = include_str!("../../docs/operations/standin.md");

/// Returns the names of an enumeration's variants, from the field `tag` if it is a tagged one.
fn names(schema: &Schema, tag: Option<&str>) -> Vec<String> {
    let variants = schema.get("oneOf").and_then(Value::as_array).unwrap();
    let constant = |variant: &Value| match tag {
        Some(tag) => variant["properties"][tag]["const"].clone(),
        None => variant["const"].clone(),
    };
    let names = variants.iter().map(constant);
    names.map(|n| n.as_str().unwrap().to_owned()).collect()
}

#[test]
fn the_page_lists_every_command_and_violation() {
    let commands = names(&schemars::schema_for!(Command), Some("do"));
    let violations = names(&schemars::schema_for!(Kind), None);
    assert_eq!((commands.len(), violations.len()), (23, 6));
    for name in commands.iter().chain(&violations) {
        let row = DOC
            .lines()
            .find(|l| l.starts_with(&format!("| `{name}` |")));
        assert!(row.is_some(), "{name} is not on the page");
    }
}
