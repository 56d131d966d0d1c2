//! Client of the platform's lagging list of instances.

use std::time::Duration;

use crate::{
    remote::link::{
        self,
        Link, //
    },
    wire::list, //
};

/// Reads the list once.
///
/// # Errors
///
/// Returns why the exchange failed; what is known stays valid then.
pub async fn read(link: &Link, limit: Duration) -> Result<list::Listing, link::Error> {
    link.get("/v1/instances", limit).await
}
