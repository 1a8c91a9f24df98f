//! Serialization of a [`UnixTime`] in the cache file: a JSON number of Unix milliseconds.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use timestamps::UnixTime;

pub(crate) fn serialize<S: Serializer>(time: &UnixTime, serializer: S) -> Result<S::Ok, S::Error> {
    time.as_millis().serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<UnixTime, D::Error> {
    u64::deserialize(deserializer).map(UnixTime::from_millis)
}

/// Serialization of an optional [`UnixTime`]: a number of Unix milliseconds, or `null`.
pub(crate) mod optional {
    use super::{Deserialize, Deserializer, Serialize, Serializer, UnixTime};

    pub(crate) fn serialize<S: Serializer>(
        time: &Option<UnixTime>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        time.map(UnixTime::as_millis).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<UnixTime>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(UnixTime::from_millis))
    }
}

#[cfg(test)]
mod tests;
