//! Crowds of clients that nobody controls, against processes of `bamboolock-cell` whose machine has
//! little memory and few descriptors.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod crowds {
    mod bodies;
    mod connections;
    mod crowd;
    #[expect(dead_code, reason = "the soak uses the rest")]
    #[path = "../instances/delivery.rs"]
    mod delivery;
    mod jobs;
    #[expect(dead_code, reason = "the tests of the cell use the rest")]
    #[path = "../cell/make.rs"]
    mod make;
    mod ordinary;
    #[expect(dead_code, reason = "the tests of instances use the rest")]
    #[path = "../instances/processes.rs"]
    mod processes;
    mod requests;
    mod site;
    #[expect(dead_code, reason = "the soak uses the rest")]
    #[path = "../instances/standin.rs"]
    mod standin;
    #[expect(dead_code, reason = "the fuzz tests of the cell use the rest")]
    #[path = "../cell/workers.rs"]
    mod workers;
}
