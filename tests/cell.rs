//! Tests of the cell's owner: one test for each rule, and stateful fuzzing against simulated
//! workers that check it.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

mod cell {
    mod access;
    mod acknowledged;
    mod archive;
    mod capacity;
    mod caution;
    mod cordons;
    mod crashes;
    mod deadly;
    mod driver;
    mod election;
    mod faults;
    mod fencing;
    mod fuzz;
    mod gangs;
    mod incarnations;
    mod intake;
    mod journal;
    mod listing;
    mod load;
    mod make;
    mod malformed;
    mod neighbours;
    mod network;
    mod outage;
    mod owners;
    mod ownership;
    mod proxies;
    mod reborn;
    mod recovery;
    mod recuts;
    mod refusals;
    mod roster;
    mod rules;
    mod shares;
    mod shares_owners;
    mod shares_refusal;
    mod shares_replay;
    mod slow_link;
    mod spread;
    mod stalls;
    mod stored;
    mod superseded;
    mod tombstones;
    mod twice;
    mod waiting;
    mod waves;
    #[expect(dead_code, reason = "the soak uses the rest")]
    mod workers;
    mod world;
}
