//! The shim's side of the control block, mapped into the process when it starts.

use fault_plan::{
    BLOCK_BYTES, CERTAIN, CONTROL_VARIABLE, PERIOD_BIT, SystemCallFault, WALL_CLOCK_WORD, WORDS,
};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

type Block = [AtomicU64; WORDS];

static BLOCK: OnceLock<&'static Block> = OnceLock::new();
/// Calls so far that a fault with a period may have happened to.
static CALLS: [AtomicU64; SystemCallFault::ALL.len()] =
    [const { AtomicU64::new(0) }; SystemCallFault::ALL.len()];
static DRAWS: AtomicU64 = AtomicU64::new(0);

#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZE: extern "C" fn() = initialize;

/// Maps the control block before `main`. Until then, and where there is none, nothing fails.
extern "C" fn initialize() {
    if let Some(block) = map_block() {
        let _ = BLOCK.set(block);
    }
    DRAWS.store(u64::from(std::process::id()), Ordering::Relaxed);
}

fn map_block() -> Option<&'static Block> {
    let path = CString::new(std::env::var_os(CONTROL_VARIABLE)?.as_bytes()).ok()?;
    // SAFETY: a valid C string; the descriptor stays this function's own.
    let fd = unsafe { libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC) };
    if fd < 0 {
        return None;
    }
    let protection = libc::PROT_READ | libc::PROT_WRITE;
    // SAFETY: a new mapping at a place of the system's choice; it outlives the descriptor and is never unmapped.
    let address = unsafe {
        let address = libc::mmap(std::ptr::null_mut(), BLOCK_BYTES, protection, libc::MAP_SHARED, fd, 0);
        libc::close(fd);
        address
    };
    if address == libc::MAP_FAILED {
        return None;
    }
    // SAFETY: the mapping is page-aligned, as long as the block, and lasts to the end of the process; all its words
    // are accessed as atomics on this side.
    Some(unsafe { &*address.cast::<Block>() })
}

/// Draws whether a fault happens now, and counts it if so.
pub fn happens(fault: SystemCallFault) -> bool {
    let Some(block) = BLOCK.get() else { return false };
    let word = block[fault.probability_word()].load(Ordering::Relaxed);
    let is_due = match word {
        0 => false,
        period if period & PERIOD_BIT != 0 => {
            let call = CALLS[fault as usize].fetch_add(1, Ordering::Relaxed) + 1;
            call.is_multiple_of(period & !PERIOD_BIT)
        }
        probability => draw() % CERTAIN < probability,
    };
    if !is_due {
        return false;
    }
    block[fault.count_word()].fetch_add(1, Ordering::Relaxed);
    true
}

/// By how many microseconds the wall clock is off.
pub fn wall_clock_offset() -> i64 {
    BLOCK.get().map_or(0, |block| block[WALL_CLOCK_WORD].load(Ordering::Relaxed) as i64)
}

/// The next number of a splitmix64 sequence.
fn draw() -> u64 {
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = DRAWS.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
