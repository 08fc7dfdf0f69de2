//! HTTP/1.1 on blocking sockets, as much of it as the stand-ins need.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The three parts of the first line.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_owned())
}

/// Reads a message; `None` if the other end closed before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>, is_answer: bool) -> Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.trim_end().splitn(3, ' ');
    for part in &mut message.first {
        *part = parts.next().unwrap_or_default().to_owned();
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head ended early"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("not a header"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(broken("a chunked body ended early"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    match message.header("content-length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Some(Err(_)) => return Err(broken("content-length")),
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(Some(message))
}

/// Puts a request or an answer with a body of known length together.
pub fn compose(out: &mut Vec<u8>, first: &str, headers: &[(&str, String)], body: &[u8]) {
    out.extend(format!("{first}\r\n").as_bytes());
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend(body);
}

/// Writes a request or an answer.
pub fn write(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<()> {
    let mut out = Vec::new();
    compose(&mut out, first, headers, body);
    stream.write_all(&out)
}

/// One request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Result<Message> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut all: Vec<(&str, String)> = headers.to_vec();
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        all.push(("Host", address.to_string()));
    }
    write(&mut stream, &format!("{method} {path} HTTP/1.1"), &all, body)?;
    let mut reader = BufReader::new(stream);
    read(&mut reader, true)?.ok_or_else(|| broken("closed without an answer"))
}
