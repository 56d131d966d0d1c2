//! The commands and their own options.

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
  2  the command line is wrong, or a file cannot be read or written
  3  no usable answer; nothing was changed
  4  another change was faster
  5  the request may have taken effect
  6  what was waited for did not come about in time";

const EXAMPLES: &str = "\
Examples:
  bamboolock profiles check examples/gatewise/profiles/*.json
  bamboolock request ramp-check --data '{\"stand\": \"B14\"}'
  bamboolock submit --profile gate-plan --tasks 8 --estimate 5m --wait
  bamboolock report burn --window 1h";

/// The whole command line.
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
    option("within", "SPAN", "Longest wait in all").default_value("10m")
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a job and prints its id")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The job as JSON; - reads the standard input"),
        )
        .arg(option("profile", "NAME", "The profile, without a file"))
        .arg(option("tasks", "COUNT", "How many tasks").value_parser(value_parser!(u32)))
        .arg(option("estimate", "SPAN", "Expected run time of a task"))
        .arg(option("deadline", "SPAN", "From acceptance to the end"))
        .arg(option("payload", "JSON", "What the tasks are told"))
        .arg(option(
            "key",
            "KEY",
            "Idempotency key; a repeat is the same job",
        ))
        .arg(flag(
            "wait",
            "Wait until the job has ended, and show progress",
        ))
        .arg(within())
        .after_help(
            "Without --key a key is made up and printed; repeat a submission whose outcome is \
             unknown with it.\n\nExamples:\n  bamboolock submit job.json\n  bamboolock submit \
             --profile rebalance --tasks 16 --estimate 20s --wait\n  echo '{\"profile\": \
             \"forecast\", \"tasks\": 4}' | bamboolock submit -",
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Shows jobs, or without an id the entry instance")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .num_args(0..)
                .help("Ids of jobs"),
        )
        .arg(flag("jobs", "All jobs that the instance knows"))
        .after_help("Examples:\n  bamboolock status\n  bamboolock status --jobs -o json")
}

fn cancel() -> Command {
    Command::new("cancel").about("Cancels jobs").arg(
        Arg::new("id")
            .value_name("ID")
            .num_args(1..)
            .required(true)
            .help("Ids of jobs"),
    )
}

fn request() -> Command {
    Command::new("request")
        .about("Sends one request and prints the whole answer")
        .arg(
            Arg::new("profile")
                .value_name("PROFILE")
                .required(true)
                .help("The profile"),
        )
        .arg(
            option(
                "data",
                "TEXT",
                "The body; @FILE reads a file, @- the standard input",
            )
            .default_value(""),
        )
        .arg(option(
            "key",
            "KEY",
            "Idempotency key; a repeat runs at most once",
        ))
        .arg(option(
            "deadline",
            "SPAN",
            "From arrival to the answer, below the profile's",
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
        .help("The profile")
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
                "The version that the change is based on [default: the newest]",
            )
            .value_parser(value_parser!(u32)),
        )
        .arg(option(
            "change",
            "ID",
            "Id of the change, to repeat one whose outcome is unknown",
        ))
        .arg(flag(
            "wait",
            "Wait until the change is in force on every instance, and show progress",
        ))
        .arg(within())
}

fn profiles() -> Command {
    let list = Command::new("list").about("Lists the current version of every profile");
    let show = Command::new("show")
        .about("Shows a profile")
        .arg(name())
        .arg(version("An earlier version"));
    let history = Command::new("history")
        .about("Shows the versions of a profile")
        .arg(name());
    let check = Command::new("check")
        .about("Checks profiles without a server and prints every finding")
        .arg(files("Profiles as JSON"));
    let diff = Command::new("diff")
        .about("Shows what a file would change, defaults written out")
        .arg(name())
        .arg(
            Arg::new("path")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The profile as JSON"),
        );
    let rollback = Command::new("rollback")
        .about("Publishes an earlier version again, as a new one")
        .arg(name())
        .arg(version("The version whose content comes back").required(true));
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
        .arg(files("Profiles as JSON; a file's name is the profile's"))
        .arg(option("name", "NAME", "The profile, for a single file"));
    change_options(command)
}

fn report() -> Command {
    let burn = Command::new("burn")
        .about("The line, what burns the error budgets, and which profile moved the line")
        .arg(option("window", "SPAN", "The span that the line covers").default_value("1h"))
        .arg(
            option("file", "FILE", "Write the report to a file")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            option(
                "input",
                "FILE",
                "Read saved outcomes in place of the server's",
            )
            .value_parser(value_parser!(PathBuf)),
        )
        .after_help(
            "The span before the window, of the same length, is what the line is compared \
             with.\n\nExamples:\n  bamboolock report burn\n  bamboolock report burn --window 7d -o \
             html --file burn.html",
        );
    Command::new("report")
        .about("Reports on service levels")
        .subcommand_required(true)
        .subcommand(burn)
}

fn config() -> Command {
    let check = Command::new("check")
        .about("Checks files whole and prints every finding with its place")
        .arg(files("Settings, profiles or jobs as JSON"))
        .arg(
            option(
                "kind",
                "KIND",
                "What the files hold; found out by their fields without it",
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
        .about("Prints the JSON schema of a document, or the names of all")
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .value_parser(PossibleValuesParser::new(documents::names()))
                .help("The document"),
        )
        .arg(
            option("write", "DIR", "Write every schema to a folder")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(flag(
            "tables",
            "Print the tables of all settings as Markdown",
        ))
        .after_help(
            "Examples:\n  bamboolock schema profile\n  bamboolock schema --write schemas\n  \
             bamboolock schema --tables > docs/operations/settings.md",
        )
}
