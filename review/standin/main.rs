//! Stand-ins for the scripts of the review, and what each script does. Standard library only.

mod crash_loop;
mod fleet;
mod frozen_front;
mod http;
mod json;
mod late_copy;
mod platform;
mod startup_crash;
mod worker;

use std::{path::Path, process::ExitCode};

/// Result of a case: whether the rule held, or `None` if the case could not run.
type Verdict = Option<bool>;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = std::panic::catch_unwind(|| play(&words, trouble)).unwrap_or(None);
    // A case that was left early has not stopped its processes.
    fleet::stop_all();
    match verdict {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}

fn play(words: &[&str], trouble: bool) -> Verdict {
    match words[..] {
        ["worker", id, address, born] => {
            worker::run(worker::Settings {
                id: id.to_owned(),
                address: address.parse().expect("an address"),
                born: born.parse().expect("a time"),
                heartbeat_ms: fleet::HEARTBEAT_MS,
                stop_ms: fleet::STOP_MS,
                hold_max_ms: fleet::HOLD_MAX_MS,
            });
            Some(true)
        }
        ["crash-loop", folder] => crash_loop::play(Path::new(folder), trouble),
        ["startup-crash", folder] => startup_crash::play(Path::new(folder), trouble),
        ["frozen-front", folder] => frozen_front::play(Path::new(folder), trouble),
        ["late-copy", folder] => late_copy::play(Path::new(folder), trouble),
        _ => None,
    }
}
