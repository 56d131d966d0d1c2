//! Asks the stand-in's judge, and tells it which work was refused as not run.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compact_str::CompactString;

use crate::{
    load::{
        Error,
        sample::{
            Class,
            Sample, //
        },
        schedule::Arrival, //
    },
    standin::{
        command::Witness,
        judge::Verdict, //
    }, //
};

/// How long the judge may take to answer.
const LIMIT: Duration = Duration::from_secs(10);

/// The largest verdict, in bytes.
const LARGEST: usize = 64 << 20;

/// The names of the work that every answer called not run, sorted.
#[must_use]
pub fn refused(arrivals: &[Arrival], samples: &[Sample]) -> Vec<CompactString> {
    let mut refused = names(arrivals, samples, |c| c == Class::Refused);
    let mut others = names(arrivals, samples, |c| c != Class::Refused);
    refused.sort();
    refused.dedup();
    others.sort();
    refused.retain(|work| others.binary_search(work).is_err());
    refused
}

fn names(
    arrivals: &[Arrival],
    samples: &[Sample],
    wanted: impl Fn(Class) -> bool,
) -> Vec<CompactString> {
    let found = samples.iter().filter(|s| wanted(s.class));
    found.map(|s| arrivals[s.index].work.clone()).collect()
}

/// Tells the judge what was refused, and returns its findings.
///
/// # Errors
///
/// Returns why the judge does not answer.
pub async fn ask(
    client: &awc::Client,
    platform: SocketAddr,
    refused: Vec<CompactString>,
) -> Result<Verdict, Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Platform(e.to_string());
    let witness = Witness { refused };
    let url = format!("http://{platform}/control/witness");
    let sent = client.post(url).timeout(LIMIT).send_json(&witness).await;
    sent.map_err(|e| failed(&e))?;
    let url = format!("http://{platform}/control/judge");
    let answer = client.get(url).timeout(LIMIT).send().await;
    let mut answer = answer.map_err(|e| failed(&e))?;
    let verdict = answer.json().limit(LARGEST).await;
    verdict.map_err(|e| failed(&e))
}
