//! Answers that a worker cuts short.

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
async fn an_answer_that_was_cut_short_is_never_passed_on_as_whole() {
    for profile in ["check", "once"] {
        let cell = Cell::start(cell::SMALL).await;
        let target = Default::default();
        let command = Command::CutAnswers { target, on: true };
        cell.command(&command).await;
        let body = json!({"work": "x".repeat(200)});
        let address = cell.instances[0].address;
        let answer = load::once(address, profile, None, &body).await;
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
