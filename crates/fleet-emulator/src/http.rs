//! The subset of HTTP/1.1 that the emulator needs: message heads, bodies with a `content-length` and chunked
//! bodies.

use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt};

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The minimum free space of the buffer before a read from the connection.
const READ_BYTES: usize = 16 * 1024;

/// The result of parsing a head: the head and its length in bytes, or `None` if it is incomplete.
pub type ParsedHead = io::Result<Option<(Head, usize)>>;

/// The head of a request or a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The method of a request; empty in a response.
    pub method: String,
    /// The request target; empty in a response.
    pub target: String,
    /// The status of a response; 0 in a request.
    pub status: u16,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header with a name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The value of the `content-length` header; 0 if it is missing or invalid.
    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Whether the body has the chunked transfer coding, and no other coding.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Parses the head of a request.
///
/// # Errors
/// Returns an error if the bytes are not the start of a valid request.
pub fn parse_request(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes).map_err(invalid_data)? else {
        return Ok(None);
    };
    let method = request.method.unwrap_or_default().to_owned();
    let target = request.path.unwrap_or_default().to_owned();
    Ok(Some((Head { method, target, status: 0, headers: to_owned_headers(request.headers) }, length)))
}

/// Parses the head of a response.
///
/// # Errors
/// Returns an error if the bytes are not the start of a valid response.
pub fn parse_response(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = response.parse(bytes).map_err(invalid_data)? else {
        return Ok(None);
    };
    let status = response.code.unwrap_or_default();
    Ok(Some((Head { status, headers: to_owned_headers(response.headers), ..Head::default() }, length)))
}

fn to_owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    headers.iter().map(|header| (header.name.to_owned(), text(header.value))).collect()
}

fn invalid_data(error: httparse::Error) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error)
}

/// The further use of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The connection may carry another request.
    Reuse,
    /// The connection carries no further request and is closed.
    Close,
}

/// A buffered reader of HTTP messages.
#[derive(Debug)]
pub struct MessageReader<R> {
    input: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader with an empty buffer.
    pub fn new(input: R) -> Self {
        MessageReader { input, buffer: Vec::new() }
    }

    /// Whether no byte beyond the messages read so far is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads more bytes into the buffer, and returns `false` at the end of the input. Cancel-safe.
    ///
    /// # Errors
    /// Returns an error if the connection broke.
    pub async fn fill(&mut self) -> io::Result<bool> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.input.read_buf(&mut self.buffer).await? > 0)
    }

    /// Reads the head of a request; `None` if the input ends first.
    ///
    /// # Errors
    /// Returns an error if the connection broke, or the head is malformed.
    pub async fn read_request(&mut self) -> io::Result<Option<Head>> {
        self.read_head(parse_request).await
    }

    /// Reads the head of a response; `None` if the input ends first.
    ///
    /// # Errors
    /// Returns an error if the connection broke, or the head is malformed.
    pub async fn read_response(&mut self) -> io::Result<Option<Head>> {
        self.read_head(parse_response).await
    }

    async fn read_head(&mut self, parse: fn(&[u8]) -> ParsedHead) -> io::Result<Option<Head>> {
        loop {
            if let Some((head, length)) = parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(Some(head));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::Error::new(
                    ErrorKind::InvalidData,
                    format!("message head exceeds {MAX_HEAD_BYTES} bytes"),
                ));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads a body of a given length in bytes.
    ///
    /// # Errors
    /// Returns an error if the connection broke, or it ended before the end of the body.
    pub async fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one chunk of a body. An empty chunk is the last one of the body.
    ///
    /// # Errors
    /// Returns an error if the connection broke, or the chunk is malformed.
    pub async fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let httparse::Status::Complete((start, size)) =
                httparse::parse_chunk_size(&self.buffer).map_err(|_| ErrorKind::InvalidData)?
            {
                self.buffer.drain(..start);
                // A CRLF follows the data of each chunk.
                let mut chunk = self.read_body(size as usize + 2).await?;
                chunk.truncate(size as usize);
                return Ok(chunk);
            }
            if !self.fill().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Encodes a chunk of a chunked body.
pub fn encode_chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}
