//! Unit tests of bytes in segments.

use super::*;

fn segmented() -> SegmentedBytes {
    ["one", "", "two", "three"].into_iter().map(Bytes::from).collect()
}

#[test]
fn segments_are_read_in_order_and_clones_are_independent() {
    let original = segmented();
    let mut read = original.clone();
    assert_eq!((read.len(), read.chunk()), (11, &b"one"[..]));
    read.advance(2);
    assert_eq!(read.chunk(), b"e");
    read.advance(2);
    assert_eq!(read.to_contiguous(), &b"wothree"[..]);
    read.advance(7);
    assert!(read.is_empty() && read.chunk().is_empty());
    assert_eq!(original.to_contiguous(), &b"onetwothree"[..]);
}

/// Guards against a long body that takes a system call for each of its segments.
#[test]
fn the_unread_parts_of_all_segments_are_written_at_once() {
    let mut read = segmented();
    read.advance(1);
    let mut slices = [IoSlice::new(&[]); 4];
    assert_eq!(read.chunks_vectored(&mut slices), 3);
    assert_eq!(slices.map(|slice| slice.to_vec()).concat(), b"netwothree");
    assert_eq!(read.chunks_vectored(&mut slices[..2]), 2);
}

#[test]
fn a_single_segment_is_not_copied() {
    let bytes = Bytes::from_static(b"single");
    assert_eq!(SegmentedBytes::from(bytes.clone()).to_contiguous().as_ptr(), bytes.as_ptr());
    assert!(SegmentedBytes::from(Bytes::new()).to_contiguous().is_empty());
}
