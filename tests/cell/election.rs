//! Claims of ownership: one row for each situation.

use bamboolock::cell::election::{
    self,
    Decision,
    OwnerStatus, //
    View,
    Witness,
};

const CALM: View = View {
    now: 100_000,
    has_owner: true,
    is_self: false,
    since: 100_000,
    timeout: 250,
    status: OwnerStatus::Well,
    refused: false,
    unreachable: false,
    store_reachable: true,
    rank: 0,
    witness: Witness::Unasked,
};

#[test]
fn each_situation_leads_to_its_decision() {
    let silent = |ago: u64, witness| View {
        since: CALM.now - ago,
        witness,
        ..CALM
    };
    let rows: Vec<(&str, View, Decision)> = vec![
        ("the owner is well", CALM, Decision::Wait),
        (
            "no owner yet",
            View {
                has_owner: false,
                ..CALM
            },
            Decision::Claim,
        ),
        (
            "no owner yet, other candidates go first",
            View {
                has_owner: false,
                rank: 2,
                ..CALM
            },
            Decision::Wait,
        ),
        (
            "this instance owned the cell in an earlier incarnation",
            View {
                is_self: true,
                ..CALM
            },
            Decision::Claim,
        ),
        (
            "the store does not answer",
            View {
                is_self: true,
                store_reachable: false,
                ..CALM
            },
            Decision::Wait,
        ),
        (
            "a heartbeat is late",
            silent(300, Witness::Unasked),
            Decision::Wait,
        ),
        (
            "the owner is silent",
            silent(1_000, Witness::Unasked),
            Decision::AskWitnesses,
        ),
        (
            "a response is late by the usual time, on a busy path",
            View {
                timeout: 900,
                ..silent(800, Witness::Silent)
            },
            Decision::Wait,
        ),
        (
            "a response is late on a busy path",
            View {
                timeout: 900,
                ..silent(1_050, Witness::Silent)
            },
            Decision::Claim,
        ),
        (
            "other instances reach the owner",
            silent(60_000, Witness::Alive),
            Decision::Wait,
        ),
        (
            "no other instance reaches the owner",
            silent(1_000, Witness::Silent),
            Decision::Claim,
        ),
        (
            "no other instance answers: probably partitioned",
            silent(2_000, Witness::Nobody),
            Decision::Wait,
        ),
        (
            "no other instance answers for a long time",
            silent(3_100, Witness::Nobody),
            Decision::Claim,
        ),
        (
            "the owner steps down",
            View {
                status: OwnerStatus::StepsDown,
                ..CALM
            },
            Decision::Claim,
        ),
        (
            "the owner steps down, other candidates go first",
            View {
                status: OwnerStatus::StepsDown,
                rank: 1,
                ..CALM
            },
            Decision::Wait,
        ),
        (
            "its connections are refused: gone, or this instance is cut off",
            View {
                refused: true,
                ..CALM
            },
            Decision::AskWitnesses,
        ),
        (
            "its connections are refused here and not for others",
            View {
                refused: true,
                ..silent(60_000, Witness::Alive)
            },
            Decision::Wait,
        ),
        (
            "its process is gone for others too",
            View {
                refused: true,
                witness: Witness::Silent,
                ..CALM
            },
            Decision::Claim,
        ),
        (
            "its process is gone, and nobody else is up",
            View {
                refused: true,
                witness: Witness::Nobody,
                ..CALM
            },
            Decision::Claim,
        ),
        (
            "its process is gone, others go first",
            View {
                refused: true,
                rank: 1,
                witness: Witness::Silent,
                ..CALM
            },
            Decision::Wait,
        ),
        (
            "its machine is dark: gone, or this instance is cut off",
            View {
                unreachable: true,
                ..CALM
            },
            Decision::AskWitnesses,
        ),
        (
            "its machine is dark here and not for others",
            View {
                unreachable: true,
                ..silent(60_000, Witness::Alive)
            },
            Decision::Wait,
        ),
        (
            "its machine is dark for others too",
            View {
                unreachable: true,
                ..silent(400, Witness::Silent)
            },
            Decision::Claim,
        ),
        (
            "it denies",
            View {
                status: OwnerStatus::Denies,
                ..CALM
            },
            Decision::Claim,
        ),
    ];
    for (name, view, want) in rows {
        assert_eq!(election::decide(&view), want, "{name}");
    }
}

#[test]
fn candidates_of_different_rank_never_claim_at_the_same_time() {
    for ago in 0..5_000 {
        let claims = |rank| {
            let view = View {
                status: OwnerStatus::StepsDown,
                since: CALM.now - ago,
                rank,
                ..CALM
            };
            election::decide(&view) == Decision::Claim
        };
        for rank in 1..4 {
            assert!(
                !claims(rank) || claims(rank - 1),
                "rank {rank} claims before the one ahead of it"
            );
        }
    }
}
