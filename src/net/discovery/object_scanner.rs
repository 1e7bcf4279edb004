//! Where a JSON object ends, found as its bytes arrive.

/// Follows the braces and strings of one JSON object, looking at each byte once.
#[derive(Default)]
pub struct ObjectScanner {
    scanned: usize,
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    is_complete: bool,
}

impl ObjectScanner {
    /// Scans what has been appended to the buffer since the last call; whether the buffer holds a complete object. The
    /// buffer starts with the object.
    pub fn scan(&mut self, buffer: &[u8]) -> bool {
        for byte in buffer.iter().skip(self.scanned) {
            if self.is_complete {
                break;
            }
            self.scanned += 1;
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
