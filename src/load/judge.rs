//! Client of the stand-in's judge: reports which work was refused as not run and reads the verdict.

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
        command::RefusedWork,
        judge::Verdict, //
    }, //
};

/// Timeout of a request to the judge.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest verdict that is read, in bytes.
const MAX_VERDICT_BYTES: usize = 64 << 20;

/// Returns the sorted names of the work for which every response said that it did not run.
#[must_use]
pub fn refused_work(arrivals: &[Arrival], samples: &[Sample]) -> Vec<CompactString> {
    let mut refused = work_names(arrivals, samples, |c| c == Class::Refused);
    let mut others = work_names(arrivals, samples, |c| c != Class::Refused);
    refused.sort();
    refused.dedup();
    others.sort();
    refused.retain(|work| others.binary_search(work).is_err());
    refused
}

fn work_names(
    arrivals: &[Arrival],
    samples: &[Sample],
    included: impl Fn(Class) -> bool,
) -> Vec<CompactString> {
    let found = samples.iter().filter(|s| included(s.class));
    found.map(|s| arrivals[s.index].work.clone()).collect()
}

/// Reports the refused work to the judge and returns its verdict.
///
/// # Errors
///
/// Returns an error if a request to the judge fails or its verdict is malformed.
pub async fn request_verdict(
    client: &awc::Client,
    platform: SocketAddr,
    refused: Vec<CompactString>,
) -> Result<Verdict, Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Platform(e.to_string());
    let witness = RefusedWork { refused };
    let url = format!("http://{platform}/control/witness");
    let sent = client.post(url).timeout(TIMEOUT).send_json(&witness).await;
    sent.map_err(|e| failed(&e))?;
    let url = format!("http://{platform}/control/judge");
    let response = client.get(url).timeout(TIMEOUT).send().await;
    let mut response = response.map_err(|e| failed(&e))?;
    let verdict = response.json().limit(MAX_VERDICT_BYTES).await;
    verdict.map_err(|e| failed(&e))
}
