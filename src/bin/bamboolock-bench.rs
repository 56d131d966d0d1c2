//! Runs the benchmarks of the decision logic and prints one line for each result.

use std::process::ExitCode;

use bamboolock::bench::{
    measures::{
        self,
        Options, //
    },
    unit_costs, //
};
use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};

fn main() -> ExitCode {
    env_logger::init();
    let matches = command().get_matches();
    if matches.get_flag("slopes") {
        return print_slopes();
    }
    let options = Options {
        seed: matches.get_one("seed").copied().unwrap_or(1),
        quick: matches.get_flag("quick"),
    };
    let selected = matches.get_one::<String>("measure");
    let mut lines = Vec::new();
    for (name, run) in measures::MEASURES {
        if selected.is_some_and(|c| c != name) {
            continue;
        }
        match run(&options) {
            Ok(results) => lines.extend(results),
            Err(e) => {
                log::error!("{name}: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    for line in &lines {
        println!("{line}");
    }
    if let Some(path) = matches.get_one::<String>("json") {
        let json: Vec<_> = lines.iter().map(|l| l.json()).collect();
        if let Err(e) = std::fs::write(path, serde_json::json!(json).to_string()) {
            log::error!("{path}: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Prints the slopes, the cost of one more piece of state, as a Markdown table.
fn print_slopes() -> ExitCode {
    match unit_costs::run() {
        Ok(rows) => {
            println!("| What | Size | For one | Unit |\n| --- | --- | --- | --- |");
            rows.iter().for_each(|slope| println!("{slope}"));
            ExitCode::SUCCESS
        }
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let names = measures::MEASURES.map(|(name, _)| name);
    Command::new("bamboolock-bench")
        .about("Benchmarks the decision logic against simple baselines on the same arrivals")
        .arg(
            Arg::new("measure")
                .help("Run only this measure")
                .value_parser(names),
        )
        .arg(
            Arg::new("slopes")
                .long("slopes")
                .help("Print the cost of each kind of state, at several sizes")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["measure", "quick", "json"]),
        )
        .arg(
            Arg::new("quick")
                .long("quick")
                .help("Finish within a minute")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the random arrivals")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Also write the lines to this file as JSON"),
        )
}
