//! The control block that a test harness shares with the fault shim of one process.
//!
//! The block is a small file of 64-bit little-endian words. The harness writes it through [`ControlBlock`].
//! The shim maps it into the process under test and reads it at each intercepted system call, so that faults
//! can be switched on and off while the process runs. Both sides take the layout of the block from this
//! crate.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The environment variable that holds the path of a process's control file.
pub const CONTROL_FILE_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// The value in the block that stands for a probability of 1.
pub const PROBABILITY_SCALE: u64 = 1_000_000;
/// The number of words in the block.
pub const BLOCK_WORDS: usize = 64;
/// The size of the block in bytes.
pub const BLOCK_BYTES: usize = BLOCK_WORDS * WORD_BYTES;
/// The word with the signed offset of the wall clock in microseconds.
pub const WALL_CLOCK_WORD: usize = 0;

const WORD_BYTES: usize = 8;
/// The word with the probability or period of the first fault. The words of the other faults follow.
const FIRST_PROBABILITY_WORD: usize = 1;
/// The word with the injection count of the first fault. The words of the other faults follow.
const FIRST_COUNT_WORD: usize = 32;

/// The flag that marks the word of a fault as a period n: the fault is injected into every n-th call. Without
/// the flag, the word is a probability in units of 1 / [`PROBABILITY_SCALE`].
pub const PERIOD_FLAG: u64 = 1 << 63;

/// A fault that the shim can inject into system calls. The discriminant determines the words of the fault in
/// the block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCallFault {
    /// `accept` fails with ECONNABORTED. The pending connection stays in the accept queue.
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
    /// A read of a socket returns only a part of the available bytes. A peek is not shortened.
    ShortRead,
    /// A write to a socket transfers only a part of its bytes.
    ShortWrite,
    /// A write to a socket fails with ENOBUFS.
    WriteNoBuffers,
    /// A read of a regular file fails with EIO.
    FileReadFails,
    /// A read of a regular file returns only a part of the available bytes.
    FileShortRead,
    /// A write to standard error fails with ENOSPC.
    LogFull,
}

impl SystemCallFault {
    /// All faults, in the order of their words in the block.
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
        FIRST_PROBABILITY_WORD + self as usize
    }

    /// The word in which the shim counts the injections of the fault.
    pub const fn count_word(self) -> usize {
        FIRST_COUNT_WORD + self as usize
    }
}

/// The harness's side of a control block.
#[derive(Debug)]
pub struct ControlBlock {
    file: File,
}

impl ControlBlock {
    /// Creates the control file, with all faults off.
    ///
    /// # Errors
    /// Returns an error if the file can't be created or written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; BLOCK_BYTES], 0)?;
        Ok(ControlBlock { file })
    }

    /// Sets the probability of a fault per call, from 0 to 1. It replaces a period.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn set_probability(&self, fault: SystemCallFault, probability: f64) -> io::Result<()> {
        let word = (probability.clamp(0.0, 1.0) * PROBABILITY_SCALE as f64) as u64;
        self.write_word(fault.probability_word(), word)
    }

    /// Injects a fault into every `period`-th call to which it applies, or into none if `period` is 0. The
    /// period replaces a probability.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn set_period(&self, fault: SystemCallFault, period: u64) -> io::Result<()> {
        let word = if period == 0 { 0 } else { period | PERIOD_FLAG };
        self.write_word(fault.probability_word(), word)
    }

    /// Sets the offset of the process's wall clock from the system's.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn set_wall_clock_offset(&self, offset_us: i64) -> io::Result<()> {
        self.write_word(WALL_CLOCK_WORD, offset_us as u64)
    }

    /// The number of times that the shim has decided to inject a fault.
    ///
    /// # Errors
    /// Returns an error if the file can't be read.
    pub fn injection_count(&self, fault: SystemCallFault) -> io::Result<u64> {
        let mut bytes = [0; WORD_BYTES];
        self.file.read_exact_at(&mut bytes, byte_offset(fault.count_word()))?;
        Ok(u64::from_le_bytes(bytes))
    }

    fn write_word(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), byte_offset(word))
    }
}

/// The offset of a word in the file in bytes.
fn byte_offset(word: usize) -> u64 {
    (word * WORD_BYTES) as u64
}
