//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response: its first line, its fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field, whatever the case of its name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut parts = self.first_line.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not read yet.
pub struct Wire {
    pub stream: TcpStream,
    received: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            received: Vec::new(),
        }
    }

    pub fn set_read_timeout(&self, limit: Duration) {
        let _ = self
            .stream
            .set_read_timeout(Some(limit.max(Duration::from_millis(1))));
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let read = self.stream.read(&mut bytes)?;
        self.received.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Reads one message. A body without a length ends with the connection if `ends_at_close` says
    /// so, and is empty otherwise.
    pub fn read(&mut self, ends_at_close: bool) -> io::Result<Message> {
        let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let end = loop {
            if let Some(end) = self
                .received
                .windows(4)
                .position(|four| four == b"\r\n\r\n")
            {
                break end;
            }
            if self.fill()? == 0 {
                return Err(ended());
            }
        };
        let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
        self.received.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .fields
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let length = message
            .field("content-length")
            .and_then(|length| length.parse::<usize>().ok());
        let is_chunked = message.field("transfer-encoding").is_some();
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(length) = length {
            while self.received.len() < length {
                if self.fill()? == 0 {
                    return Err(ended());
                }
            }
            message.body = self.received.drain(..length).collect();
        } else if ends_at_close {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.received);
        }
        Ok(message)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.received.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.received[..end]).into_owned();
                self.received.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            while self.received.len() < size + 2 {
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend(self.received.drain(..size));
            self.received.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes a response with a length.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n",
        body.len()
    )
    .into_bytes();
    for (name, value) in fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}
