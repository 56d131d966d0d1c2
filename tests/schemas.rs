//! The committed schemas and the settings page match the types that they are generated from.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use bamboolock::cli::{
    documents,
    schema,
    tables, //
};
use serde_json::Value;

fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

#[test]
fn every_schema_is_committed_and_up_to_date() {
    for document in &documents::ALL {
        let path = root("schemas").join(format!("{}.json", document.name));
        let committed = fs::read_to_string(&path).unwrap_or_default();
        assert!(
            committed == schema::render(document),
            "{} is stale: run `bamboolock schema --write schemas`",
            path.display()
        );
    }
}

#[test]
fn every_committed_schema_has_a_document_type() {
    for entry in fs::read_dir(root("schemas")).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        assert!(documents::find(&name).is_some(), "{}", path.display());
    }
}

#[test]
fn the_settings_page_is_up_to_date() {
    let committed = fs::read_to_string(root("docs/operations/settings.md")).unwrap_or_default();
    assert!(
        committed == tables::page(),
        "stale: run `bamboolock schema --tables > docs/operations/settings.md`"
    );
}

#[test]
fn every_option_is_described() {
    let page = tables::page();
    for document in documents::ALL.iter().filter(|d| d.on_settings_page) {
        let schema = (document.schema)().to_value();
        let definitions = schema.get("$defs").and_then(Value::as_object);
        let nodes = definitions.into_iter().flatten().map(|(_, node)| node);
        for node in std::iter::once(&schema).chain(nodes) {
            let properties = node.get("properties").and_then(Value::as_object);
            for (name, property) in properties.into_iter().flatten() {
                let text = property.get("description").and_then(Value::as_str);
                assert!(
                    text.is_some_and(|t| !t.is_empty()),
                    "{name} has no description"
                );
                let row = page
                    .lines()
                    .find(|l| l.starts_with(&format!("| `{name}` |")));
                assert!(
                    row.is_some(),
                    "{name} of {} is not on the page",
                    document.name
                );
            }
        }
    }
}

#[test]
fn unknown_fields_are_findings_in_every_checked_document() {
    for document in documents::ALL.iter().filter(|d| d.check.is_some()) {
        let check = document.check.unwrap();
        let found = check("f.json", r#"{"no-such-field": 1}"#);
        let reported = found
            .list
            .iter()
            .any(|f| f.problem.contains("no-such-field"));
        assert!(reported, "{}: {found}", document.name);
    }
}
