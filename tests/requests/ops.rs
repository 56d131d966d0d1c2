//! Operations of the fuzz test.

use bamboolock::kernel::requests::Outcome;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Number of profiles.
pub(crate) const PROFILES: usize = 4;

/// One operation on the scheduler. Indices are taken modulo the number of existing items.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    Submit { profile: usize, deadline: u64 },
    Dispatch,
    Finish { attempt: usize, outcome: Outcome },
    Settle { attempt: usize },
    Forward { free: u32 },
    Cancel { request: usize },
    Advance { span: u64 },
    Republish { profile: usize },
    Drain,
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => (0..60_u64).prop_map(|took| Outcome::Answered { took }),
        1 => (0..60_u64).prop_map(|took| Outcome::BackendError { took }),
        2 => Just(Outcome::NotRun),
        2 => Just(Outcome::TimedOut),
        3 => Just(Outcome::ConnectionLost),
    ]
}

/// Generator of operations; it keeps no state.
pub(crate) struct Ops;

impl ReferenceStateMachine for Ops {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let submit = (0..PROFILES, 1..800_u64);
        prop_oneof![
            60 => submit.prop_map(|(profile, deadline)| Op::Submit { profile, deadline }),
            60 => Just(Op::Dispatch),
            60 => (any::<usize>(), outcome())
                .prop_map(|(attempt, outcome)| Op::Finish { attempt, outcome }),
            10 => any::<usize>().prop_map(|attempt| Op::Settle { attempt }),
            8 => (0..3_u32).prop_map(|free| Op::Forward { free }),
            8 => any::<usize>().prop_map(|request| Op::Cancel { request }),
            30 => prop_oneof![5 => 0..40_u64, 1 => 100..3_000_u64]
                .prop_map(|span| Op::Advance { span }),
            4 => (0..PROFILES).prop_map(|profile| Op::Republish { profile }),
            1 => Just(Op::Drain),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}
