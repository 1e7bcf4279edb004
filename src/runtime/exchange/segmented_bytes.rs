//! Bytes in segments of limited size.
//!
//! Buffers that each grow to a size of their own leave holes in the heap that fit no other buffer. A long
//! body is kept in segments of few sizes instead, so that the memory of one fits the next.

use bytes::{Buf, Bytes};
use std::io::IoSlice;
use std::sync::Arc;

/// A sequence of bytes in segments, which clones share. Reading it as a [`Buf`] leaves other clones unchanged.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBytes {
    segments: Arc<[Bytes]>,
    /// The index of the segment that is read next.
    next: usize,
    /// The number of bytes of that segment that have been read.
    offset: usize,
    remaining: usize,
}

impl SegmentedBytes {
    /// The number of bytes that have not been read.
    pub fn len(&self) -> usize {
        self.remaining
    }

    /// Whether no bytes are left to read.
    pub fn is_empty(&self) -> bool {
        self.remaining == 0
    }

    /// The bytes that have not been read, in one piece. Copies them unless they are in one segment.
    pub fn to_contiguous(&self) -> Bytes {
        match &self.segments[..] {
            [single] => single.slice(self.offset..),
            _ => self.clone().copy_to_bytes(self.remaining),
        }
    }

    /// The rest of each segment that has not been read.
    fn unread_segments(&self) -> impl Iterator<Item = &[u8]> {
        let offset_of = |index| if index == self.next { self.offset } else { 0 };
        let unread = self.segments.iter().enumerate().skip(self.next);
        unread.map(move |(index, segment)| &segment[offset_of(index)..])
    }
}

impl FromIterator<Bytes> for SegmentedBytes {
    fn from_iter<I: IntoIterator<Item = Bytes>>(segments: I) -> Self {
        let segments: Arc<[Bytes]> = segments.into_iter().filter(|segment| !segment.is_empty()).collect();
        let remaining = segments.iter().map(Bytes::len).sum();
        SegmentedBytes { segments, next: 0, offset: 0, remaining }
    }
}

impl From<Bytes> for SegmentedBytes {
    fn from(bytes: Bytes) -> Self {
        std::iter::once(bytes).collect()
    }
}

impl Buf for SegmentedBytes {
    fn remaining(&self) -> usize {
        self.remaining
    }

    fn chunk(&self) -> &[u8] {
        self.unread_segments().next().unwrap_or_default()
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let filled = slices.iter_mut().zip(self.unread_segments());
        filled.map(|(slice, segment)| *slice = IoSlice::new(segment)).count()
    }

    fn advance(&mut self, count: usize) {
        assert!(count <= self.remaining, "cannot advance past the end");
        self.remaining -= count;
        self.offset += count;
        while let Some(segment) = self.segments.get(self.next).filter(|segment| segment.len() <= self.offset)
        {
            self.offset -= segment.len();
            self.next += 1;
        }
    }
}

#[cfg(test)]
mod tests;
