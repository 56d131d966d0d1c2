//! Malformed rows in an answer of the placement policy: the others hold.

use assert_matches::assert_matches;
use bamboolock::{
    platform::advice,
    remote::link, //
};

use super::server::{
    self,
    LIMIT, //
};

async fn permits(body: &str) -> Result<Vec<(String, String)>, link::Error> {
    let (link, _) = server::start(200, vec![body.as_bytes().to_vec()]).await;
    let permits = advice::request_permits(&link, "s", &["w1".into()], LIMIT).await?;
    let permits = permits.into_iter();
    Ok(permits
        .map(|p| (p.worker.to_string(), p.token.to_string()))
        .collect())
}

#[actix::test]
async fn a_malformed_row_does_not_spoil_the_other_permits() {
    let nested = server::nested();
    let rows = [
        "7".to_owned(),
        "[]".to_owned(),
        "1e400".to_owned(),
        nested.clone(),
        r#"["w2"]"#.to_owned(),
        r#"[7,"t"]"#.to_owned(),
        r#"["w2",null]"#.to_owned(),
        r#"["w2",1e400]"#.to_owned(),
        format!(r#"["w2",{nested}]"#),
    ];
    for row in rows {
        let found = permits(&format!(r#"{{"good":[{row},["w1","t1",{nested}]]}}"#)).await;
        assert_eq!(
            found,
            Ok(vec![("w1".to_owned(), "t1".to_owned())]),
            "{row:.40}"
        );
    }
}

#[actix::test]
async fn a_body_without_rows_is_an_error() {
    let nested = server::nested();
    for body in [
        "",
        "no JSON",
        "{}",
        r#"{"good":7}"#,
        r#"{"good":[["w1""#,
        nested.as_str(),
    ] {
        let found = permits(body).await;
        assert_matches!(found, Err(link::Error::Malformed(_)), "{:.40}", body);
    }
}
