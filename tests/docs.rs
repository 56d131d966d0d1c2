//! The documentation for operators matches the programs.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use bamboolock::{
    admin,
    cli::{
        commands,
        exit, //
    },
    entry,
    ledger::record::Cause,
    report::text,
    wire::caller::Code, //
};

/// Returns the pages for operators and the other pages whose links are checked.
fn pages() -> Vec<PathBuf> {
    let mut pages: Vec<_> = ["CONTRIBUTING.md", "docs/GLOSSARY.md", "docs/cli.md"]
        .map(root)
        .into();
    for entry in fs::read_dir(root("docs/operations")).unwrap() {
        pages.push(entry.unwrap().path());
    }
    pages
}

fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn page(path: &str) -> String {
    fs::read_to_string(root(path)).unwrap()
}

/// Returns the names of all metrics that the programs export.
fn metrics() -> Vec<String> {
    // A metric family is exported only once it has a series.
    let entry = entry::metrics::Metrics::new();
    entry.count_refusal(Code::Internal);
    entry.record_response("ramp-check", 0.1);
    entry.count_broken("ramp-check");
    entry.count_crash("plans");
    let admin = admin::metrics::Metrics::new();
    let labels = admin::metrics::CallLabels {
        route: "GET /v1/profiles".to_owned(),
        status: 200,
    };
    admin.calls.get_or_create(&labels).inc();
    let exported = entry.encode().unwrap() + &admin.encode().unwrap();
    let types = exported.lines().filter_map(|l| l.strip_prefix("# TYPE "));
    let names = types.map(|l| match l.split_once(' ').unwrap() {
        (name, "counter") => format!("{name}_total"),
        (name, _) => name.to_owned(),
    });
    names.collect()
}

#[test]
fn the_alerts_page_names_exactly_the_exported_metrics() {
    let page = page("docs/operations/alerts.md");
    let exported = metrics();
    for name in &exported {
        let row = page.lines().find(|l| l.starts_with(&format!("| `{name}")));
        assert!(row.is_some(), "{name} has no row");
    }
    let is_word = |c: char| c.is_ascii_alphanumeric() || c == '_';
    for name in page
        .split(|c| !is_word(c))
        .filter(|w| w.starts_with("bamboolock_"))
    {
        assert!(exported.iter().any(|k| k == name), "{name} does not exist");
    }
}

#[test]
fn every_command_and_exit_code_is_on_the_command_line_page() {
    let page = page("docs/cli.md");
    for command in commands::command().get_subcommands() {
        let name = command.get_name();
        assert!(page.contains(&format!("| `{name}")), "{name} has no row");
        for inner in command.get_subcommands() {
            assert!(
                page.contains(inner.get_name()),
                "{name} {}",
                inner.get_name()
            );
        }
    }
    let codes = [
        0,
        exit::REFUSED,
        exit::USAGE,
        exit::UNREACHABLE,
        exit::CONFLICT,
        exit::OUTCOME_UNKNOWN,
        exit::TIMED_OUT,
    ];
    for code in codes {
        assert!(
            page.contains(&format!("\n| {code} |")),
            "code {code} has no row"
        );
    }
}

#[test]
fn every_cause_is_on_the_reports_page() {
    let page = page("docs/operations/report.md");
    let causes = [
        Cause::Refused,
        Cause::Unplaced,
        Cause::Waited,
        Cause::Late,
        Cause::Failed,
        Cause::Repeated,
        Cause::Unknown,
    ];
    for cause in causes {
        let row = format!("\n| {} |", text::cause(cause));
        assert!(page.contains(&row), "{cause:?} has no row");
    }
    assert!(page.contains("\n| cancelled |"));
}

#[test]
fn every_link_target_exists() {
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in text.split("](").skip(1).filter_map(|l| l.split(')').next()) {
            let file = link.split('#').next().unwrap();
            if file.is_empty() || file.contains("://") {
                continue;
            }
            let target = page.parent().unwrap().join(file);
            assert!(target.exists(), "{}: {link}", page.display());
        }
    }
}

#[test]
fn every_operators_page_is_in_the_index() {
    let index = page("docs/operations/README.md");
    for path in pages()
        .iter()
        .filter(|p| p.starts_with(root("docs/operations")))
    {
        let name = path.file_name().unwrap().to_str().unwrap();
        let linked = name == "README.md" || index.contains(&format!("({name})"));
        assert!(linked, "{name} is not in the index");
    }
}
