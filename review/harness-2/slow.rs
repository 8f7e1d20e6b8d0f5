//! Callers that read slowly. They are set up like callers on an ordinary network: segments of
//! an Ethernet's size, and a small receive buffer. On loopback the kernel would otherwise take
//! megabytes of an answer from the process at once.

use super::http::Connection;
use std::{
    io::{self, Write as _},
    net::{IpAddr, SocketAddr, TcpStream},
    os::fd::FromRawFd as _,
    thread,
    time::{Duration, Instant},
};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Segment size of an Ethernet, in bytes.
const SEGMENT_BYTES: i32 = 1_448;
const RECEIVE_BUFFER_BYTES: i32 = 16 * 1024;

#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: [u8; 2],
    addr: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockaddrIn, len: u32) -> i32;
}

fn open(to: SocketAddr) -> io::Result<TcpStream> {
    let IpAddr::V4(ip) = to.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let addr = SockaddrIn {
        family: 2,
        port: to.port().to_be_bytes(),
        addr: ip.octets(),
        zero: [0; 8],
    };
    // The descriptor is owned by the stream from its creation on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, 4);
        if connect(fd, &addr, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends a request and reads its answer at a rate, for `patience` at most; returns the status
/// and how much of the body was read.
pub fn call(to: SocketAddr, request: &str, bytes_per_s: usize, patience: Duration) -> io::Result<(u16, usize, usize)> {
    let mut conn = Connection::new(open(to)?);
    conn.stream.write_all(request.as_bytes())?;
    conn.stream.set_read_timeout(Some(patience))?;
    let sent = Instant::now();
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let expected = head.header("content-length").parse().unwrap_or(0);
    let mut received = 0;
    while received < expected && sent.elapsed() < patience {
        let len = 4_096.min(expected - received);
        conn.read_exact(len)?;
        received += len;
        let due = Duration::from_secs_f64(received as f64 / bytes_per_s as f64);
        thread::sleep(due.saturating_sub(sent.elapsed()).min(patience));
    }
    Ok((head.status(), received, expected))
}
