//! Tests of commands that need no server.

use std::fs;

use crate::program::{
    self,
    folder, //
};

#[test]
fn every_command_has_help_and_the_top_level_help_lists_examples_and_exit_codes() {
    let commands = [
        "submit", "status", "cancel", "request", "profiles", "report", "config", "schema",
    ];
    let top = program::run(&["--help"]);
    assert_eq!(top.code, 0);
    for command in commands {
        assert!(top.out.contains(&format!("  {command}")), "{command}");
        assert_eq!(program::run(&[command, "--help"]).code, 0, "{command}");
    }
    for part in [
        "Examples:",
        "Exit codes:",
        "  4  conflict: another change was applied first",
    ] {
        assert!(top.out.contains(part), "{part:?}");
    }
}

#[test]
fn an_invalid_command_line_has_another_exit_code_than_a_finding() {
    let cases: [&[&str]; 6] = [
        &[],
        &["publish"],
        &["profiles", "publish"],
        &["report", "burn", "--window", "3 parsecs"],
        &["status", "a job"],
        &["config", "check", "no-such-file.json"],
    ];
    for args in cases {
        let run = program::run(args);
        assert_eq!(run.code, 2, "{args:?}: {run:?}");
        assert!(run.out.is_empty(), "{run:?}");
    }
}

#[test]
fn profiles_check_prints_the_findings_of_all_files_at_once() {
    let files = [
        "examples/faulty/ramp-check.json",
        "examples/faulty/jet-bridge-assign.json",
    ];
    let run = program::run(&["profiles", "check", files[0], files[1]]);
    assert_eq!(run.code, 1, "{run:?}");
    let expected = [
        "examples/faulty/ramp-check.json: /priority: 12 is greater than the maximum of 9",
        "examples/faulty/ramp-check.json: /objective/share: 1.5 is greater",
        "examples/faulty/jet-bridge-assign.json: /policies/route: no route plug-in",
        "hint: known: least_loaded",
        "10 findings",
    ];
    for part in expected {
        assert!(run.err.contains(part), "{part:?} is missing in {}", run.err);
    }
    let json = program::run(&["profiles", "check", files[0], files[1], "-o", "json"]);
    assert_eq!((json.code, json.json()["exit"].as_i64()), (1, Some(1)));
    let list = json.json()["findings"]["list"].as_array().unwrap().clone();
    assert_eq!(list.len(), 10);
    assert!(
        list.iter()
            .all(|f| f["place"].is_string() && f["hint"].is_string())
    );
}

#[test]
fn config_check_detects_the_kind_of_a_file() {
    let folder = folder("config-check");
    let cases = [
        ("job", r#"{"profile": "gate-plan", "tasks": 3}"#),
        ("profile", r#"{"kind": "run", "team": "gates"}"#),
        (
            "entry",
            r#"{"id": "e1", "zone": "z1", "region": "r1", "listen": "127.0.0.1:1",
                "peer": "127.0.0.1:2", "admin": "127.0.0.1:3", "platform": "127.0.0.1:4"}"#,
        ),
        (
            "standin",
            r#"{"task": 500, "lag": {"list": 1, "usage": 2}}"#,
        ),
        (
            "mix",
            r#"{"duration": 1000, "streams": [{"profile": "check", "rate": 5}]}"#,
        ),
    ];
    for (kind, text) in cases {
        let file = folder.join(format!("{kind}-a.json"));
        fs::write(&file, text).unwrap();
        let file = file.to_str().unwrap();
        let run = program::run(&["config", "check", file]);
        assert_eq!((run.code, run.out), (0, format!("{file}: valid {kind}\n")));
        // The same file has findings when it is checked as another kind.
        let other = if kind == "job" { "entry" } else { "job" };
        assert_eq!(
            program::run(&["config", "check", "--kind", other, file]).code,
            1
        );
    }
    let odd = folder.join("odd.json");
    fs::write(&odd, r#"{"colour": "red"}"#).unwrap();
    let run = program::run(&["config", "check", odd.to_str().unwrap()]);
    assert_eq!(run.code, 1);
    assert!(
        run.err
            .contains("--kind: entry, profile, standin, mix, job"),
        "{run:?}"
    );
}

#[test]
fn config_check_reports_violated_rules_across_fields() {
    let folder = folder("config-rules");
    let file = folder.join("entry.json");
    let text = r#"{"id": "e1", "zone": "z1", "region": "r1", "listen": "127.0.0.1:1",
        "peer": "127.0.0.1:2", "admin": "127.0.0.1:3", "platform": "127.0.0.1:4",
        "lease": {"ttl": 1000, "renew": 900}, "membership": {"suspect": 9, "dead": 8}}"#;
    fs::write(&file, text).unwrap();
    let run = program::run(&["config", "check", file.to_str().unwrap()]);
    assert_eq!(run.code, 1);
    for place in ["/lease/renew", "/membership/suspect", "2 findings"] {
        assert!(run.err.contains(place), "{run:?}");
    }
}

#[test]
fn schema_prints_the_same_text_that_it_writes() {
    let folder = folder("schema-write");
    let written = program::run(&["schema", "--write", folder.to_str().unwrap()]);
    assert_eq!(written.code, 0);
    let printed = program::run(&["schema", "profile"]);
    let file = fs::read_to_string(folder.join("profile.json")).unwrap();
    assert!(printed.out == file, "the file differs from what is printed");
    assert_eq!(printed.json()["title"], "Profile");
}

#[test]
fn a_report_can_be_built_from_saved_outcomes() {
    let folder = folder("saved-outcomes");
    let input = folder.join("outcomes.json");
    let row = |minute: u64, version: u32, good: u64, late: u64| {
        serde_json::json!({"start": minute * 60_000, "width": 60_000, "tally": {
            "profile": "ramp-check", "version": version, "total": good + late, "good": good,
            "bad": [["late", late]], "waited": 0}})
    };
    let outcomes = serde_json::json!({"now": 6_030_000, "rows":
        [row(95, 1, 99, 1), row(99, 2, 70, 30)],
        "targets": [{"profile": "ramp-check", "version": 2, "share": 0.99}]});
    fs::write(&input, outcomes.to_string()).unwrap();
    let base = [
        "report",
        "burn",
        "--window",
        "2m",
        "--input",
        input.to_str().unwrap(),
    ];
    let table = program::run(&base);
    assert_eq!(table.code, 0, "{table:?}");
    assert!(
        table.out.starts_with("70.0000% of 100 pieces of work"),
        "{table:?}"
    );
    let wide = [
        "report", "burn", "--window", "4m", "--input", base[5], "-o", "json",
    ];
    let json = program::run(&wide).json();
    assert_eq!(json["moved"]["change"], -290_000);
    assert_eq!(json["moved"]["parts"][0]["origin"]["version"], 2);
    let page = folder.join("burn.html");
    let html = [&base[..], &["-o", "html", "--file", page.to_str().unwrap()]].concat();
    assert_eq!(program::run(&html).code, 0);
    assert!(
        fs::read_to_string(page)
            .unwrap()
            .starts_with("<!doctype html>")
    );
}
