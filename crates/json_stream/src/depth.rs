//! Nesting depth of JSON.

/// Maximum nesting depth of arrays and objects. The JSON that the program reads is nested up to six levels deep.
pub const MAX_DEPTH: usize = 64;

/// Tracks the nesting depth over the bytes of a JSON text. Brackets in strings do not count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DepthTracker {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl DepthTracker {
    pub(crate) fn is_inside_object(&self) -> bool {
        self.depth > 0
    }

    pub(crate) fn exceeds_max(&self) -> bool {
        self.depth > MAX_DEPTH
    }

    /// Advances by one byte.
    pub(crate) fn advance(&mut self, byte: u8) {
        if self.in_string {
            self.advance_in_string(byte);
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    fn advance_in_string(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }
}

/// Whether a JSON text is nested more deeply than [`MAX_DEPTH`]. The text need not be valid JSON.
pub fn exceeds_max_depth(json: &[u8]) -> bool {
    let mut tracker = DepthTracker::default();
    json.iter().any(|&byte| {
        tracker.advance(byte);
        tracker.exceeds_max()
    })
}
