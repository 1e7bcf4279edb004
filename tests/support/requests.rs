//! Requests as clients send them.

/// A chat completion request: 100 prompt tokens, at most 50 output tokens, and a deadline after 8 seconds.
pub fn request(id: &str, class: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions?x=1 HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-class: {class}\r\n\
         x-deadline: 8000m\r\nx-key: s-{id}\r\nx-extras: prompt_len=100,max_out=50\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// A JSON-RPC message, in a request to the frontend for tool calls.
pub fn rpc_request(body: &str) -> String {
    format!("POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}
