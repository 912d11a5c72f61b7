//! Frames of the simulator's wire: big-endian, no padding, read in place.

use martenramp::host::{Host, Nanos};
use std::io::{ErrorKind, Read};

/// The byte of the frame at which a field did not fit.
#[derive(Debug)]
pub struct Short(pub usize);

/// Seconds on the wire to nanoseconds, by way of the wire's whole microseconds.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e6).round().max(0.0) as Nanos * 1000
}

fn seconds(span: Nanos) -> f64 {
    (span / 1000) as f64 / 1e6
}

const HEAD: usize = 20;

/// Reads one whole frame; false at a clean end of input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.resize(HEAD, 0);
    let mut have = 0;
    while have < HEAD {
        match input.read(&mut frame[have..]) {
            Ok(0) if have == 0 => return Ok(false),
            Ok(0) => return Err(format!("byte {have}: the frame ends inside its header")),
            Ok(n) => have += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    let length = u32::from_be_bytes([frame[8], frame[9], frame[10], frame[11]]) as usize;
    if length < HEAD {
        return Err(format!("byte 8: a frame of {length} bytes cannot hold its header"));
    }
    let got = input.take((length - HEAD) as u64).read_to_end(frame).map_err(|e| e.to_string())?;
    if got < length - HEAD {
        return Err(format!("byte {}: the frame is cut short of its {length} bytes", HEAD + got));
    }
    Ok(true)
}

/// A walk over the fields of a frame or of one record of it.
pub struct Fields<'a> {
    frame: &'a [u8],
    at: usize,
    end: usize,
}

impl<'a> Fields<'a> {
    pub fn new(frame: &'a [u8]) -> Self {
        Fields { frame, at: 0, end: frame.len() }
    }

    /// Number of the batch and of its records; leaves the walk at the clock.
    pub fn head(&mut self) -> Result<(u32, u32), Short> {
        let head = (self.u32()?, self.u32()?);
        self.u32()?;
        Ok(head)
    }

    pub fn record(&mut self) -> Result<(u8, Fields<'a>), Short> {
        let code = self.u8()?;
        let length = self.u32()? as usize;
        let start = self.at;
        self.bytes(length)?;
        Ok((code, Fields { frame: self.frame, at: start, end: self.at }))
    }

    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8], Short> {
        let stop = self.at.checked_add(length).filter(|stop| *stop <= self.end).ok_or(Short(self.at))?;
        let bytes = &self.frame[self.at..stop];
        self.at = stop;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Short> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Result<u8, Short> {
        self.array::<1>().map(|bytes| bytes[0])
    }

    pub fn u16(&mut self) -> Result<u16, Short> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, Short> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, Short> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, Short> {
        self.array().map(f32::from_be_bytes)
    }

    pub fn f64(&mut self) -> Result<f64, Short> {
        self.array().map(f64::from_be_bytes)
    }

    pub fn position(&self) -> usize {
        self.at
    }

    pub fn at_end(&self) -> bool {
        self.at == self.end
    }
}

/// The reply to one batch, written as the module asks.
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

    pub fn speak_for(&mut self, instance: u32) {
        self.instance = instance;
    }

    pub fn finish(&mut self) -> &[u8] {
        let length = self.frame.len() as u32;
        self.frame[4..8].copy_from_slice(&length.to_be_bytes());
        self.frame[8..12].copy_from_slice(&self.records.to_be_bytes());
        &self.frame
    }

    pub fn mark(&self) -> (usize, u32) {
        (self.frame.len(), self.records)
    }

    pub fn back_to(&mut self, mark: (usize, u32)) {
        self.frame.truncate(mark.0);
        self.records = mark.1;
    }

    pub fn bail_out(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(u16::MAX as usize)];
        self.record(25, &[&(bytes.len() as u16).to_be_bytes(), bytes]);
    }

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

    fn reject(&mut self, rpc: u32, come_back: Nanos) {
        self.record(20, &[&rpc.to_be_bytes(), &seconds(come_back).to_be_bytes()]);
    }

    fn abort(&mut self, rpc: u32) {
        self.record(24, &[&rpc.to_be_bytes()]);
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.record(28, &[&seconds(after).to_be_bytes(), &token.to_be_bytes()]);
    }

    fn add_to_counter(&mut self, name: u64, add: f64, forget: Nanos) {
        let add = (add as f32).to_be_bytes();
        self.record(16, &[&name.to_be_bytes(), &add, &seconds(forget).to_be_bytes()]);
    }
}
