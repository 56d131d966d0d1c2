//! Responses that a worker truncates.

use bamboolock::standin::command::Command;
use serde_json::json;

use crate::{
    cell::{
        self,
        Cell, //
    },
    load, //
};

#[actix_web::test]
async fn truncated_response_is_never_returned_as_complete() {
    for profile in ["check", "once"] {
        let cell = Cell::start(cell::ONE_ZONE).await;
        let target = Default::default();
        let command = Command::CutAnswers { target, on: true };
        cell.send_command(&command).await;
        let body = json!({"work": "x".repeat(200)});
        let address = cell.instances[0].address;
        let answer = load::send_once(address, profile, None, &body).await;
        let (not_run, reason) = answer.unwrap_err();
        assert!(!not_run, "{profile}: it ran: {reason}");
        assert!(
            reason.contains("\"code\":"),
            "{profile}: no refusal: {reason}"
        );
        let counters = cell.verdict().counters;
        assert!(counters.cut >= 1, "{profile}: {counters:?}");
        assert!(counters.nonidempotent <= 1, "{profile}: {counters:?}");
    }
}
