//! Runs the measures on the decision logic and prints one line each.

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
        return slopes();
    }
    let options = Options {
        seed: matches.get_one("seed").copied().unwrap_or(1),
        quick: matches.get_flag("quick"),
    };
    let chosen = matches.get_one::<String>("measure");
    let mut lines = Vec::new();
    for (name, run) in measures::MEASURES {
        if chosen.is_some_and(|c| c != name) {
            continue;
        }
        match run(&options) {
            Ok(found) => lines.extend(found),
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

/// Prints the slopes as rows of a Markdown table.
fn slopes() -> ExitCode {
    match unit_costs::run() {
        Ok(found) => {
            println!("| What | Size | For one | Unit |\n| --- | --- | --- | --- |");
            found.iter().for_each(|slope| println!("{slope}"));
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
        .about("Measures the decision logic against plain baselines on the same arrivals")
        .arg(
            Arg::new("measure")
                .help("Runs this measure alone")
                .value_parser(names),
        )
        .arg(
            Arg::new("slopes")
                .long("slopes")
                .help("Prints what each piece of state costs, at several sizes")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["measure", "quick", "json"]),
        )
        .arg(
            Arg::new("quick")
                .long("quick")
                .help("Ends within a minute")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Decides the arrivals")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Also writes the lines to this file as JSON"),
        )
}
