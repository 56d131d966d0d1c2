//! Client of the platform's list of instances, which is eventually consistent.

use std::time::Duration;

use crate::{
    remote::link::{
        self,
        Link, //
    },
    wire::list, //
};

/// Fetches the list of instances.
///
/// # Errors
///
/// Returns why the exchange failed; the list that was fetched before stays in use.
pub async fn read(link: &Link, limit: Duration) -> Result<list::Listing, link::Error> {
    let text = link.get_text("/v1/instances", limit).await?;
    list::Listing::decode(&text).map_err(|e| link::Error::Malformed(e.to_string()))
}
