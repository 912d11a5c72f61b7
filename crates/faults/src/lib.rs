//! Injects system call faults into a process under test, by way of `LD_PRELOAD`. Calls fail at random in the ways that Linux
//! documents: interrupted, short, out of descriptors or memory, refused or timed out. Which call fails depends only on a
//! seed and the number of the call, so a run can be repeated as far as the process makes the same calls.
//!
//! - `MARTENRAMP_FAULTS`, for example `seed=7,rate=0.02`, sets the seed and the share of calls that fail. With `only=wakes`,
//!   only the byte by which a signal handler wakes the event loop is affected. Without this variable no call fails.
//! - `MARTENRAMP_FAULTS_REPORT` names a file to which the count of each fault is written when the process exits.
//! - `MARTENRAMP_WALL` names a file that sets how far the real-time clock is ahead, in milliseconds.
//!
//! Outgoing connections may break for good: the library shuts them down, so that the peer sees it, too. Accepted
//! connections only get interrupted and short transfers, since a broken one would be the same as a client that left.
#![deny(missing_docs)]

mod calls;
mod random;
mod report;
mod wall_clock;
