//! Commands of the command line and their options.

use std::path::PathBuf;

use clap::{
    Arg,
    ArgAction,
    Command,
    builder::PossibleValuesParser,
    value_parser, //
};

use crate::cli::{
    args,
    documents, //
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, failed, or the input has findings
  2  the command line is invalid, or a file cannot be read or written
  3  no usable response; nothing was changed
  4  conflict: another change was applied first
  5  outcome unknown: the request may have taken effect
  6  timeout while waiting with --wait";

const EXAMPLES: &str = "\
Examples:
  bamboolock profiles check examples/gatewise/profiles/*.json
  bamboolock request ramp-check --data '{\"stand\": \"B14\"}'
  bamboolock submit --profile gate-plan --tasks 8 --estimate 5m --wait
  bamboolock report burn --window 1h";

/// Builds the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("bamboolock")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Submits work, publishes profiles and reports outcomes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .max_term_width(100)
        .args(args::global_options())
        .subcommand(submit())
        .subcommand(status())
        .subcommand(cancel())
        .subcommand(request())
        .subcommand(profiles())
        .subcommand(report())
        .subcommand(config())
        .subcommand(schema())
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn files(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .num_args(1..)
        .required(true)
        .help(help)
}

fn within() -> Arg {
    option("within", "SPAN", "Time limit for --wait").default_value("10m")
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a job and prints its id")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the job as JSON; - reads the standard input"),
        )
        .arg(option(
            "profile",
            "NAME",
            "Profile of the job; overrides the file",
        ))
        .arg(option("tasks", "COUNT", "Number of tasks").value_parser(value_parser!(u32)))
        .arg(option("estimate", "SPAN", "Expected duration of a task"))
        .arg(option(
            "deadline",
            "SPAN",
            "Time from acceptance to the end of the job",
        ))
        .arg(option(
            "payload",
            "JSON",
            "Payload that every task receives",
        ))
        .arg(option(
            "key",
            "KEY",
            "Idempotency key; repeats with the same key return the same job",
        ))
        .arg(flag(
            "wait",
            "Wait until the job has ended, and show its progress",
        ))
        .arg(within())
        .after_help(
            "Without --key, a key is generated and printed; use it to repeat a submission whose \
             outcome is unknown.\n\nExamples:\n  bamboolock submit job.json\n  bamboolock submit \
             --profile rebalance --tasks 16 --estimate 20s --wait\n  echo '{\"profile\": \
             \"forecast\", \"tasks\": 4}' | bamboolock submit -",
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Shows the status of jobs, or without an id of the entry instance")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .num_args(0..)
                .help("Job ids"),
        )
        .arg(flag("jobs", "Show all jobs that the instance knows"))
        .after_help("Examples:\n  bamboolock status\n  bamboolock status --jobs -o json")
}

fn cancel() -> Command {
    Command::new("cancel").about("Cancels jobs").arg(
        Arg::new("id")
            .value_name("ID")
            .num_args(1..)
            .required(true)
            .help("Job ids"),
    )
}

fn request() -> Command {
    Command::new("request")
        .about("Sends one request and prints the response")
        .arg(
            Arg::new("profile")
                .value_name("PROFILE")
                .required(true)
                .help("Profile of the request"),
        )
        .arg(
            option(
                "data",
                "TEXT",
                "Request body; @FILE reads a file, @- the standard input",
            )
            .default_value(""),
        )
        .arg(option(
            "key",
            "KEY",
            "Idempotency key; repeats with the same key run at most once",
        ))
        .arg(option(
            "deadline",
            "SPAN",
            "Time from arrival to the response; shorter than the profile's deadline",
        ))
        .after_help(
            "Examples:\n  bamboolock request ramp-check --data '{\"stand\": \"B14\"}'\n  \
             bamboolock request letter-send --data @letter.json --key letter-2291",
        )
}

fn name() -> Arg {
    Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("Name of the profile")
}

fn version(help: &'static str) -> Arg {
    option("version", "NUMBER", help).value_parser(value_parser!(u32))
}

fn change_options(command: Command) -> Command {
    command
        .arg(
            option(
                "base",
                "NUMBER",
                "Version that the change is based on [default: the latest]",
            )
            .value_parser(value_parser!(u32)),
        )
        .arg(option(
            "change",
            "ID",
            "Change id; use the same id to repeat a change whose outcome is unknown",
        ))
        .arg(flag(
            "wait",
            "Wait until the change is in force on every instance, and show the progress",
        ))
        .arg(within())
}

fn profiles() -> Command {
    let list = Command::new("list").about("Lists the current version of every profile");
    let show = Command::new("show")
        .about("Shows a profile")
        .arg(name())
        .arg(version("Version to show [default: the latest]"));
    let history = Command::new("history")
        .about("Shows the versions of a profile")
        .arg(name());
    let check = Command::new("check")
        .about("Checks profiles without a server and prints all findings")
        .arg(files("Files with profiles as JSON"));
    let diff = Command::new("diff")
        .about("Shows how a file differs from the published version, with defaults filled in")
        .arg(name())
        .arg(
            Arg::new("path")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("File with the profile as JSON"),
        );
    let rollback = Command::new("rollback")
        .about("Publishes an earlier version again, as a new version")
        .arg(name())
        .arg(version("Version to publish again").required(true));
    let withdraw = Command::new("withdraw")
        .about("Withdraws a profile: no new work is admitted under it")
        .arg(name());
    Command::new("profiles")
        .about("Shows, checks and publishes profiles")
        .subcommand_required(true)
        .subcommand(list)
        .subcommand(show)
        .subcommand(history)
        .subcommand(check)
        .subcommand(diff)
        .subcommand(publish())
        .subcommand(change_options(rollback))
        .subcommand(change_options(withdraw))
        .after_help(
            "Examples:\n  bamboolock profiles check profiles/*.json\n  bamboolock profiles diff \
             ramp-check ramp-check.json\n  bamboolock profiles publish ramp-check.json --base 3 \
             --wait\n  bamboolock profiles rollback ramp-check --version 3 --wait",
        )
}

fn publish() -> Command {
    let command = Command::new("publish")
        .about("Publishes profiles; all files are checked before the first is published")
        .arg(files(
            "Files with profiles as JSON, named after the profiles",
        ))
        .arg(option(
            "name",
            "NAME",
            "Name of the profile; only with a single file",
        ));
    change_options(command)
}

fn report() -> Command {
    let burn = Command::new("burn")
        .about("Reports service levels, error-budget burn and the profiles that changed them")
        .arg(option("window", "SPAN", "Length of the reported span").default_value("1h"))
        .arg(
            option("file", "FILE", "Write the report to FILE").value_parser(value_parser!(PathBuf)),
        )
        .arg(
            option(
                "input",
                "FILE",
                "Read saved outcomes instead of querying the server",
            )
            .value_parser(value_parser!(PathBuf)),
        )
        .after_help(
            "The report compares the window with the preceding span of the same \
             length.\n\nExamples:\n  bamboolock report burn\n  bamboolock report burn --window 7d \
             -o html --file burn.html",
        );
    Command::new("report")
        .about("Reports on service levels")
        .subcommand_required(true)
        .subcommand(burn)
}

fn config() -> Command {
    let check = Command::new("check")
        .about("Checks whole files and prints every finding with its place")
        .arg(files("Files with settings, profiles or jobs as JSON"))
        .arg(
            option(
                "kind",
                "KIND",
                "Kind of document in the files [default: detected from the fields]",
            )
            .value_parser(PossibleValuesParser::new(documents::checkable())),
        )
        .after_help("Examples:\n  bamboolock config check examples/gatewise/entries/*.json");
    Command::new("config")
        .about("Checks settings without starting anything")
        .subcommand_required(true)
        .subcommand(check)
}

fn schema() -> Command {
    Command::new("schema")
        .about("Prints the JSON schema of a kind of document, or lists the kinds")
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .value_parser(PossibleValuesParser::new(documents::names()))
                .help("Kind of document"),
        )
        .arg(
            option("write", "DIR", "Write all schemas to a folder")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(flag("tables", "Print tables of all settings as Markdown"))
        .after_help(
            "Examples:\n  bamboolock schema profile\n  bamboolock schema --write schemas\n  \
             bamboolock schema --tables > docs/operations/settings.md",
        )
}
