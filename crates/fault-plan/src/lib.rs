//! The control block that a test harness shares with the fault shim of one process.
//!
//! The block is a small file of 64-bit little-endian words. The harness writes it with [`Control`]; the shim maps it
//! into the process under test and reads it at each intercepted call, so that faults can be switched while the process
//! runs. Both sides agree on the place of each word through this crate alone.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Environment variable that names the control file of a process.
pub const CONTROL_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// Probabilities are counted in millionths.
pub const CERTAIN: u64 = 1_000_000;
/// Words of the block.
pub const WORDS: usize = 64;
/// Bytes of the block.
pub const BLOCK_BYTES: usize = WORDS * WORD_BYTES;
/// The word that holds how far the wall clock is off, in microseconds, as a signed number.
pub const WALL_CLOCK_WORD: usize = 0;

const WORD_BYTES: usize = 8;
const FIRST_PROBABILITY: usize = 1;
const FIRST_COUNT: usize = 32;

/// The bit that marks a period in place of a probability: every so many-th call fails.
pub const PERIOD_BIT: u64 = 1 << 63;

/// A failure that the shim brings about at a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCallFault {
    /// `accept` fails with ECONNABORTED; the connection stays in the queue.
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
    /// A read of a socket brings a part of what has arrived.
    ShortRead,
    /// A write to a socket takes a part of what it was given.
    ShortWrite,
    /// A write to a socket fails with ENOBUFS.
    WriteNoBuffers,
    /// A read of a regular file fails with EIO.
    FileReadFails,
    /// A read of a regular file brings a part of it.
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

    /// The word that holds the fault's probability in millionths.
    pub const fn probability_word(self) -> usize {
        FIRST_PROBABILITY + self as usize
    }

    /// The word in which the shim counts how often it brought the fault about.
    pub const fn count_word(self) -> usize {
        FIRST_COUNT + self as usize
    }
}

/// The harness's side of a control block.
#[derive(Debug)]
pub struct Control {
    file: File,
}

impl Control {
    /// Creates a block without any fault.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; BLOCK_BYTES], 0)?;
        Ok(Control { file })
    }

    /// Sets the probability of a fault, from 0 to 1.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_probability(&self, fault: SystemCallFault, probability: f64) -> io::Result<()> {
        let millionths = (probability.clamp(0.0, 1.0) * CERTAIN as f64) as u64;
        self.write_word(fault.probability_word(), millionths)
    }

    /// Lets a fault happen at every `period`-th call that it may happen to; at none where that is 0.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_period(&self, fault: SystemCallFault, period: u64) -> io::Result<()> {
        let word = if period == 0 { 0 } else { period | PERIOD_BIT };
        self.write_word(fault.probability_word(), word)
    }

    /// Sets by how many microseconds the wall clock of the process is off.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set_wall_clock_offset(&self, microseconds: i64) -> io::Result<()> {
        self.write_word(WALL_CLOCK_WORD, microseconds as u64)
    }

    /// How often the shim has brought a fault about.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn count(&self, fault: SystemCallFault) -> io::Result<u64> {
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
