//! HTTP messages as a peer receives them.

use std::io::BufRead;

/// An HTTP message.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// All header fields in their order, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// As much of the body as came.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Message {
    /// The first header field of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; `None` if the connection ends before its head is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        if message.header("transfer-encoding").is_some() {
            message.read_chunks(from);
        } else {
            let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            message.body.resize(length, 0);
            message.whole = from.read_exact(&mut message.body).is_ok();
        }
        Some(message)
    }

    fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message { line: read_line(from)?, ..Message::default() };
        while let Some((name, value)) = read_line(from)?.split_once(':') {
            message.headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        Some(message)
    }

    fn read_chunks(&mut self, from: &mut impl BufRead) {
        while let Some(chunk) = read_chunk(from) {
            if chunk.is_empty() {
                self.whole = true;
                break;
            }
            self.body.extend(&chunk);
        }
    }
}

/// A line without its end; `None` when the connection ends instead.
fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|length| *length > 0)?;
    Some(line.trim_end().to_owned())
}

/// The data of a chunk, empty for the last one; `None` when the connection ends instead.
fn read_chunk(from: &mut impl BufRead) -> Option<Vec<u8>> {
    const LINE_END: usize = "\r\n".len();
    let size = usize::from_str_radix(read_line(from)?.trim(), 16).ok()?;
    let mut chunk = vec![0; size + LINE_END];
    from.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}
