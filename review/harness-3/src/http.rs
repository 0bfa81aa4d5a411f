//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and one call.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        let found = self.query.iter().find(|(k, _)| k == key);
        found.map(|(_, v)| v.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
}

pub type Response = (u16, Vec<u8>);
/// Answers a request; none closes the connection without a response.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// Serves on a free loopback port; returns the address.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let build = std::thread::Builder::new().stack_size(256 * 1024);
            let _ = build.spawn(move || connection(stream, &handler));
        }
    });
    addr
}

fn connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::with_capacity(64 * 1024, stream);
    while let Some(request) = read_request(&mut input) {
        let Some((status, body)) = handler(&request) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut whole = head.into_bytes();
        whole.extend(&body);
        if out.write_all(&whole).is_err() {
            return;
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(input: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn length(headers: &[(String, String)]) -> Option<usize> {
    let found = headers
        .iter()
        .find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, v)| v.parse().ok())
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_headers(input)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), decode(v))).collect();
    let mut body = vec![0; length(&headers).unwrap_or(0)];
    input.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

/// Sends a request on a new connection, and reads the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Response, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&addr, limit).map_err(text)?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ));
    let mut whole = head.into_bytes();
    whole.extend(body);
    stream.write_all(&whole).map_err(text)?;
    let mut input = BufReader::new(stream);
    let (first, headers) = read_headers(&mut input).ok_or("no response")?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .ok_or("no status")?;
    let mut body = vec![0; length(&headers).unwrap_or(0)];
    input.read_exact(&mut body).map_err(text)?;
    Ok((status, body))
}
