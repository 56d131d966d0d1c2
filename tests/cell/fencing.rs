//! Fencing tokens.

use bamboolock::cell::fencing::{
    Token,
    Tokens, //
};

/// Guards against a successor whose tokens workers refuse, and a former owner whose tokens they accept.
#[test]
fn every_token_of_a_term_is_below_those_of_the_next_one() {
    for term in [0, 1, 2, 30_000_000] {
        let mut tokens = Tokens::of(term);
        let mut last = tokens.next().unwrap();
        assert_eq!(last, Token::first(term));
        for token in tokens.take(1_000) {
            assert!(last < token && token < Token::first(term + 1));
            assert_eq!(token.term(), term);
            last = token;
        }
    }
}

/// Guards against workers that read the number of a token with the precision of a float.
#[test]
fn tokens_are_exact_in_json() {
    let token = Token::first(30_000_000).value() + 1;
    assert_eq!(token as f64 as u64, token);
}
