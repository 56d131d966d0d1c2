//! The committed schemas and the settings page are what the types say.

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
fn every_schema_is_committed_and_fresh() {
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
fn no_schema_stands_without_its_document() {
    for entry in fs::read_dir(root("schemas")).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        assert!(documents::find(&name).is_some(), "{}", path.display());
    }
}

#[test]
fn the_settings_page_is_fresh() {
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
                let words = property.get("description").and_then(Value::as_str);
                assert!(words.is_some_and(|w| !w.is_empty()), "{name} has no words");
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
fn unknown_fields_are_findings_in_every_document_that_people_write() {
    for document in documents::ALL.iter().filter(|d| d.check.is_some()) {
        let check = document.check.unwrap();
        let found = check("f.json", r#"{"no-such-field": 1}"#);
        let named = found
            .list
            .iter()
            .any(|f| f.problem.contains("no-such-field"));
        assert!(named, "{}: {found}", document.name);
    }
}
