//! The little HTTP/1.1 that stand-ins read: heads through httparse, bodies of a told length.

/// A whole message at the front of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line's words: method and path of a request, the status of an answer.
    pub method: String,
    /// The path of a request.
    pub path: String,
    /// The status of an answer.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Bytes that it takes.
    pub length: usize,
}

impl Message {
    /// A header's value, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name)).map(|header| &*header.1)
    }
}

/// The request at the front of `input`: nothing while it is not whole, an error if it makes no sense.
pub fn parse_request(input: &[u8]) -> Result<Option<Message>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(input).map_err(|_| "bad head")? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(at) => {
            let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
            whole(input, at, head.headers, method, path, 0)
        }
    }
}

/// The answer at the front of `input`, likewise.
pub fn parse_response(input: &[u8]) -> Result<Option<Message>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(input).map_err(|_| "bad head")? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(at) => {
            let status = head.code.unwrap_or_default();
            whole(input, at, head.headers, "", "", status)
        }
    }
}

fn whole(
    input: &[u8],
    at: usize,
    headers: &[httparse::Header],
    method: &str,
    path: &str,
    status: u16,
) -> Result<Option<Message>, &'static str> {
    let headers: Vec<(String, String)> = (headers.iter())
        .map(|header| (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned()))
        .collect();
    let told = headers.iter().find(|header| header.0.eq_ignore_ascii_case("content-length"));
    let length: usize = told.map_or(Ok(0), |told| told.1.trim().parse()).map_err(|_| "bad length")?;
    let Some(end) = at.checked_add(length) else { return Err("bad length") };
    Ok((input.len() >= end).then(|| Message {
        method: method.to_string(),
        path: path.to_string(),
        status,
        headers,
        body: input[at..end].to_vec(),
        length: end,
    }))
}
