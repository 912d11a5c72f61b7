//! Minimal HTTP/1.1 parser of the stand-ins: heads are parsed by httparse, and bodies need a `Content-Length`.

/// Complete message at the front of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Path of a request; empty for a response.
    pub path: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Names and values of the headers, in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Length of the whole message in bytes.
    pub length: usize,
}

impl Message {
    /// Value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name)).map(|header| &*header.1)
    }
}

/// Parses the request at the front of `input`; `None` while it is incomplete.
///
/// # Errors
/// If the head or the content length is invalid.
pub fn parse_request(input: &[u8]) -> Result<Option<Message>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(input).map_err(|_| "bad head")? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(head_length) => {
            let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
            with_body(input, head_length, head.headers, method, path, 0)
        }
    }
}

/// Parses the response at the front of `input`, in the same way as [`parse_request`].
pub fn parse_response(input: &[u8]) -> Result<Option<Message>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(input).map_err(|_| "bad head")? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(head_length) => {
            let status = head.code.unwrap_or_default();
            with_body(input, head_length, head.headers, "", "", status)
        }
    }
}

/// Completes a message with its body, once `input` holds all of it; the head ends at `head_length`.
fn with_body(
    input: &[u8],
    head_length: usize,
    headers: &[httparse::Header],
    method: &str,
    path: &str,
    status: u16,
) -> Result<Option<Message>, &'static str> {
    let headers: Vec<(String, String)> = (headers.iter())
        .map(|header| (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned()))
        .collect();
    let content_length = headers.iter().find(|header| header.0.eq_ignore_ascii_case("content-length"));
    let length: usize = content_length
        .map_or(Ok(0), |content_length| content_length.1.trim().parse())
        .map_err(|_| "bad length")?;
    let Some(end) = head_length.checked_add(length) else { return Err("bad length") };
    Ok((input.len() >= end).then(|| Message {
        method: method.to_string(),
        path: path.to_string(),
        status,
        headers,
        body: input[head_length..end].to_vec(),
        length: end,
    }))
}

/// An RPC's id as clients write it.
pub fn txn_text(txn: u64) -> String {
    format!("{txn:016x}")
}
