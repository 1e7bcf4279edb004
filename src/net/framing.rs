//! HTTP/1.1 framing: finds the end of each message, detects ambiguous framing, and tells how long a chunk is.
//!
//! hyper accepts a head with both `Content-Length` and `Transfer-Encoding` and drops one of them before the
//! service sees the head. Such a head may hide a second request in its body (request smuggling), so this
//! module inspects the bytes of each head. It also finds the end of each request, since no byte after it may
//! be read before the response is complete.

use std::collections::VecDeque;

/// The number of bytes of one header line that are inspected; framing headers are far shorter.
pub const MAX_INSPECTED_LINE_BYTES: usize = 256;

/// Whether a request's head determines the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFraming {
    /// The head permits a single interpretation.
    Unambiguous,
    /// The head has an invalid length or transfer coding, or two that may conflict (RFC 9112, section 6.3).
    Ambiguous,
}

/// The state of the parser: the part of a request to which the next byte belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ParserState {
    /// A head, or blank lines before one.
    #[default]
    Head,
    /// A body of known length, with this many bytes remaining.
    Body(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// A chunk, including its line end, with this many bytes remaining.
    Chunk(u64),
    /// The trailers after the last chunk.
    Trailers,
    /// Bytes after an ambiguous head or an invalid chunk size. The connection closes after this request.
    Unparsable,
}

/// The framing fields of the current head, as far as it has been received.
#[derive(Clone, Default)]
struct FramingFields {
    /// The number of non-blank lines, including the request line.
    lines: usize,
    content_length: Option<u64>,
    is_chunked: bool,
    is_invalid: bool,
}

impl FramingFields {
    /// Processes a line of the head; all fields but the two that frame the body are ignored.
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

    /// Processes a `Content-Length` field. A second one is invalid unless it is equal to the first.
    fn add_content_length(&mut self, value: &[u8]) {
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let length = std::str::from_utf8(value).ok().filter(|_| is_number).and_then(|v| v.parse().ok());
        let conflicts = self.content_length.is_some_and(|earlier| Some(earlier) != length);
        self.is_invalid |= length.is_none() || conflicts;
        self.content_length = length;
    }

    /// The framing of the complete head.
    fn framing(&self) -> HeadFraming {
        if self.is_invalid || self.is_chunked && self.content_length.is_some() {
            HeadFraming::Ambiguous
        } else {
            HeadFraming::Unambiguous
        }
    }
}

/// An incremental parser of the framing of consecutive requests on one connection.
#[derive(Clone, Default)]
pub struct FramingParser {
    state: ParserState,
    /// The received part of the current line, up to [`MAX_INSPECTED_LINE_BYTES`].
    line: Vec<u8>,
    /// The length of that part, including what is not kept.
    line_length: usize,
    head: FramingFields,
    /// The declared length of the last chunk.
    chunk_length: u64,
    is_at_request_end: bool,
    /// The framing of each complete head that has not yet been taken by [`FramingParser::next_head`].
    heads: VecDeque<HeadFraming>,
}

impl FramingParser {
    /// Whether the next byte belongs to a head, or is the first of a request.
    pub fn is_in_head(&self) -> bool {
        self.state == ParserState::Head
    }

    /// Whether the last byte parsed was the last of a request.
    pub fn is_at_request_end(&self) -> bool {
        self.is_at_request_end
    }

    /// The framing of the next head to be handled; ambiguous if no complete head has been parsed.
    pub fn next_head(&mut self) -> HeadFraming {
        self.heads.pop_front().unwrap_or(HeadFraming::Ambiguous)
    }

    /// The length of the line with a chunk's size, as far as it has been received; 0 outside of such a line.
    pub fn chunk_size_line_length(&self) -> usize {
        if self.state == ParserState::ChunkSize { self.line_length } else { 0 }
    }

    /// Forgets the heads that have not been taken by [`next_head`](Self::next_head).
    pub fn discard_heads(&mut self) {
        self.heads.clear();
    }

    /// The number of further bytes that belong to the request being received, whatever their content.
    pub fn bytes_within_request(&self) -> u64 {
        match self.state {
            ParserState::Body(remaining) | ParserState::Chunk(remaining) => remaining,
            ParserState::Unparsable => u64::MAX,
            ParserState::Head | ParserState::ChunkSize | ParserState::Trailers => 0,
        }
    }

    /// The length that was declared for the last chunk, without its line end; 0 if there was none.
    pub fn chunk_length(&self) -> u64 {
        self.chunk_length
    }

    /// Parses bytes up to the end of the request that they belong to. Returns the number of bytes parsed.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        self.is_at_request_end = false;
        while !rest.is_empty() && !self.is_at_request_end {
            let parsed = match self.state {
                ParserState::Unparsable => rest.len(),
                ParserState::Body(remaining) => self.parse_body(remaining, rest.len()),
                ParserState::Chunk(remaining) => self.parse_chunk(remaining, rest.len()),
                ParserState::Head | ParserState::ChunkSize | ParserState::Trailers => self.parse_line(rest),
            };
            rest = &rest[parsed..];
        }
        bytes.len() - rest.len()
    }

    /// Parses bytes of a body of known length. Returns their number.
    fn parse_body(&mut self, remaining: u64, available: usize) -> usize {
        let parsed = remaining.min(available as u64);
        if parsed == remaining {
            self.end_request();
        } else {
            self.state = ParserState::Body(remaining - parsed);
        }
        parsed as usize
    }

    /// Parses bytes of a chunk. Returns their number.
    fn parse_chunk(&mut self, remaining: u64, available: usize) -> usize {
        let parsed = remaining.min(available as u64);
        self.state =
            if parsed == remaining { ParserState::ChunkSize } else { ParserState::Chunk(remaining - parsed) };
        parsed as usize
    }

    /// Parses the rest of the current line, as far as it is available. Returns the number of bytes parsed.
    fn parse_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|b| *b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        self.line_length += part.len();
        let capacity = MAX_INSPECTED_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(capacity)]);
        let Some(end) = end else { return bytes.len() };
        self.line_length = 0;
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match self.state {
            ParserState::ChunkSize => self.end_chunk_size_line(line),
            ParserState::Trailers if line.is_empty() => self.end_request(),
            ParserState::Trailers => {}
            _ => self.end_head_line(line),
        }
        end + 1
    }

    fn end_head_line(&mut self, line: &[u8]) {
        if !line.is_empty() {
            self.head.add_line(line);
        } else if self.head.lines > 0 {
            // Like hyper, blank lines before a request are skipped.
            self.end_head();
        }
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        let framing = head.framing();
        self.heads.push_back(framing);
        match head.content_length {
            _ if framing == HeadFraming::Ambiguous => self.state = ParserState::Unparsable,
            _ if head.is_chunked => self.state = ParserState::ChunkSize,
            Some(length) if length > 0 => self.state = ParserState::Body(length),
            _ => self.end_request(),
        }
    }

    /// Processes the line with a chunk's size in hexadecimal digits, which extensions may follow.
    fn end_chunk_size_line(&mut self, line: &[u8]) {
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let size = std::str::from_utf8(digits).ok().filter(|_| is_number);
        let size = size.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        self.chunk_length = size.unwrap_or_default();
        self.state = match size {
            Some(0) => ParserState::Trailers,
            // The two bytes are the line end of the chunk.
            Some(size) => size.checked_add(2).map_or(ParserState::Unparsable, ParserState::Chunk),
            None => ParserState::Unparsable,
        };
    }

    fn end_request(&mut self) {
        self.state = ParserState::Head;
        self.is_at_request_end = true;
    }
}

#[cfg(test)]
mod tests;
