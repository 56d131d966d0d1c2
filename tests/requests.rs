//! Tests of the request scheduler: table-driven tests and stateful fuzzing.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on has failed")]

#[path = "requests/admission.rs"]
mod admission;
#[path = "requests/capacity.rs"]
mod capacity;
#[path = "requests/crashes.rs"]
mod crashes;
#[path = "requests/ejection.rs"]
mod ejection;
#[path = "requests/estimates.rs"]
mod estimates;
#[path = "requests/fuzz.rs"]
mod fuzz;
#[path = "requests/hedges.rs"]
mod hedges;
#[path = "requests/ops.rs"]
mod ops;
#[path = "requests/retries.rs"]
mod retries;
#[path = "requests/support.rs"]
mod support;
