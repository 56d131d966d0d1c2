//! When an instance claims ownership: a row a situation.

use bamboolock::cell::election::{
    self,
    Step,
    View,
    Witness,
    Word, //
};

const CALM: View = View {
    now: 100_000,
    known: true,
    mine: false,
    since: 100_000,
    word: Word::Well,
    refused: false,
    dark: false,
    store: true,
    rank: 0,
    witness: Witness::Unasked,
};

#[test]
fn every_situation_has_its_step() {
    let silent = |ago: u64, witness| View {
        since: CALM.now - ago,
        witness,
        ..CALM
    };
    let rows: Vec<(&str, View, Step)> = vec![
        ("the owner is well", CALM, Step::Wait),
        (
            "there is none yet",
            View {
                known: false,
                ..CALM
            },
            Step::Claim,
        ),
        (
            "there is none yet, others go first",
            View {
                known: false,
                rank: 2,
                ..CALM
            },
            Step::Wait,
        ),
        (
            "this instance owned the cell in an earlier life",
            View { mine: true, ..CALM },
            Step::Claim,
        ),
        (
            "the store does not answer",
            View {
                mine: true,
                store: false,
                ..CALM
            },
            Step::Wait,
        ),
        (
            "a heartbeat is late",
            silent(300, Witness::Unasked),
            Step::Wait,
        ),
        (
            "the owner is silent",
            silent(1_000, Witness::Unasked),
            Step::Ask,
        ),
        (
            "others hear from it",
            silent(60_000, Witness::Alive),
            Step::Wait,
        ),
        (
            "others do not hear from it",
            silent(1_000, Witness::Silent),
            Step::Claim,
        ),
        (
            "nobody answers: cut off, most likely",
            silent(2_000, Witness::Nobody),
            Step::Wait,
        ),
        (
            "nobody answers for long",
            silent(3_100, Witness::Nobody),
            Step::Claim,
        ),
        (
            "it stops in an orderly way",
            View {
                word: Word::StepsDown,
                ..CALM
            },
            Step::Claim,
        ),
        (
            "it stops, others go first",
            View {
                word: Word::StepsDown,
                rank: 1,
                ..CALM
            },
            Step::Wait,
        ),
        (
            "its connections are refused: gone, or this instance is cut off",
            View {
                refused: true,
                ..CALM
            },
            Step::Ask,
        ),
        (
            "its connections are refused here and not for others",
            View {
                refused: true,
                ..silent(60_000, Witness::Alive)
            },
            Step::Wait,
        ),
        (
            "its process is gone for others too",
            View {
                refused: true,
                witness: Witness::Silent,
                ..CALM
            },
            Step::Claim,
        ),
        (
            "its process is gone, and nobody else is up",
            View {
                refused: true,
                witness: Witness::Nobody,
                ..CALM
            },
            Step::Claim,
        ),
        (
            "its process is gone, others go first",
            View {
                refused: true,
                rank: 1,
                witness: Witness::Silent,
                ..CALM
            },
            Step::Wait,
        ),
        (
            "its machine is dark: gone, or this instance is cut off",
            View { dark: true, ..CALM },
            Step::Ask,
        ),
        (
            "its machine is dark here and not for others",
            View {
                dark: true,
                ..silent(60_000, Witness::Alive)
            },
            Step::Wait,
        ),
        (
            "its machine is dark for others too",
            View {
                dark: true,
                ..silent(400, Witness::Silent)
            },
            Step::Claim,
        ),
        (
            "it denies",
            View {
                word: Word::Denies,
                ..CALM
            },
            Step::Claim,
        ),
    ];
    for (name, view, want) in rows {
        assert_eq!(election::decide(&view), want, "{name}");
    }
}

#[test]
fn two_candidates_never_share_a_moment_unless_they_share_a_rank() {
    for ago in 0..5_000 {
        let claims = |rank| {
            let view = View {
                word: Word::StepsDown,
                since: CALM.now - ago,
                rank,
                ..CALM
            };
            election::decide(&view) == Step::Claim
        };
        for rank in 1..4 {
            assert!(
                !claims(rank) || claims(rank - 1),
                "rank {rank} claims before the one ahead of it"
            );
        }
    }
}
