//! A small HTTP/1.1 server and client side, one thread for each connection.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or the head of a response; names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read of it and not used.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()));
        Ok(Some(Message { first_line, headers: headers.collect(), body: Vec::new() }))
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut req) = self.read_head()? else {
            return Ok(None);
        };
        let len = req.header("content-length").parse().unwrap_or(0);
        req.body = self.read_exact(len)?;
        Ok(Some(req))
    }

    pub fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a chunk of a chunked body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let at = loop {
            if let Some(at) = self.buf.windows(2).position(|two| two == b"\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line: Vec<u8> = self.buf.drain(..at + 2).collect();
        let size = String::from_utf8_lossy(&line[..at]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = self.read_exact(size + 2)?;
        chunk.truncate(size);
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the body of a response to its end.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").contains("chunked") {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        let len = head.header("content-length").parse();
        self.read_exact(len.map_err(|_| io::ErrorKind::InvalidData)?)
    }

    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let mut bits = 0_u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(three.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= three.len() { digit as char } else { '=' });
        }
    }
    out
}

/// Sends a request without a body; returns the status.
pub fn get(addr: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut conn = Connection::new(stream);
    let req = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    conn.stream.write_all(req.as_bytes()).ok()?;
    Some(conn.read_head().ok()??.status())
}
