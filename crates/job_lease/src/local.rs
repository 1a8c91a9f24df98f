//! Claims kept in the process, for one box alone. They follow the same protocol, so a program that starts anew seeds its
//! duties like a store that came back empty, and a round that ran before the restart is not run again.

use crate::{Found, Held, Listing, Put, Record, Session};
use std::collections::HashMap;

/// The keys of one process.
#[derive(Debug, Default)]
pub struct Local {
    keys: HashMap<String, Held>,
    index: u64,
}

impl Local {
    /// A session; it lives as long as the process.
    pub fn open(&mut self) -> Session {
        Session { id: "local".into(), key: String::new() }
    }

    /// What stands under these names.
    pub fn read(&self, names: &[String]) -> Listing {
        let found = |name: &String| -> (String, Found) { (name.clone(), self.keys.get(name).cloned()) };
        Listing { held: names.iter().map(found).collect(), index: self.index }
    }

    /// Writes a record where the index under the name is still this one, 0 standing for no key.
    pub fn put(&mut self, name: &str, record: Record, index: u64) -> Put {
        if self.keys.get(name).map_or(0, |held| held.index) != index {
            return Put::Lost;
        }
        self.index += 1;
        self.keys.insert(name.to_owned(), Held { record, index: self.index });
        Put::Won { index: self.index }
    }

    /// Forgets the keys that `keep` does not know: duties that are gone.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.keys.retain(|name, _| keep(name));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_made_once_and_replaced_only_at_its_index() {
        let mut store = Local::default();
        let record = |round| Record { round, by: "a".into(), id: 1 };
        assert_eq!(store.put("d", record(1), 0), Put::Won { index: 1 });
        assert_eq!(store.put("d", record(2), 0), Put::Lost);
        assert_eq!(store.put("d", record(2), 1), Put::Won { index: 2 });
        assert_eq!(store.put("d", record(3), 1), Put::Lost);
        let listing = store.read(&["d".into(), "e".into()]);
        assert_eq!(listing.held[0].1.as_ref().map(|h| (h.record.round, h.index)), Some((2, 2)));
        assert_eq!(listing.held[1].1, None);
        store.retain(|name| name != "d");
        assert_eq!(store.read(&["d".into()]).held[0].1, None);
    }
}
