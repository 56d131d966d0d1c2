//! Runs a case of the third review: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0`, the case runs without its disruption.

mod cell;
mod flap;
mod http;
mod json;
mod large;
mod record;
mod store;
mod trial;
mod worker;
mod world;

use std::{thread, time::Duration};

/// Time after which a case is given up, and its processes are ended.
const LIMIT: Duration = Duration::from_secs(116);

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = format!("{folder}/record.txt");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        cell::end_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "progress" => large::progress(&record, trouble),
        "flap" => flap::run(&record, trouble),
        "trial" => trial::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let code = match verdict {
        Verdict::Broken => 1,
        Verdict::Held => 0,
        Verdict::NotRun => 2,
    };
    cell::end_all();
    println!("{case}: {}", ["the rule held", "the rule was broken", "the case could not run"][code as usize]);
    std::process::exit(code);
}
