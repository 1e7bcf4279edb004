//! The control block that a test harness shares with the fault shim of one process.
//!
//! The block is a small file of 64-bit little-endian words. The harness writes it with [`ControlBlock`]; the shim maps it
//! into the process under test and reads it at each intercepted system call, so faults can be switched on and off while
//! the process runs. This crate alone defines the layout of the block, and both sides depend on it.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The environment variable with the path of a process's control file.
pub const CONTROL_FILE_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// The unit of probabilities in the block: the value that stands for a probability of 1.
pub const PROBABILITY_SCALE: u64 = 1_000_000;
/// The number of words in the block.
pub const BLOCK_WORDS: usize = 64;
/// The size of the block in bytes.
pub const BLOCK_BYTES: usize = BLOCK_WORDS * WORD_BYTES;
/// The word with the offset of the wall clock: a signed number of microseconds.
pub const WALL_CLOCK_WORD: usize = 0;

const WORD_BYTES: usize = 8;
/// The word with the probability or period of the first fault. Those of the other faults follow.
const FIRST_PROBABILITY: usize = 1;
/// The word with the count of the first fault. Those of the other faults follow.
const FIRST_COUNT: usize = 32;

/// The flag that marks the word of a fault as a period: one of that many calls fails, at regular intervals. Without the
/// flag, the word is a probability.
pub const PERIOD_FLAG: u64 = 1 << 63;

/// A fault that the shim injects into system calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCallFault {
    /// `accept` fails with ECONNABORTED. The connection stays in the accept queue.
    AcceptAborted,
    /// `accept` fails with ENFILE.
    AcceptFileTableFull,
    /// `accept` fails with ENOBUFS.
    AcceptNoBuffers,
    /// `socket` fails with ENFILE.
    SocketFileTableFull,
    /// `connect` fails with EADDRNOTAVAIL.
    ConnectNoAddress,
    /// `connect` fails with ENETUNREACH.
    ConnectUnreachable,
    /// `connect` fails with ENOBUFS.
    ConnectNoBuffers,
    /// A read or peek of a socket fails with EINTR.
    ReadInterrupted,
    /// A write to a socket fails with EINTR.
    WriteInterrupted,
    /// `poll` fails with EINTR.
    PollInterrupted,
    /// A read of a socket returns only a part of the bytes that have arrived.
    ShortRead,
    /// A write to a socket writes only a part of its bytes.
    ShortWrite,
    /// A write to a socket fails with ENOBUFS.
    WriteNoBuffers,
    /// A read of a regular file fails with EIO.
    FileReadFails,
    /// A read of a regular file returns only a part of the bytes that are available.
    FileShortRead,
    /// A write to standard error fails with ENOSPC.
    LogFull,
}

impl SystemCallFault {
    /// All faults.
    pub const ALL: [SystemCallFault; 16] = [
        SystemCallFault::AcceptAborted,
        SystemCallFault::AcceptFileTableFull,
        SystemCallFault::AcceptNoBuffers,
        SystemCallFault::SocketFileTableFull,
        SystemCallFault::ConnectNoAddress,
        SystemCallFault::ConnectUnreachable,
        SystemCallFault::ConnectNoBuffers,
        SystemCallFault::ReadInterrupted,
        SystemCallFault::WriteInterrupted,
        SystemCallFault::PollInterrupted,
        SystemCallFault::ShortRead,
        SystemCallFault::ShortWrite,
        SystemCallFault::WriteNoBuffers,
        SystemCallFault::FileReadFails,
        SystemCallFault::FileShortRead,
        SystemCallFault::LogFull,
    ];

    /// The word with the probability or the period of the fault.
    pub const fn probability_word(self) -> usize {
        FIRST_PROBABILITY + self as usize
    }

    /// The word in which the shim counts how often it injected the fault.
    pub const fn count_word(self) -> usize {
        FIRST_COUNT + self as usize
    }
}

/// A control block, as the harness writes it.
#[derive(Debug)]
pub struct ControlBlock {
    file: File,
}

impl ControlBlock {
    /// Creates the file of a block in which all faults are off.
    ///
    /// # Errors
    /// The file can't be created or written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; BLOCK_BYTES], 0)?;
        Ok(ControlBlock { file })
    }

    /// Sets the probability of a fault, from 0 to 1. It replaces a period.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_probability(&self, fault: SystemCallFault, probability: f64) -> io::Result<()> {
        let millionths = (probability.clamp(0.0, 1.0) * PROBABILITY_SCALE as f64) as u64;
        self.write_word(fault.probability_word(), millionths)
    }

    /// Injects a fault into every `period`-th call that it applies to, or into none if `period` is 0. This replaces a
    /// probability.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_period(&self, fault: SystemCallFault, period: u64) -> io::Result<()> {
        let word = if period == 0 { 0 } else { period | PERIOD_FLAG };
        self.write_word(fault.probability_word(), word)
    }

    /// Sets the offset of the process's wall clock.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_wall_clock_offset(&self, microseconds: i64) -> io::Result<()> {
        self.write_word(WALL_CLOCK_WORD, microseconds as u64)
    }

    /// How often the shim has injected a fault.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn injection_count(&self, fault: SystemCallFault) -> io::Result<u64> {
        let mut bytes = [0; WORD_BYTES];
        self.file.read_exact_at(&mut bytes, offset(fault.count_word()))?;
        Ok(u64::from_le_bytes(bytes))
    }

    fn write_word(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), offset(word))
    }
}

fn offset(word: usize) -> u64 {
    (word * WORD_BYTES) as u64
}
