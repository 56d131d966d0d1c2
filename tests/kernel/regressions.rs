//! Cases that fuzzing found, cut down.

use bamboolock::profile::Kind;

use super::world::{
    Op,
    World, //
};

fn replay(ops: Vec<Op>) {
    let mut world = World::new();
    for op in ops {
        world.apply(op);
    }
    world.settle();
}

/// x
#[test]
fn a_worker_holds_five_slots() {
    replay(vec![
        Op::Round { ms: 83 },
        Op::Finish {
            worker: 2,
            at: 27,
            failed: true,
        },
        Op::Wake { instance: 2 },
        Op::Deliver { at: 25 },
        Op::Finish {
            worker: 0,
            at: 25,
            failed: false,
        },
        Op::Deliver { at: 12 },
        Op::Request { instance: 0 },
        Op::Heal,
        Op::Deliver { at: 35 },
        Op::Submit {
            instance: 0,
            kind: Kind::Run,
            tasks: 3,
            slots: 1,
        },
        Op::Round { ms: 311 },
        Op::Round { ms: 316 },
        Op::Round { ms: 398 },
        Op::Request { instance: 1 },
        Op::Drop { at: 53 },
        Op::Round { ms: 252 },
        Op::Step {
            instance: 2,
            ms: 49,
        },
        Op::Round { ms: 81 },
        Op::Request { instance: 1 },
        Op::Refuse { worker: 0 },
        Op::Round { ms: 191 },
        Op::Round { ms: 92 },
        Op::Request { instance: 1 },
        Op::Round { ms: 140 },
        Op::Step {
            instance: 3,
            ms: 163,
        },
        Op::Deliver { at: 29 },
        Op::Request { instance: 1 },
        Op::Pause {
            instance: 1,
            ms: 992,
        },
        Op::Round { ms: 23 },
        Op::Heal,
        Op::Submit {
            instance: 2,
            kind: Kind::Gang,
            tasks: 3,
            slots: 2,
        },
        Op::Pause {
            instance: 2,
            ms: 2009,
        },
        Op::Finish {
            worker: 0,
            at: 51,
            failed: false,
        },
        Op::Round { ms: 238 },
        Op::Round { ms: 315 },
        Op::Submit {
            instance: 3,
            kind: Kind::Service,
            tasks: 2,
            slots: 1,
        },
        Op::Round { ms: 367 },
        Op::Round { ms: 222 },
        Op::Request { instance: 0 },
        Op::Step {
            instance: 2,
            ms: 125,
        },
        Op::Heal,
        Op::Round { ms: 17 },
        Op::CutLog { instance: 0 },
        Op::Round { ms: 51 },
        Op::Request { instance: 3 },
        Op::Round { ms: 296 },
        Op::Step {
            instance: 1,
            ms: 161,
        },
        Op::Pause {
            instance: 0,
            ms: 1092,
        },
        Op::Round { ms: 50 },
        Op::Round { ms: 115 },
        Op::Restart { instance: 2 },
        Op::Round { ms: 33 },
        Op::Round { ms: 22 },
        Op::Round { ms: 99 },
        Op::Round { ms: 139 },
        Op::Round { ms: 205 },
        Op::Round { ms: 266 },
        Op::Step {
            instance: 3,
            ms: 151,
        },
        Op::Round { ms: 47 },
        Op::Step {
            instance: 3,
            ms: 86,
        },
        Op::Round { ms: 63 },
        Op::Round { ms: 104 },
        Op::Round { ms: 191 },
        Op::Round { ms: 223 },
        Op::FinishRequest { worker: 2, at: 47 },
        Op::Wake { instance: 0 },
        Op::FinishRequest { worker: 0, at: 37 },
        Op::Round { ms: 71 },
        Op::Round { ms: 236 },
        Op::Submit {
            instance: 0,
            kind: Kind::Run,
            tasks: 3,
            slots: 2,
        },
        Op::Pause {
            instance: 3,
            ms: 3300,
        },
        Op::Round { ms: 106 },
        Op::Round { ms: 262 },
        Op::Round { ms: 216 },
        Op::Finish {
            worker: 1,
            at: 55,
            failed: true,
        },
        Op::Round { ms: 230 },
        Op::Round { ms: 207 },
        Op::Round { ms: 13 },
        Op::Heal,
        Op::Round { ms: 278 },
        Op::Round { ms: 101 },
        Op::Step {
            instance: 1,
            ms: 164,
        },
        Op::Round { ms: 256 },
        Op::Round { ms: 257 },
        Op::Round { ms: 143 },
        Op::Round { ms: 27 },
        Op::Round { ms: 211 },
    ]);
}
