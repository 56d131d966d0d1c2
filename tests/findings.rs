//! Input validation reports all errors at once, each with its position.

use assert_matches::assert_matches;
use bamboolock::{
    findings,
    profile, //
};

#[test]
fn all_schema_errors_are_reported_together() {
    let text = r#"{"kind": "requests", "team": "", "priority": 11, "colour": 1}"#;
    let found = findings::read::<profile::Profile>("p.json", text).unwrap_err();
    let places: Vec<_> = found.list.iter().map(|f| f.place.as_str()).collect();
    for place in ["/kind", "/priority", "/"] {
        assert!(places.contains(&place), "{place} is missing in {places:?}");
    }
}

#[test]
fn all_rule_violations_are_reported_together() {
    let text = r#"{"kind": "request", "team": "gates", "hedge": {"budget": 0.1},
        "objective": {"wait": 20, "deadline": 10}, "policies": {"route": "nearest"}}"#;
    let found = findings::read::<profile::Profile>("p.json", text).unwrap_err();
    let places: Vec<_> = found.list.iter().map(|f| f.place.as_str()).collect();
    assert_eq!(
        places,
        ["/objective/wait", "/hedge/budget", "/policies/route"]
    );
}

#[test]
fn a_syntax_error_names_line_and_column() {
    let found = findings::read::<profile::Profile>("p.json", "{\n  \"kind\" 1}").unwrap_err();
    assert_eq!(found.list.len(), 1);
    assert!(found.list[0].place.starts_with("line 2 column"));
}

#[test]
fn a_minimal_profile_gets_the_defaults() {
    let text = r#"{"kind": "run", "team": "gates"}"#;
    assert_matches!(
        findings::read::<profile::Profile>("p.json", text),
        Ok(p) if p.demand.slots == 1 && p.attempts == 5
    );
}

#[test]
fn hints_list_the_allowed_values() {
    let text = r#"{"kind": "requests", "team": "gates", "colour": 1, "spill": "far",
        "objective": {"share": 2, "tint": 3}, "quota": {"slot": 1}}"#;
    let found = findings::read::<profile::Profile>("p.json", text).unwrap_err();
    let hint = |place: &str| {
        let finding = found.list.iter().find(|f| f.place == place);
        finding.map_or("", |f| f.hint.as_str())
    };
    assert_eq!(hint("/kind"), "one of request, run, gang, service");
    assert_eq!(hint("/spill"), "one of zone, region, anywhere");
    assert!(hint("/objective/share").contains("0 to 1"));
    assert_eq!(hint("/objective"), "fields: deadline, share, wait");
    assert!(hint("/quota").starts_with("fields: accelerators, connections"));
    assert!(hint("/").contains("priority"));
}

#[test]
fn a_long_value_is_truncated_in_the_finding() {
    let text = format!(r#"{{"kind": "{}", "team": "gates"}}"#, "é".repeat(9_000));
    let found = findings::read::<profile::Profile>("p.json", &text).unwrap_err();
    assert_eq!(found.list.len(), 1);
    assert!(found.list[0].problem.chars().count() <= 301);
}
