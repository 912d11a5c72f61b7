//! Hosts many instances of the decision module on the simulator's wire: decodes frames into calls, encodes
//! what the module asks for. It decides nothing, and instances share nothing.

mod wire;

use martenramp::brain::Brain;
use martenramp::host::{Arrival, End, Ended, Listed, Settings};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Fields, Reply, Short, nanos};

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
    let mut brains: HashMap<u32, Brain> = HashMap::new();
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
    brains: &mut HashMap<u32, Brain>,
    reply: &mut Reply,
    now: u64,
    code: u8,
    record: &mut Fields,
) -> Result<(), Short> {
    if !(16..=26).contains(&code) {
        return Ok(());
    }
    let instance = record.u32()?;
    reply.speak_for(instance);
    match code {
        16 => {
            let seed = record.u64()?;
            let length = record.u32()? as usize;
            let text = String::from_utf8_lossy(record.bytes(length)?).into_owned();
            let settings: Settings = text
                .lines()
                .filter_map(|line| line.split_once('='))
                .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
                .collect();
            match catch_unwind(AssertUnwindSafe(|| Brain::new(seed, settings))) {
                Ok(brain) => drop(brains.insert(instance, brain)),
                Err(panic) => reply.bail_out(&panic_text(&*panic)),
            }
        }
        17 => {
            let kind = record.u8()?;
            record.u32()?;
            let count = record.u32()? as usize;
            let mut list = Vec::new();
            for _ in 0..count {
                let server = record.u32()?;
                list.push(Listed {
                    server,
                    service: 0,
                    key: u64::from(server), // the same at every instance
                    zone: record.u16()?,
                    kind: record.u8()?,
                    cell: record.u16()?,
                    ready: record.u8()? == 2,
                    weight: f64::from(record.f32()?),
                    came_up: nanos(record.f64()?),
                });
            }
            if kind <= 2 {
                guarded(brains, reply, instance, |brain, _| brain.listed(now, kind != 0, &list));
            }
        }
        18 => {
            let rpc = Arrival {
                id: record.u32()?,
                method: record.u16()?,
                plan: record.u16()?,
                customer: record.u64()?,
                service: 0,
                deadline: nanos(record.f64()?),
                units: f64::from(record.f32()?),
                width: record.f32()? as u32,
                first: record.f32()? as u32,
            };
            guarded(brains, reply, instance, |brain, host| brain.rpc(host, now, &rpc));
        }
        20 => {
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
            let ended = Ended { rpc, server, nth, how, took, closed, settled, load };
            guarded(brains, reply, instance, |brain, host| brain.ended(host, now, &ended));
        }
        21 => {
            let rpc = record.u32()?;
            guarded(brains, reply, instance, |brain, _| brain.client_left(rpc));
        }
        22 => {
            let token = record.u32()?;
            guarded(brains, reply, instance, |brain, host| brain.woke(host, now, token));
        }
        25 => drop(brains.remove(&instance)),
        26 => {
            let how = end(record.u8()?);
            let total = f64::from(record.f32()?);
            record.f64()?;
            let name = record.u64()?;
            guarded(brains, reply, instance, |brain, host| brain.counted(host, now, name, how, total));
        }
        _ => {} // the start of a stream and the end of a probe: the module asks for neither
    }
    Ok(())
}

fn end(code: u8) -> End {
    match code {
        0 => End::Ok,
        254 => End::Full,
        253 => End::TimedOut,
        252 => End::NoConnection,
        251 => End::Reset,
        250 => End::Withdrawn,
        249 => End::NotSent,
        _ => End::Error,
    }
}

/// Runs one call; a panic takes back what the call had asked for and is reported as the instance's end.
fn guarded(
    brains: &mut HashMap<u32, Brain>,
    reply: &mut Reply,
    instance: u32,
    call: impl FnOnce(&mut Brain, &mut Reply),
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
mod tests {
    use super::*;

    fn hex(text: &str) -> Vec<u8> {
        let digits: String = text.split_whitespace().collect();
        (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap()).collect()
    }

    fn answer(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
        let mut output = Vec::new();
        let verdict = serve(input, &mut output);
        (verdict, output)
    }

    #[test]
    fn an_empty_batch_gets_an_empty_reply() {
        let (verdict, output) = answer(&hex("00000001 00000000 00000014 4020d3126e978d50"));
        assert_eq!((verdict, output), (Ok(()), hex("00000001 0000000c 00000000")));
    }

    #[test]
    fn unknown_codes_and_unknown_instances_are_passed_over() {
        let batch =
            hex("00000007 00000002 0000002c 4020d3126e978d50 63 00000002 abcd 16 00000008 00000003 0000004d");
        let (verdict, output) = answer(&batch);
        assert!(verdict.is_err(), "the length names more bytes than the frame holds");
        assert!(output.is_empty());
        let batch =
            hex("00000007 00000002 00000028 4020d3126e978d50 63 00000002 abcd 16 00000008 00000003 0000004d");
        assert_eq!(answer(&batch), (Ok(()), hex("00000007 0000000c 00000000")));
    }

    #[test]
    fn a_field_past_its_record_is_named_by_its_byte_and_gets_no_reply() {
        let batch = hex("00000007 00000001 0000001d 4020d3126e978d50 16 00000004 00000003");
        let (verdict, output) = answer(&batch);
        assert_eq!(verdict, Err("byte 29: a field runs past its record or frame".to_string()));
        assert!(output.is_empty());
    }
}
