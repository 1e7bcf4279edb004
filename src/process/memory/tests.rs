//! Unit tests of the division of memory.

use super::*;
use rstest::rstest;

/// Guards against buffers and requests that take a router over its memory limit together, at the ends of the
/// platform's ranges and with more descriptors than the memory allows connections.
#[rstest]
#[case::least_memory(32, 1_000)]
#[case::few_connections(32, 232)]
#[case::most_memory(192, 1_000)]
#[case::more_descriptors_than_memory(32, 65_536)]
fn all_parts_fit_into_the_memory_limit(#[case] memory_mb: usize, #[case] descriptors: usize) {
    let limits = Limits { memory_mb, sockets: descriptors };
    let memory = MemoryDivision::of(&limits);
    let connections = descriptors.min(memory.max_connections());
    let buffers = BufferLimit::BUFFERS_PER_CONNECTION * memory.buffer_limit(connections).bytes();
    let least_rest = memory_mb * BYTES_PER_MEGABYTE / 8;
    assert!(connections * buffers + memory.requests + least_rest <= memory_mb * BYTES_PER_MEGABYTE);
}

/// The platform's limits allow all of its descriptors to be used.
#[test]
fn the_least_memory_has_buffers_for_all_descriptors_of_the_platform() {
    assert!(MemoryDivision::of(&Limits { memory_mb: 32, sockets: 1_024 }).max_connections() >= 1_000);
}
