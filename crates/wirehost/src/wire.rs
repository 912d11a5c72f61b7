//! Reads and writes the frames of the simulator's wire format: big-endian, without padding, decoded in place.

use martenramp::host::{Host, Nanos};
use std::io::{ErrorKind, Read};

/// A field runs past the end of its record or frame; holds its byte offset in the frame.
#[derive(Debug)]
pub struct OutOfBounds(pub usize);

/// Converts the wire's seconds to nanoseconds, rounded to the wire's whole microseconds.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e6).round().max(0.0) as Nanos * 1000
}

fn seconds(span: Nanos) -> f64 {
    (span / 1000) as f64 / 1e6
}

const HEADER_LEN: usize = 20;

/// Reads one whole frame; returns false if the input ends before a new frame.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.resize(HEADER_LEN, 0);
    let mut filled = 0;
    while filled < HEADER_LEN {
        match input.read(&mut frame[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err(format!("byte {filled}: the input ended inside a frame header")),
            Ok(n) => filled += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    let length = u32::from_be_bytes([frame[8], frame[9], frame[10], frame[11]]) as usize;
    if length < HEADER_LEN {
        return Err(format!("byte 8: frame length {length} is shorter than the header"));
    }
    let received = input.take((length - HEADER_LEN) as u64).read_to_end(frame).map_err(|e| e.to_string())?;
    if received < length - HEADER_LEN {
        return Err(format!(
            "byte {}: the input ended before the {length} bytes of the frame",
            HEADER_LEN + received
        ));
    }
    Ok(true)
}

/// A cursor over the fields of a frame or of one of its records.
pub struct Fields<'a> {
    frame: &'a [u8],
    position: usize,
    end: usize,
}

impl<'a> Fields<'a> {
    pub fn new(frame: &'a [u8]) -> Self {
        Fields { frame, position: 0, end: frame.len() }
    }

    /// Reads the sequence number of the batch and the number of its records; the next field is the clock.
    pub fn read_header(&mut self) -> Result<(u32, u32), OutOfBounds> {
        let header = (self.u32()?, self.u32()?);
        self.u32()?;
        Ok(header)
    }

    /// Reads the code of the next record and returns a cursor over its fields.
    pub fn record(&mut self) -> Result<(u8, Fields<'a>), OutOfBounds> {
        let code = self.u8()?;
        let length = self.u32()? as usize;
        let start = self.position;
        self.bytes(length)?;
        Ok((code, Fields { frame: self.frame, position: start, end: self.position }))
    }

    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8], OutOfBounds> {
        let end = self
            .position
            .checked_add(length)
            .filter(|end| *end <= self.end)
            .ok_or(OutOfBounds(self.position))?;
        let bytes = &self.frame[self.position..end];
        self.position = end;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], OutOfBounds> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Result<u8, OutOfBounds> {
        self.array::<1>().map(|bytes| bytes[0])
    }

    pub fn u16(&mut self) -> Result<u16, OutOfBounds> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, OutOfBounds> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, OutOfBounds> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, OutOfBounds> {
        self.array().map(f32::from_be_bytes)
    }

    pub fn f64(&mut self) -> Result<f64, OutOfBounds> {
        self.array().map(f64::from_be_bytes)
    }

    pub fn position(&self) -> usize {
        self.position
    }

    pub fn at_end(&self) -> bool {
        self.position == self.end
    }
}

/// The reply to one batch: a frame of the actions that the instances request.
#[derive(Default)]
pub struct Reply {
    frame: Vec<u8>,
    records: u32,
    instance: u32,
}

impl Reply {
    pub fn start(&mut self, seq: u32) {
        self.frame.clear();
        self.frame.extend_from_slice(&seq.to_be_bytes());
        self.frame.extend_from_slice(&[0; 8]);
        self.records = 0;
    }

    /// Sets the instance that the next records belong to.
    pub fn set_instance(&mut self, instance: u32) {
        self.instance = instance;
    }

    /// Completes the header and returns the whole frame.
    pub fn finish(&mut self) -> &[u8] {
        let length = self.frame.len() as u32;
        self.frame[4..8].copy_from_slice(&length.to_be_bytes());
        self.frame[8..12].copy_from_slice(&self.records.to_be_bytes());
        &self.frame
    }

    pub fn checkpoint(&self) -> (usize, u32) {
        (self.frame.len(), self.records)
    }

    /// Discards the records written since the checkpoint.
    pub fn roll_back(&mut self, checkpoint: (usize, u32)) {
        self.frame.truncate(checkpoint.0);
        self.records = checkpoint.1;
    }

    /// Reports that the instance has failed.
    pub fn report_failure(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(u16::MAX as usize)];
        self.record(25, &[&(bytes.len() as u16).to_be_bytes(), bytes]);
    }

    /// Appends a record with this code and these fields for the current instance.
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length = 4 + fields.iter().map(|field| field.len() as u32).sum::<u32>();
        self.frame.push(code);
        self.frame.extend_from_slice(&length.to_be_bytes());
        self.frame.extend_from_slice(&self.instance.to_be_bytes());
        for field in fields {
            self.frame.extend_from_slice(field);
        }
        self.records += 1;
    }
}

impl Host for Reply {
    fn send_attempt(&mut self, rpc: u32, server: u32, limit: Nanos, _before: Nanos) {
        let limit = seconds(limit).to_be_bytes();
        self.record(21, &[&rpc.to_be_bytes(), &server.to_be_bytes(), &limit]);
    }

    fn reject(&mut self, rpc: u32, retry_after: Nanos) {
        self.record(20, &[&rpc.to_be_bytes(), &seconds(retry_after).to_be_bytes()]);
    }

    fn abort(&mut self, rpc: u32) {
        self.record(24, &[&rpc.to_be_bytes()]);
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.record(28, &[&seconds(after).to_be_bytes(), &token.to_be_bytes()]);
    }

    fn add_to_counter(&mut self, name: u64, amount: f64, expire_after: Nanos) {
        let amount = (amount as f32).to_be_bytes();
        self.record(16, &[&name.to_be_bytes(), &amount, &seconds(expire_after).to_be_bytes()]);
    }
}
