//! Contract tests of the kernel, and stateful fuzzing of several simulated instances against fake
//! workers and a fake log.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

mod kernel {
    mod crashes;
    mod fake;
    mod fuzz;
    mod harness;
    mod instance;
    mod jobs;
    mod leases;
    mod members;
    mod network;
    mod oracle;
    mod planner;
    mod quiescence;
    mod simulation;
    mod values;
}
