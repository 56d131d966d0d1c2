//! Soak test: runs the real programs as separate processes, injects seeded random faults from
//! outside, and checks what callers and workers see.
//!
//! `scripts/soak` runs more seeds.

#![expect(clippy::unwrap_used, reason = "a test fails with a panic")]

mod soak {
    mod callers;
    mod cell;
    #[path = "../instances/delivery.rs"]
    mod delivery;
    mod disruptions;
    mod faults;
    mod inject;
    mod late_copies;
    #[expect(dead_code, reason = "the cell's table tests use the rest")]
    #[path = "../cell/make.rs"]
    mod make;
    #[expect(dead_code, reason = "the instance tests use the rest")]
    #[path = "../instances/processes.rs"]
    mod processes;
    mod proxy;
    mod reborn;
    mod run;
    mod seeds;
    #[expect(dead_code, reason = "the instance tests use the rest")]
    #[path = "../instances/standin.rs"]
    mod standin;
    #[expect(dead_code, reason = "the instance tests use the rest")]
    #[path = "../cell/workers.rs"]
    mod workers;
}
