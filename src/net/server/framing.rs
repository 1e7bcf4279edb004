//! Where one request ends and the next begins, and whether that can be read in one way only.
//!
//! hyper accepts a head with both `Content-Length` and `Transfer-Encoding` by dropping the one, before the service sees
//! it. Such a head may hide a second request in its body (request smuggling), so heads are inspected here, as bytes. The
//! end of each request is found here too, since nothing behind it may be read before it is answered.

use std::collections::VecDeque;

/// The most bytes of one header line that are inspected; framing headers are far shorter.
const MAX_HEADER_BYTES: usize = 256;

/// Whether the end of a request's body can be told from its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFraming {
    /// In one way only.
    Unambiguous,
    /// The head states a length that cannot be read, or two that may differ (RFC 9112, section 6.3).
    Ambiguous,
}

/// Where the next byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// In a head, or before one.
    #[default]
    Head,
    /// In a body of known length, of which this many bytes are still to come.
    Body(u64),
    /// In the line that gives a chunk's size.
    ChunkSize,
    /// In a chunk, its line end included, of which this many bytes are still to come.
    Chunk(u64),
    /// In the trailers behind the last chunk.
    Trailers,
    /// Past what can be followed: an ambiguous head, or a chunk whose size cannot be read. The connection closes with
    /// this request.
    Unfollowable,
}

/// What the current head says about framing so far.
#[derive(Clone, Default)]
struct HeadFields {
    /// Lines that were not blank, the request line included.
    lines: usize,
    content_length: Option<u64>,
    is_chunked: bool,
    is_invalid: bool,
}

impl HeadFields {
    /// Takes a line of the head; only the two fields that frame the body matter.
    fn add_line(&mut self, line: &[u8]) {
        self.lines += 1;
        let is_request_line = self.lines == 1;
        let Some(colon) = line.iter().position(|b| *b == b':').filter(|_| !is_request_line) else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.add_content_length(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.is_invalid |= self.is_chunked || !value.eq_ignore_ascii_case(b"chunked");
            self.is_chunked = true;
        }
    }

    /// A second length is invalid unless it is equal to the first.
    fn add_content_length(&mut self, value: &[u8]) {
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let length = std::str::from_utf8(value).ok().filter(|_| is_number).and_then(|v| v.parse().ok());
        let differs = self.content_length.is_some_and(|earlier| Some(earlier) != length);
        self.is_invalid |= length.is_none() || differs;
        self.content_length = length;
    }

    /// What the head says, once all of its lines are in.
    fn framing(&self) -> HeadFraming {
        if self.is_invalid || self.is_chunked && self.content_length.is_some() {
            HeadFraming::Ambiguous
        } else {
            HeadFraming::Unambiguous
        }
    }
}

/// Follows the heads and bodies that a client sends, byte by byte.
#[derive(Clone, Default)]
pub struct Framing {
    position: Position,
    /// The current line as far as it has come, up to [`MAX_HEADER_BYTES`].
    line: Vec<u8>,
    head: HeadFields,
    is_at_request_end: bool,
    /// One for each head that has been followed to its end and not yet taken by [`Framing::next_head`].
    heads: VecDeque<HeadFraming>,
}

impl Framing {
    /// Whether the next byte is the first of a request.
    pub fn is_between_requests(&self) -> bool {
        self.position == Position::Head
    }

    /// Whether the last byte taken was the last of a request.
    pub fn is_at_request_end(&self) -> bool {
        self.is_at_request_end
    }

    /// The framing of the next head to be handled; ambiguous where no head has been followed.
    pub fn next_head(&mut self) -> HeadFraming {
        self.heads.pop_front().unwrap_or(HeadFraming::Ambiguous)
    }

    /// How many bytes to come belong to the request that is arriving, whatever they contain.
    pub fn bytes_within_request(&self) -> u64 {
        match self.position {
            Position::Body(remaining) | Position::Chunk(remaining) => remaining,
            Position::Unfollowable => u64::MAX,
            Position::Head | Position::ChunkSize | Position::Trailers => 0,
        }
    }

    /// Follows bytes up to the end of the request they belong to; returns how many that were.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        self.is_at_request_end = false;
        while !rest.is_empty() && !self.is_at_request_end {
            let taken = match self.position {
                Position::Unfollowable => rest.len(),
                Position::Body(remaining) => self.take_body(remaining, rest.len()),
                Position::Chunk(remaining) => self.take_chunk(remaining, rest.len()),
                Position::Head | Position::ChunkSize | Position::Trailers => self.take_line(rest),
            };
            rest = &rest[taken..];
        }
        bytes.len() - rest.len()
    }

    /// Takes bytes of a body of known length; returns how many.
    fn take_body(&mut self, remaining: u64, available: usize) -> usize {
        let taken = remaining.min(available as u64);
        if taken == remaining {
            self.end_request();
        } else {
            self.position = Position::Body(remaining - taken);
        }
        taken as usize
    }

    /// Takes bytes of a chunk; returns how many.
    fn take_chunk(&mut self, remaining: u64, available: usize) -> usize {
        let taken = remaining.min(available as u64);
        self.position =
            if taken == remaining { Position::ChunkSize } else { Position::Chunk(remaining - taken) };
        taken as usize
    }

    /// Takes the rest of the current line, or as much of it as there is.
    fn take_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|b| *b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let capacity = MAX_HEADER_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(capacity)]);
        let Some(end) = end else { return bytes.len() };
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match self.position {
            Position::ChunkSize => self.end_chunk_size_line(line),
            Position::Trailers if line.is_empty() => self.end_request(),
            Position::Trailers => {}
            _ => self.end_head_line(line),
        }
        end + 1
    }

    fn end_head_line(&mut self, line: &[u8]) {
        if !line.is_empty() {
            self.head.add_line(line);
        } else if self.head.lines > 0 {
            // Blank lines ahead of a request are skipped, here as in hyper.
            self.end_head();
        }
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        let framing = head.framing();
        self.heads.push_back(framing);
        match head.content_length {
            _ if framing == HeadFraming::Ambiguous => self.position = Position::Unfollowable,
            _ if head.is_chunked => self.position = Position::ChunkSize,
            Some(length) if length > 0 => self.position = Position::Body(length),
            _ => self.end_request(),
        }
    }

    /// The line with a chunk's size in hexadecimal digits; extensions may follow the size.
    fn end_chunk_size_line(&mut self, line: &[u8]) {
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let size = std::str::from_utf8(digits).ok().filter(|_| is_number);
        self.position = match size.and_then(|digits| u64::from_str_radix(digits, 16).ok()) {
            Some(0) => Position::Trailers,
            // The chunk's line end belongs to it.
            Some(size) => size.checked_add(2).map_or(Position::Unfollowable, Position::Chunk),
            None => Position::Unfollowable,
        };
    }

    fn end_request(&mut self) {
        self.position = Position::Head;
        self.is_at_request_end = true;
    }
}

#[cfg(test)]
mod tests;
