//! A blocking HTTP/1.1 server and client for stand-ins.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let named = |(found, _): &&(String, String)| found.eq_ignore_ascii_case(name);
        self.fields.iter().find(named).map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn fill(&mut self) -> Option<()> {
        let mut buffer = [0; 16384];
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => None,
            Ok(length) => {
                self.ahead.extend_from_slice(&buffer[..length]);
                Some(())
            }
        }
    }

    /// Reads a whole message with a length. `None` if the connection ends or times out before.
    pub fn read(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next()?.to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
        let mut message = Message { first_line, fields, body: Vec::new() };
        let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.ahead.len() < length {
            self.fill()?;
        }
        message.body = self.ahead.drain(..length).collect();
        Some(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Answer\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves a listener on threads of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(request) = connection.read() {
                    if !connection.write(&handler(&request)) {
                        return;
                    }
                }
            });
        }
    });
}

/// Opens a listener on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}
