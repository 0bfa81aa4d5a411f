//! The HTTP client in a process that is short of processor time or suspended: time-outs, and requests
//! that are not sent.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use hyper::Method;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;
use trefoilgauge::fleet::clock::boot_ms;
use trefoilgauge::modules::http::Client;
use trefoilgauge::modules::http::Error;
use trefoilgauge::modules::http::Outgoing;

/// Serves one request, and responds after `after`.
fn serve(after: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).unwrap() > 0);
        std::thread::sleep(after);
        // The client may have disconnected.
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    });
    addr
}

/// Sends a request with a time limit of 200 ms, and 50 ms later blocks the only thread for `busy`.
async fn call(addr: &str, busy: Duration) -> Result<u16, Error> {
    let outgoing = Outgoing {
        method: Method::POST,
        addr,
        path: "/",
        limit_ms: 200,
        ..Outgoing::default()
    };
    let client = Client::new(200);
    let block = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        std::thread::sleep(busy);
    };
    let (result, ()) = tokio::join!(client.send(outgoing), block);
    result.map(|incoming| incoming.status)
}

#[tokio::test]
async fn a_response_that_arrived_in_time_but_is_read_late_is_accepted() {
    let addr = serve(Duration::from_millis(100));
    assert_eq!(call(&addr, Duration::from_millis(600)).await, Ok(200));
}

#[tokio::test]
async fn the_grace_period_is_no_longer_than_the_process_was_late() {
    let addr = serve(Duration::from_secs(5));
    let start = std::time::Instant::now();
    let result = call(&addr, Duration::from_millis(300)).await;
    assert_eq!(result, Err(Error::Late));
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Accepts one connection and never responds; what it has received by `after` is sent to the channel.
fn listen(after: Duration) -> (String, std::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        std::thread::sleep(after);
        let mut request = [0; 1_024];
        let size = stream.read(&mut request).unwrap_or(0);
        tx.send(String::from_utf8_lossy(&request[..size]).into_owned())
            .unwrap();
    });
    (addr, rx)
}

/// A request with a body that expires after `valid_ms`.
fn order(addr: &str, valid_ms: u64) -> Outgoing<'_> {
    Outgoing {
        method: Method::POST,
        addr,
        path: "/",
        body: "{order}".into(),
        limit_ms: 200,
        expires_at: Some(boot_ms() + valid_ms),
        ..Outgoing::default()
    }
}

/// Guards against TWICE: an order that waited for its connection in a suspended process is sent.
#[tokio::test]
async fn a_request_that_expires_while_the_process_is_suspended_is_not_sent() {
    for (valid_ms, sent) in [(100, false), (5_000, true)] {
        let (addr, received) = listen(Duration::from_millis(600));
        let client = Client::new(200);
        let suspend = async { std::thread::sleep(Duration::from_millis(300)) };
        let (result, ()) = tokio::join!(client.send(order(&addr, valid_ms)), suspend);
        assert_eq!(matches!(result, Err(Error::Unsent(_))), !sent, "{result:?}");
        drop(client);
        assert_eq!(received.recv().unwrap().contains("{order}"), sent);
    }
}

#[tokio::test]
async fn a_request_whose_connection_is_refused_is_known_not_to_be_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    let result = Client::new(200).send(order(&addr, 5_000)).await;
    assert!(matches!(result, Err(Error::Unsent(_))), "{result:?}");
}

#[tokio::test]
async fn a_request_that_got_no_response_may_have_been_received() {
    let (addr, received) = listen(Duration::from_millis(300));
    let result = Client::new(200).send(order(&addr, 5_000)).await;
    assert_eq!(result, Err(Error::Late));
    assert!(received.recv().unwrap().contains("{order}"));
}
