//! Real processes of `bamboolock-cell` against a stand-in of the users' platform, which judges them.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

mod instances {
    #[expect(dead_code, reason = "the tables of the cell use the rest")]
    #[path = "../cell/make.rs"]
    mod make;
    #[expect(dead_code, reason = "the soak uses the rest")]
    mod processes;
    mod standin;
    mod startup;
    mod takeover;
    #[expect(dead_code, reason = "the fuzz of the cell uses the rest")]
    #[path = "../cell/workers.rs"]
    mod workers;
}
