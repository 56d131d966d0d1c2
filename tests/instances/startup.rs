//! What a process says when it cannot start.

use std::net::TcpListener;

use super::processes::Instance;

#[test]
fn a_process_whose_address_is_taken_says_so_before_it_ends() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let store = "127.0.0.1:9".parse().unwrap();
    let (status, text) = Instance::prepare("taken", store, address).run();
    assert_eq!(status, Some(3));
    assert!(text.contains("stopped"), "{text:?}");
    assert!(text.contains(&address.to_string()), "{text:?}");
}
