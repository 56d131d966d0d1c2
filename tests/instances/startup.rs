//! A process that cannot start reports why.

use std::net::TcpListener;

use super::processes::Instance;

#[test]
fn an_occupied_address_is_reported_before_exit() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let store = "127.0.0.1:9".parse().unwrap();
    let (status, text) = Instance::prepare("taken", store, address).run();
    assert_eq!(status, Some(3));
    assert!(text.contains("stopped"), "{text:?}");
    assert!(text.contains(&address.to_string()), "{text:?}");
}
