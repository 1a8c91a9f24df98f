//! Log lines at a bounded rate: of each kind one a second, with the number of those held back in between.

use std::collections::HashMap;

const SPACE: u64 = 1_000;

#[derive(Debug, Default)]
pub(crate) struct Teller {
    kinds: HashMap<&'static str, (u64, u64)>,
}

impl Teller {
    /// What to add to a line of this kind that is due; `None` where it is held back.
    pub(crate) fn may(&mut self, kind: &'static str, now: u64) -> Option<String> {
        let (next, held) = self.kinds.entry(kind).or_default();
        if now < *next {
            *held += 1;
            return None;
        }
        *next = now + SPACE;
        let more = std::mem::take(held);
        Some(if more > 0 { format!(" (and {more} more like it)") } else { String::new() })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_a_second_of_each_kind_and_the_rest_counted() {
        let mut teller = Teller::default();
        assert_eq!(teller.may("a", 0), Some(String::new()));
        assert_eq!((teller.may("a", 10), teller.may("a", 999)), (None, None));
        assert_eq!(teller.may("b", 10), Some(String::new()));
        assert_eq!(teller.may("a", 1_000), Some(" (and 2 more like it)".into()));
        assert_eq!(teller.may("a", 2_500), Some(String::new()));
    }
}
