//! What became of work, with the promises that it is measured by.

use crate::{
    ids::Millis,
    ledger::{
        profiles::Named,
        state::State, //
    },
    report, //
};

/// The outcomes of every span that ends after `since`, and the promises of all kept versions.
#[must_use]
pub fn input(state: &State, since: Millis) -> report::Input {
    let named = state.profiles.list().iter();
    report::Input {
        now: state.clock(),
        rows: state.outcomes.rows(since).collect(),
        targets: named.flat_map(targets).collect(),
    }
}

/// The promises of a profile's versions, oldest first.
fn targets(named: &Named) -> impl Iterator<Item = report::Target> + '_ {
    named.history.iter().filter_map(|version| {
        let profile = version.profile.as_ref()?;
        Some(report::Target {
            profile: named.name.clone(),
            version: version.change.version,
            share: profile.objective.share,
        })
    })
}
