//! As much HTTP/1.1 as the stand-ins need: heads, bodies of known length, and chunked answers.

use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt};

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 16 * 1024;

/// What a parser finds: a head and its length in bytes, or that it is not whole yet.
pub type Parsed = io::Result<Option<(Head, usize)>>;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The method of a request; empty in an answer.
    pub method: String,
    /// The path and query of a request; empty in an answer.
    pub target: String,
    /// The status of an answer; 0 in a request.
    pub status: u16,
    headers: Vec<(String, String)>,
}

impl Head {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The stated length of the body; 0 where none is stated.
    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Whether the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Parses the head of a request; `None` until it is whole.
///
/// # Errors
/// It is no head.
pub fn parse_request(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes).map_err(invalid)? else { return Ok(None) };
    let method = request.method.unwrap_or_default().to_owned();
    let target = request.path.unwrap_or_default().to_owned();
    Ok(Some((Head { method, target, status: 0, headers: owned(request.headers) }, length)))
}

/// Parses the head of an answer; `None` until it is whole.
///
/// # Errors
/// It is no head.
pub fn parse_response(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = response.parse(bytes).map_err(invalid)? else { return Ok(None) };
    let status = response.code.unwrap_or_default();
    Ok(Some((Head { status, headers: owned(response.headers), ..Head::default() }, length)))
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    headers.iter().map(|header| (header.name.to_owned(), text(header.value))).collect()
}

fn invalid(error: httparse::Error) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error)
}

/// Reads messages from a connection.
#[derive(Debug)]
pub struct Reader<R> {
    input: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reader of a connection from which nothing has been read.
    pub fn new(input: R) -> Self {
        Reader { input, buffer: Vec::new() }
    }

    /// Whether nothing of a next message has been read.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads more; false at the end of the input.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn fill(&mut self) -> io::Result<bool> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.input.read_buf(&mut self.buffer).await? > 0)
    }

    /// Reads the head of a request; `None` where the input ends before it.
    ///
    /// # Errors
    /// The connection broke, or what came is no head.
    pub async fn request(&mut self) -> io::Result<Option<Head>> {
        self.head(parse_request).await
    }

    /// Reads the head of an answer; `None` where the input ends before it.
    ///
    /// # Errors
    /// The connection broke, or what came is no head.
    pub async fn response(&mut self) -> io::Result<Option<Head>> {
        self.head(parse_response).await
    }

    async fn head(&mut self, parse: fn(&[u8]) -> Parsed) -> io::Result<Option<Head>> {
        loop {
            if let Some((head, length)) = parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(Some(head));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::Error::new(ErrorKind::InvalidData, "a head without end"));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads a body of known length.
    ///
    /// # Errors
    /// The connection broke or ended before the body did.
    pub async fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one chunk; an empty one is the last.
    ///
    /// # Errors
    /// The connection broke, or what came is no chunk.
    pub async fn chunk(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let httparse::Status::Complete((start, size)) =
                httparse::parse_chunk_size(&self.buffer).map_err(|_| ErrorKind::InvalidData)?
            {
                self.buffer.drain(..start);
                let mut chunk = self.body(size as usize + 2).await?;
                chunk.truncate(size as usize);
                return Ok(chunk);
            }
            if !self.fill().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Writes a chunk of a body.
pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}
