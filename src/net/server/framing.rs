//! Where one request ends and the next begins, and whether that can be read in one way only.
//!
//! hyper settles a head with both `Content-Length` and `Transfer-Encoding` by dropping the one, and before the service
//! can see it. Such a head may hide a second request in its body, so heads are looked at here, as bytes. The end of each
//! request is found here too, since nothing behind it may be read before it is answered.

use std::collections::VecDeque;

/// Bytes of one header line that are looked at; framing headers are far shorter.
const MAX_HEADER_BYTES: usize = 256;

/// Where the next byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// In a head.
    #[default]
    Head,
    /// In a body of known length, with so many bytes to come.
    Body(u64),
    /// In the line that tells a chunk's size.
    ChunkSize,
    /// In a chunk, its line end included, with so many bytes to come.
    Chunk(u64),
    /// In the lines behind the last chunk.
    Trailers,
    /// Past what can be followed: a head that is refused, or a chunk whose size can't be read. The connection ends
    /// with this request.
    Lost,
}

/// Follows the heads and bodies that a client sends.
#[derive(Clone, Default)]
pub struct Framing {
    position: Position,
    line: Vec<u8>,
    /// Lines of the current head that weren't blank.
    lines: usize,
    content_length: Option<u64>,
    is_chunked: bool,
    is_bad: bool,
    /// Whether the last byte taken was the last of a request.
    at_end: bool,
    /// One for each head that has passed: whether it is sound.
    verdicts: VecDeque<bool>,
}

impl Framing {
    /// Whether the next byte is the first of a request.
    pub fn is_between_requests(&self) -> bool {
        self.position == Position::Head
    }

    /// Whether the last byte taken was the last of a request.
    pub fn is_at_end(&self) -> bool {
        self.at_end
    }

    /// Whether the next head to be handed out is sound; false where there is none.
    pub fn next_verdict(&mut self) -> bool {
        self.verdicts.pop_front().unwrap_or(false)
    }

    /// Bytes that belong to the request that is arriving, whatever they are.
    pub fn certain_bytes(&self) -> u64 {
        match self.position {
            Position::Body(left) | Position::Chunk(left) => left,
            Position::Lost => u64::MAX,
            Position::Head | Position::ChunkSize | Position::Trailers => 0,
        }
    }

    /// Takes bytes up to the end of the request they belong to; how many that were.
    pub fn take(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        self.at_end = false;
        while !rest.is_empty() && !self.at_end {
            let taken = match self.position {
                Position::Lost => rest.len(),
                Position::Body(left) => self.take_body(left, rest.len()),
                Position::Chunk(left) => self.take_chunk(left, rest.len()),
                Position::Head | Position::ChunkSize | Position::Trailers => self.take_line(rest),
            };
            rest = &rest[taken..];
        }
        bytes.len() - rest.len()
    }

    fn take_body(&mut self, left: u64, available: usize) -> usize {
        let taken = left.min(available as u64);
        if taken == left {
            self.request_ended();
        } else {
            self.position = Position::Body(left - taken);
        }
        taken as usize
    }

    fn take_chunk(&mut self, left: u64, available: usize) -> usize {
        let taken = left.min(available as u64);
        self.position = if taken == left { Position::ChunkSize } else { Position::Chunk(left - taken) };
        taken as usize
    }

    /// Takes the rest of the current line, or what there is of it.
    fn take_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|b| *b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let room = MAX_HEADER_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        let Some(end) = end else { return bytes.len() };
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match self.position {
            Position::ChunkSize => self.chunk_size(line),
            Position::Trailers if line.is_empty() => self.request_ended(),
            Position::Trailers => {}
            _ => self.head_line(line),
        }
        end + 1
    }

    fn head_line(&mut self, line: &[u8]) {
        if line.is_empty() {
            // Blank lines ahead of a request are skipped, here as in hyper.
            if self.lines > 0 {
                self.head_ended();
            }
            return;
        }
        self.lines += 1;
        let Some(colon) = line.iter().position(|b| *b == b':').filter(|_| self.lines > 1) else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(value).ok().filter(|_| is_number).and_then(|v| v.parse().ok());
            let differs = self.content_length.is_some_and(|earlier| Some(earlier) != length);
            self.is_bad |= length.is_none() || differs;
            self.content_length = length;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.is_bad |= self.is_chunked || !value.eq_ignore_ascii_case(b"chunked");
            self.is_chunked = true;
        }
    }

    fn head_ended(&mut self) {
        let is_sound = !(self.is_bad || self.is_chunked && self.content_length.is_some());
        let (is_chunked, content_length) = (self.is_chunked, self.content_length);
        self.verdicts.push_back(is_sound);
        (self.lines, self.content_length, self.is_chunked, self.is_bad) = (0, None, false, false);
        match content_length {
            _ if !is_sound => self.position = Position::Lost,
            _ if is_chunked => self.position = Position::ChunkSize,
            Some(length) if length > 0 => self.position = Position::Body(length),
            _ => self.request_ended(),
        }
    }

    /// A chunk's size, in hexadecimal digits; extensions may follow it.
    fn chunk_size(&mut self, line: &[u8]) {
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let size = std::str::from_utf8(digits).ok().filter(|_| is_number);
        self.position = match size.and_then(|digits| u64::from_str_radix(digits, 16).ok()) {
            Some(0) => Position::Trailers,
            // Its line end belongs to it.
            Some(size) => size.checked_add(2).map_or(Position::Lost, Position::Chunk),
            None => Position::Lost,
        };
    }

    fn request_ended(&mut self) {
        self.position = Position::Head;
        self.at_end = true;
    }
}

#[cfg(test)]
mod tests;
