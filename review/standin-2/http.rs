//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
    time::{SystemTime, UNIX_EPOCH},
};

/// Returns the time of day in milliseconds. All processes of a script share its clock.
pub fn now_ms() -> f64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.unwrap_or_default().as_secs_f64() * 1e3
}

/// A message: its first line, its headers with names in lowercase, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        let value = self.header("connection").unwrap_or_default();
        value.eq_ignore_ascii_case("close")
    }
}

/// Reads a head. Returns none at the end of the connection.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a message with its body, which has a length, comes in chunks or is empty.
pub fn read_message(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        while let Some(mut chunk) = read_chunk(from)? {
            message.body.append(&mut chunk);
        }
    }
    Ok(Some(message))
}

/// Reads a chunk of a body. Returns none after the last one.
pub fn read_chunk(from: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size + 2];
    from.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok((size > 0).then_some(bytes))
}
