//! Decides which call fails and how, as a function of the seed and the number of the call.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The environment variable that holds the seed and the rate of faults.
const FAULTS_VARIABLE: &str = "MARTENRAMP_FAULTS";

struct Settings {
    seed: u64,
    rate: f64,
    /// Inject faults only into the byte by which a signal handler wakes the event loop.
    only_wakeups: bool,
}

static SETTINGS: OnceLock<Option<Settings>> = OnceLock::new();
static CALL_COUNT: AtomicU64 = AtomicU64::new(0);

fn settings() -> Option<&'static Settings> {
    SETTINGS.get_or_init(|| parse_settings(&std::env::var(FAULTS_VARIABLE).ok()?)).as_ref()
}

fn parse_settings(text: &str) -> Option<Settings> {
    let field =
        |name: &str| text.split(',').find_map(|setting| setting.strip_prefix(name)?.strip_prefix('='));
    Some(Settings {
        seed: field("seed")?.parse().ok()?,
        rate: field("rate")?.parse().ok()?,
        only_wakeups: field("only") == Some("wakes"),
    })
}

/// Like [`draw`], for the byte by which a signal handler wakes the event loop.
pub fn draw_wakeup() -> Option<u64> {
    settings().and_then(draw_call)
}

/// Draws whether a call fails. If so, returns the random number from which its fault is chosen.
pub fn draw() -> Option<u64> {
    settings().filter(|settings| !settings.only_wakeups).and_then(draw_call)
}

fn draw_call(settings: &Settings) -> Option<u64> {
    let number = CALL_COUNT.fetch_add(1, Ordering::Relaxed);
    let mixed = mix(settings.seed ^ mix(number));
    let uniform = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
    (uniform < settings.rate).then(|| mix(mixed))
}

/// Picks one of the choices by a drawn number.
pub fn choose<T: Copy>(draw: u64, choices: &[T]) -> T {
    choices[(draw % choices.len() as u64) as usize]
}

/// The finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
