//! Hosts many instances of the decision module on the simulator's wire: decodes frames into calls, encodes
//! what the module asks for. It decides nothing, and instances share nothing.
#![deny(missing_docs)]

mod wire;

use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Settings};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Fields, Reply, Short, nanos};

/// Codes of the records that the simulator sends.
mod code {
    use std::ops::RangeInclusive;

    /// Records that name an instance.
    pub const OF_AN_INSTANCE: RangeInclusive<u8> = 16..=26;
    /// An instance starts.
    pub const START: u8 = 16;
    /// Discovery's list, whole or what changed.
    pub const LIST: u8 = 17;
    /// An RPC arrived.
    pub const ARRIVAL: u8 = 18;
    /// An attempt ended.
    pub const ATTEMPT_ENDED: u8 = 20;
    /// A client gave its RPC up.
    pub const CLIENT_LEFT: u8 = 21;
    /// A time that was asked for has come.
    pub const TIMER: u8 = 22;
    /// An instance ends.
    pub const END: u8 = 25;
    /// A call to the counter ended.
    pub const COUNTED: u8 = 26;
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {})); // the text goes out as the instance's own report
    match serve(BufReader::with_capacity(1 << 16, std::io::stdin().lock()), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("martenramp-wirehost: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Answers frames until the input ends; any malformed frame ends it with a plain line and no reply.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut brains: HashMap<u32, AdmissionController> = HashMap::new();
    let mut reply = Reply::default();
    let mut frame = Vec::new();
    while wire::read_frame(&mut input, &mut frame)? {
        let mut fields = Fields::new(&frame);
        let (seq, records) = fields.head().map_err(at)?;
        let now = nanos(fields.f64().map_err(at)?);
        reply.start(seq);
        for _ in 0..records {
            let (code, mut record) = fields.record().map_err(at)?;
            event(&mut brains, &mut reply, now, code, &mut record).map_err(at)?;
        }
        if !fields.at_end() {
            return Err(format!("byte {}: more bytes than records", fields.position()));
        }
        output.write_all(reply.finish()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn at(short: Short) -> String {
    format!("byte {}: a field runs past its record or frame", short.0)
}

/// Decodes one record whole, then hands it to its instance; codes not known are skipped by their length.
fn event(
    brains: &mut HashMap<u32, AdmissionController>,
    reply: &mut Reply,
    now: u64,
    code: u8,
    record: &mut Fields,
) -> Result<(), Short> {
    if !code::OF_AN_INSTANCE.contains(&code) {
        return Ok(());
    }
    let instance = record.u32()?;
    reply.speak_for(instance);
    match code {
        code::START => {
            let seed = record.u64()?;
            let settings = settings(record)?;
            match catch_unwind(AssertUnwindSafe(|| AdmissionController::new(seed, settings))) {
                Ok(brain) => drop(brains.insert(instance, brain)),
                Err(panic) => reply.bail_out(&panic_text(&*panic)),
            }
        }
        code::LIST => {
            let kind = record.u8()?;
            let list = list(record)?;
            if kind <= 2 {
                guarded(brains, reply, instance, |brain, _| brain.on_server_list(now, kind != 0, &list));
            }
        }
        code::ARRIVAL => {
            let rpc = arrival(record)?;
            guarded(brains, reply, instance, |brain, host| brain.on_arrival(host, now, &rpc));
        }
        code::ATTEMPT_ENDED => {
            let ended = attempt_ended(record)?;
            guarded(brains, reply, instance, |brain, host| brain.on_attempt_end(host, now, &ended));
        }
        code::CLIENT_LEFT => {
            let rpc = record.u32()?;
            guarded(brains, reply, instance, |brain, _| brain.on_client_left(rpc));
        }
        code::TIMER => {
            let token = record.u32()?;
            guarded(brains, reply, instance, |brain, host| brain.on_timer(host, now, token));
        }
        code::END => drop(brains.remove(&instance)),
        code::COUNTED => {
            let how = end(record.u8()?);
            let total = f64::from(record.f32()?);
            record.f64()?;
            let name = record.u64()?;
            guarded(brains, reply, instance, |brain, host| {
                brain.on_counter_reply(host, now, name, how, total)
            });
        }
        _ => {} // the start of a stream and the end of a probe: the module asks for neither
    }
    Ok(())
}

/// The settings of an instance that starts.
fn settings(record: &mut Fields) -> Result<Settings, Short> {
    let length = record.u32()? as usize;
    let text = String::from_utf8_lossy(record.bytes(length)?).into_owned();
    let entries = text.lines().filter_map(|line| line.split_once('='));
    Ok(entries.map(|(name, value)| (name.trim().to_string(), value.trim().to_string())).collect())
}

/// The servers of a list.
fn list(record: &mut Fields) -> Result<Vec<DiscoveredServer>, Short> {
    record.u32()?;
    let count = record.u32()? as usize;
    let mut list = Vec::new();
    for _ in 0..count {
        let server = record.u32()?;
        list.push(DiscoveredServer {
            server,
            service: 0,
            key: u64::from(server), // the same at every instance
            zone: record.u16()?,
            kind: record.u8()?,
            cell: record.u16()?,
            ready: record.u8()? == 2,
            weight: f64::from(record.f32()?),
            started_at: nanos(record.f64()?),
        });
    }
    Ok(list)
}

/// An RPC that arrived.
fn arrival(record: &mut Fields) -> Result<Arrival, Short> {
    Ok(Arrival {
        id: record.u32()?,
        method: record.u16()?,
        plan: record.u16()?,
        customer: record.u64()?,
        service: 0,
        deadline: nanos(record.f64()?),
        units: f64::from(record.f32()?),
        gateway_count: record.f32()? as u32,
        first_gateway: record.f32()? as u32,
    })
}

/// The end of an attempt.
fn attempt_ended(record: &mut Fields) -> Result<AttemptResult, Short> {
    let rpc = record.u32()?;
    let took = nanos(record.f64()?);
    record.u16()?;
    let closed = record.u8()? != 0;
    let settled = f64::from(record.u16()?);
    let server = record.u32()?;
    let how = end(record.u8()?);
    let nth = record.u16()?;
    let count = record.u8()?;
    let load = (0..count).map(|_| record.f32().map(f64::from)).collect::<Result<_, _>>()?;
    Ok(AttemptResult {
        rpc,
        server,
        attempt: nth,
        outcome: how,
        duration: took,
        rpc_answered: closed,
        settled_units: settled,
        load_report: load,
    })
}

fn end(code: u8) -> CallOutcome {
    match code {
        0 => CallOutcome::Ok,
        254 => CallOutcome::Full,
        253 => CallOutcome::TimedOut,
        252 => CallOutcome::NoConnection,
        251 => CallOutcome::Reset,
        250 => CallOutcome::Withdrawn,
        249 => CallOutcome::NotSent,
        _ => CallOutcome::Error,
    }
}

/// Runs one call; a panic takes back what the call had asked for and is reported as the instance's end.
fn guarded(
    brains: &mut HashMap<u32, AdmissionController>,
    reply: &mut Reply,
    instance: u32,
    call: impl FnOnce(&mut AdmissionController, &mut Reply),
) {
    let Some(brain) = brains.get_mut(&instance) else { return };
    let mark = reply.mark();
    if let Err(panic) = catch_unwind(AssertUnwindSafe(|| call(brain, reply))) {
        reply.back_to(mark);
        reply.bail_out(&panic_text(&*panic));
        brains.remove(&instance);
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let plain = panic.downcast_ref::<&str>().map(|text| text.to_string());
    plain.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".to_string())
}

#[cfg(test)]
mod tests;
