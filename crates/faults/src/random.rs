//! Which call fails, and how: drawn from the seed and the number of the call.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The variable that holds the seed and the rate.
const VARIABLE: &str = "MARTENRAMP_FAULTS";

struct Settings {
    seed: u64,
    rate: f64,
    /// Only bytes that wake the process of a signal are lost.
    only_wakes: bool,
}

static SETTINGS: OnceLock<Option<Settings>> = OnceLock::new();
static CALLS: AtomicU64 = AtomicU64::new(0);

fn settings() -> Option<&'static Settings> {
    SETTINGS.get_or_init(|| read(&std::env::var(VARIABLE).ok()?)).as_ref()
}

fn read(text: &str) -> Option<Settings> {
    let field = |name: &str| text.split(',').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    Some(Settings {
        seed: field("seed")?.parse().ok()?,
        rate: field("rate")?.parse().ok()?,
        only_wakes: field("only") == Some("wakes"),
    })
}

/// The same for a byte that wakes the process of a signal.
pub fn draw_wake() -> Option<u64> {
    settings().and_then(drawn)
}

/// The draw of one call: a number from which the fault is chosen, if the call is to fail.
pub fn draw() -> Option<u64> {
    settings().filter(|settings| !settings.only_wakes).and_then(drawn)
}

fn drawn(settings: &Settings) -> Option<u64> {
    let number = CALLS.fetch_add(1, Ordering::Relaxed);
    let mixed = mix(settings.seed ^ mix(number));
    let share = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
    (share < settings.rate).then(|| mix(mixed))
}

/// One of these, by a draw.
pub fn one_of<T: Copy>(draw: u64, choices: &[T]) -> T {
    choices[(draw % choices.len() as u64) as usize]
}

/// The finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
