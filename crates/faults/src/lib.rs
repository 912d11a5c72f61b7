//! Loaded into a process of a test (`LD_PRELOAD`), this library makes its system calls fail now and then in the ways that
//! Linux documents: interrupted, short, out of descriptors or memory, refused or timed out. Which call fails is drawn from a
//! seed, so that a run can be repeated as far as the process makes the same calls.
//!
//! `MARTENRAMP_FAULTS` holds `seed=7,rate=0.02`: the seed, and the share of calls that fail
//! (with `only=wakes`, only the byte by which a signal handler wakes its process). `MARTENRAMP_FAULTS_REPORT` names a
//! file that gets the count of each fault as the process exits. Without the first nothing fails.
//!
//! Connections that the process made itself may break for good (the library shuts them down, so that the other side sees
//! it, too). Those that it accepted are only read and written in pieces: a broken one would be a client that has left.
#![deny(missing_docs)]

mod calls;
mod random;
mod report;
mod wall_clock;
