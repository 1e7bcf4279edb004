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
    let memory = MemoryDivision::of(memory_mb);
    let connections = descriptors.min(memory.max_connections());
    let buffers = BufferLimit::BUFFERS_PER_CONNECTION * memory.buffer_limit(connections).bytes();
    let least_rest = memory_mb * BYTES_PER_MEGABYTE / 8;
    let requests = memory.requests + memory.read_ahead;
    assert!(connections * buffers + requests + least_rest <= memory_mb * BYTES_PER_MEGABYTE);
}

/// The platform's limits allow all of its descriptors to be used.
#[test]
fn the_least_memory_has_buffers_for_all_descriptors_of_the_platform() {
    assert!(MemoryDivision::of(32).max_connections() >= 1_000);
}

#[rstest]
#[case::none(0)]
#[case::few(1_064)]
#[case::many(40_064)]
fn the_smallest_memory_limit_has_room_for_its_connections(#[case] connections: usize) {
    let memory_mb = MemoryDivision::min_memory_mb(connections);
    assert!(MemoryDivision::of(memory_mb).max_connections() >= connections);
    assert!(memory_mb == 0 || MemoryDivision::of(memory_mb - 1).max_connections() < connections);
}
