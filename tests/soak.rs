//! Soak: the real programs as separate processes, faults from outside them in seeded random series,
//! and a judge that sees only what callers and workers see.
//!
//! `scripts/soak` plays more seeds.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

mod soak {
    mod callers;
    mod disruptions;
    mod faults;
    #[expect(dead_code, reason = "the tables of the cell use the rest")]
    #[path = "../cell/make.rs"]
    mod make;
    #[expect(dead_code, reason = "the tests of instances use the rest")]
    #[path = "../instances/processes.rs"]
    mod processes;
    mod proxy;
    mod run;
    mod seeds;
    #[expect(dead_code, reason = "the tests of instances use the rest")]
    #[path = "../instances/standin.rs"]
    mod standin;
    #[path = "../cell/workers.rs"]
    mod workers;
}
