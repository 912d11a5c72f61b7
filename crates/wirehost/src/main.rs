//! Simulator adapter: hosts many instances of the decision module, decoding the simulator's frames into calls and
//! encoding the actions that the module requests. It makes no decisions itself, and the instances share no state.
#![deny(missing_docs)]

mod wire;

use martenramp::admission::AdmissionController;
use martenramp::host::{Arrival, AttemptResult, CallOutcome, DiscoveredServer, Settings};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Fields, OutOfBounds, Reply, nanos};

/// Codes of the event records that the simulator sends.
mod code {
    use std::ops::RangeInclusive;

    /// Records that begin with the number of an instance.
    pub const INSTANCE_RECORDS: RangeInclusive<u8> = 16..=26;
    /// An instance starts.
    pub const START: u8 = 16;
    /// Discovery's list, whole or its changes.
    pub const LIST: u8 = 17;
    /// An RPC arrived.
    pub const ARRIVAL: u8 = 18;
    /// An attempt ended.
    pub const ATTEMPT_ENDED: u8 = 20;
    /// A client abandoned its RPC.
    pub const CLIENT_LEFT: u8 = 21;
    /// A timer requested by the module has expired.
    pub const TIMER: u8 = 22;
    /// An instance ends.
    pub const END: u8 = 25;
    /// A call to the counter ended.
    pub const COUNTED: u8 = 26;
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {})); // the panic's text is reported in the instance's failure record
    match serve(BufReader::with_capacity(1 << 16, std::io::stdin().lock()), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("martenramp-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to frames until the input ends; a malformed frame ends it with an error and without a reply.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut instances: HashMap<u32, AdmissionController> = HashMap::new();
    let mut reply = Reply::default();
    let mut frame = Vec::new();
    while wire::read_frame(&mut input, &mut frame)? {
        let mut fields = Fields::new(&frame);
        let (seq, records) = fields.read_header().map_err(out_of_bounds_message)?;
        let now = nanos(fields.f64().map_err(out_of_bounds_message)?);
        reply.start(seq);
        for _ in 0..records {
            let (code, mut record) = fields.record().map_err(out_of_bounds_message)?;
            handle_record(&mut instances, &mut reply, now, code, &mut record)
                .map_err(out_of_bounds_message)?;
        }
        if !fields.at_end() {
            return Err(format!("byte {}: trailing bytes after the last record", fields.position()));
        }
        output.write_all(reply.finish()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn out_of_bounds_message(error: OutOfBounds) -> String {
    format!("byte {}: a field runs past its record or frame", error.0)
}

/// Decodes one whole record, then passes it to its instance. Records with an unknown code are skipped.
fn handle_record(
    instances: &mut HashMap<u32, AdmissionController>,
    reply: &mut Reply,
    now: u64,
    code: u8,
    record: &mut Fields,
) -> Result<(), OutOfBounds> {
    if !code::INSTANCE_RECORDS.contains(&code) {
        return Ok(());
    }
    let instance = record.u32()?;
    reply.set_instance(instance);
    match code {
        code::START => {
            let seed = record.u64()?;
            let settings = read_settings(record)?;
            match catch_unwind(AssertUnwindSafe(|| AdmissionController::new(seed, settings))) {
                Ok(controller) => drop(instances.insert(instance, controller)),
                Err(panic) => reply.report_failure(&panic_message(&*panic)),
            }
        }
        code::LIST => {
            let kind = record.u8()?;
            let list = read_list(record)?;
            if kind <= 2 {
                call_instance(instances, reply, instance, |controller, _| {
                    controller.on_server_list(now, kind != 0, &list)
                });
            }
        }
        code::ARRIVAL => {
            let rpc = read_arrival(record)?;
            call_instance(instances, reply, instance, |controller, host| {
                controller.on_arrival(host, now, &rpc)
            });
        }
        code::ATTEMPT_ENDED => {
            let result = read_attempt_result(record)?;
            call_instance(instances, reply, instance, |controller, host| {
                controller.on_attempt_end(host, now, &result)
            });
        }
        code::CLIENT_LEFT => {
            let rpc = record.u32()?;
            call_instance(instances, reply, instance, |controller, _| controller.on_client_left(rpc));
        }
        code::TIMER => {
            let token = record.u32()?;
            call_instance(instances, reply, instance, |controller, host| {
                controller.on_timer(host, now, token)
            });
        }
        code::END => drop(instances.remove(&instance)),
        code::COUNTED => {
            let outcome = call_outcome(record.u8()?);
            let total = f64::from(record.f32()?);
            record.f64()?;
            let name = record.u64()?;
            call_instance(instances, reply, instance, |controller, host| {
                controller.on_counter_reply(host, now, name, outcome, total)
            });
        }
        _ => {} // start of a stream, end of a probe: the module requests neither
    }
    Ok(())
}

/// Decodes the settings of an instance: lines of `name=value`.
fn read_settings(record: &mut Fields) -> Result<Settings, OutOfBounds> {
    let length = record.u32()? as usize;
    let text = String::from_utf8_lossy(record.bytes(length)?).into_owned();
    let entries = text.lines().filter_map(|line| line.split_once('='));
    Ok(entries.map(|(name, value)| (name.trim().to_string(), value.trim().to_string())).collect())
}

/// Decodes the servers of a list.
fn read_list(record: &mut Fields) -> Result<Vec<DiscoveredServer>, OutOfBounds> {
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

/// Decodes the arrival of an RPC.
fn read_arrival(record: &mut Fields) -> Result<Arrival, OutOfBounds> {
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

/// Decodes the result of an attempt.
fn read_attempt_result(record: &mut Fields) -> Result<AttemptResult, OutOfBounds> {
    let rpc = record.u32()?;
    let duration = nanos(record.f64()?);
    record.u16()?;
    let rpc_answered = record.u8()? != 0;
    let settled_units = f64::from(record.u16()?);
    let server = record.u32()?;
    let outcome = call_outcome(record.u8()?);
    let attempt = record.u16()?;
    let count = record.u8()?;
    let load_report = (0..count).map(|_| record.f32().map(f64::from)).collect::<Result<_, _>>()?;
    Ok(AttemptResult { rpc, server, attempt, outcome, duration, rpc_answered, settled_units, load_report })
}

/// Decodes the outcome of an attempt or of a call to the counter.
fn call_outcome(code: u8) -> CallOutcome {
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

/// Calls an instance. If the call panics, the actions that it requested are discarded, a failure is reported and the
/// instance is removed.
fn call_instance(
    instances: &mut HashMap<u32, AdmissionController>,
    reply: &mut Reply,
    instance: u32,
    call: impl FnOnce(&mut AdmissionController, &mut Reply),
) {
    let Some(controller) = instances.get_mut(&instance) else { return };
    let checkpoint = reply.checkpoint();
    if let Err(panic) = catch_unwind(AssertUnwindSafe(|| call(controller, reply))) {
        reply.roll_back(checkpoint);
        reply.report_failure(&panic_message(&*panic));
        instances.remove(&instance);
    }
}

fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let message = panic.downcast_ref::<&str>().map(|message| message.to_string());
    message.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".to_string())
}

#[cfg(test)]
mod tests;
