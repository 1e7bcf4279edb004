//! Incremental search for the end of a JSON object.

/// Tracks the brace depth and string state of one JSON object; scans each byte once.
#[derive(Default)]
pub struct ObjectScanner {
    /// Number of bytes scanned so far.
    scanned_bytes: usize,
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    is_complete: bool,
}

impl ObjectScanner {
    /// Scans the bytes appended to the buffer since the last call. Returns whether the buffer holds a
    /// complete object. The buffer has to start with the object.
    pub fn scan(&mut self, buffer: &[u8]) -> bool {
        for byte in buffer.iter().skip(self.scanned_bytes) {
            if self.is_complete {
                break;
            }
            self.scanned_bytes += 1;
            self.scan_byte(*byte);
        }
        self.is_complete
    }

    fn scan_byte(&mut self, byte: u8) {
        if self.is_escaped {
            self.is_escaped = false;
            return;
        }
        match byte {
            b'\\' if self.is_in_string => self.is_escaped = true,
            b'"' => self.is_in_string = !self.is_in_string,
            _ if self.is_in_string => {}
            b'{' => self.depth += 1,
            b'}' => {
                self.depth = self.depth.saturating_sub(1);
                self.is_complete = self.depth == 0;
            }
            _ => {}
        }
    }
}
