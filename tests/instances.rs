//! Processes of `bamboolock-cell` against a stand-in of the users' platform, which checks the
//! results.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod instances {
    mod cancelled;
    mod deadly;
    #[expect(dead_code, reason = "the soak uses the rest")]
    mod delivery;
    mod former_owner;
    mod forwarding;
    mod keys;
    mod large_configuration;
    mod late_copies;
    #[expect(dead_code, reason = "the tests of the cell use the rest")]
    #[path = "../cell/make.rs"]
    mod make;
    mod malformed;
    mod overload;
    #[expect(dead_code, reason = "the tests of crowds use the rest")]
    mod processes;
    mod reborn;
    mod slow_link;
    #[expect(dead_code, reason = "the soak uses the rest")]
    mod standin;
    mod startup;
    mod takeover;
    #[expect(dead_code, reason = "the fuzz tests of the cell use the rest")]
    #[path = "../cell/workers.rs"]
    mod workers;
}
