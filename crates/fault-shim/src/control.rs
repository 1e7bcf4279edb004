//! The shim's side of the control block, which is mapped into the process when the library is loaded.

use fault_plan::{
    BLOCK_BYTES, BLOCK_WORDS, CONTROL_FILE_VARIABLE, PERIOD_FLAG, PROBABILITY_SCALE, SystemCallFault,
    WALL_CLOCK_WORD,
};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

type Block = [AtomicU64; BLOCK_WORDS];

static BLOCK: OnceLock<&'static Block> = OnceLock::new();
/// For each fault: the number of calls so far to which it applied while it had a period.
static PERIODIC_CALLS: [AtomicU64; SystemCallFault::ALL.len()] =
    [const { AtomicU64::new(0) }; SystemCallFault::ALL.len()];
/// The state of the random number generator that decides on faults with a probability.
static RANDOM_STATE: AtomicU64 = AtomicU64::new(0);

#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZE: extern "C" fn() = initialize;

/// Maps the control block before `main` runs. Until then, and without a block, no fault is injected. The
/// process id seeds the random number generator, so that processes draw different faults.
extern "C" fn initialize() {
    if let Some(block) = map_block() {
        let _ = BLOCK.set(block);
    }
    RANDOM_STATE.store(u64::from(std::process::id()), Ordering::Relaxed);
}

fn map_block() -> Option<&'static Block> {
    let path = CString::new(std::env::var_os(CONTROL_FILE_VARIABLE)?.as_bytes()).ok()?;
    // SAFETY: the path is a valid C string, and no other code uses the returned descriptor.
    let fd = unsafe { libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC) };
    if fd < 0 {
        return None;
    }
    let protection = libc::PROT_READ | libc::PROT_WRITE;
    // SAFETY: this is a new mapping at an address chosen by the kernel. It outlives the descriptor and is
    // never unmapped.
    let address = unsafe {
        let address = libc::mmap(std::ptr::null_mut(), BLOCK_BYTES, protection, libc::MAP_SHARED, fd, 0);
        libc::close(fd);
        address
    };
    if address == libc::MAP_FAILED {
        return None;
    }
    // SAFETY: the mapping is page-aligned, has the size of the block and lasts until the process exits. The
    // shim accesses all words as atomics.
    Some(unsafe { &*address.cast::<Block>() })
}

/// Decides whether to inject a fault into the current call. Counts each injection.
pub fn should_inject(fault: SystemCallFault) -> bool {
    let Some(block) = BLOCK.get() else { return false };
    let word = block[fault.probability_word()].load(Ordering::Relaxed);
    let injects = match word {
        0 => false,
        period if period & PERIOD_FLAG != 0 => {
            let call = PERIODIC_CALLS[fault as usize].fetch_add(1, Ordering::Relaxed) + 1;
            call.is_multiple_of(period & !PERIOD_FLAG)
        }
        probability => next_random() % PROBABILITY_SCALE < probability,
    };
    if !injects {
        return false;
    }
    block[fault.count_word()].fetch_add(1, Ordering::Relaxed);
    true
}

/// The offset of the process's wall clock in microseconds, or 0 without a control block.
pub fn wall_clock_offset_us() -> i64 {
    BLOCK.get().map_or(0, |block| block[WALL_CLOCK_WORD].load(Ordering::Relaxed) as i64)
}

/// The next number of a splitmix64 sequence.
fn next_random() -> u64 {
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = RANDOM_STATE.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
