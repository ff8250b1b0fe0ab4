//! A client, and the operator.

use crate::http::{self, Message};
use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Sends one request on a new connection. Returns the response, or why there is none.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Result<Message, String> {
    let failed = |error: std::io::Error| error.to_string();
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(failed)?;
    send(&stream, request, limit)
}

/// Sends one request on a connection.
pub fn send(stream: &TcpStream, request: &[u8], limit: Duration) -> Result<Message, String> {
    let failed = |error: std::io::Error| error.to_string();
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).map_err(failed)?;
    (&mut &*stream).write_all(request).map_err(failed)?;
    let mut from = BufReader::new(stream.try_clone().map_err(failed)?);
    match http::read_message(&mut from) {
        Ok(Some(response)) => Ok(response),
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Builds a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends an order of the operator to one node after the other until it is acknowledged.
/// Redirects are followed.
pub fn order(nodes: &[SocketAddr], method: &str, path: &str, body: &[u8]) -> bool {
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    let request = request(method, path, &headers, body);
    for attempt in 0..60 {
        let mut node = nodes[attempt % nodes.len()];
        for _ in 0..3 {
            let Ok(response) = call(node, &request, Duration::from_secs(1)) else {
                break;
            };
            if response.status() == 200 {
                return true;
            }
            let location = response.header("location").unwrap_or_default();
            let host = location.trim_start_matches("http://").split('/').next();
            match host.and_then(|host| host.parse().ok()) {
                Some(next) if response.status() == 307 => node = next,
                _ => break,
            }
        }
        std::thread::sleep(Duration::from_millis(100 + 20 * attempt as u64));
    }
    false
}
