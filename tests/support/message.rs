//! HTTP/1.1 messages as received by a peer or a client.

use std::io::BufRead;

/// A request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// All header fields in their order of arrival, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

impl Message {
    /// The value of the first header field with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The status code of a response, or 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Reads a message. Returns `None` if the connection ends before the head is complete.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(reader)?;
        if message.header("transfer-encoding").is_some() {
            message.read_chunks(reader);
        } else {
            let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            message.body.resize(length, 0);
            message.is_complete = reader.read_exact(&mut message.body).is_ok();
        }
        Some(message)
    }

    fn read_head(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message { start_line: read_line(reader)?, ..Message::default() };
        while let Some((name, value)) = read_line(reader)?.split_once(':') {
            message.headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        Some(message)
    }

    fn read_chunks(&mut self, reader: &mut impl BufRead) {
        while let Some(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                self.is_complete = true;
                break;
            }
            self.body.extend(&chunk);
        }
    }
}

/// Reads a line and returns it without its line end, or `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    Some(line.trim_end().to_owned())
}

/// Reads a chunk and returns its data, which is empty for the last chunk, or `None` if the connection ends
/// before.
fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    const LINE_END: usize = "\r\n".len();
    let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
    let mut chunk = vec![0; size + LINE_END];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}
