//! The stored form of a moment: a JSON number of Unix milliseconds.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use timestamps::UnixTime;

pub(crate) fn serialize<S: Serializer>(moment: &UnixTime, serializer: S) -> Result<S::Ok, S::Error> {
    moment.as_millis().serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<UnixTime, D::Error> {
    u64::deserialize(deserializer).map(UnixTime::from_millis)
}

/// The stored form of a moment that may be absent: a number, or `null`.
pub(crate) mod optional {
    use super::{Deserialize, Deserializer, Serialize, Serializer, UnixTime};

    pub(crate) fn serialize<S: Serializer>(
        moment: &Option<UnixTime>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        moment.map(UnixTime::as_millis).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<UnixTime>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(UnixTime::from_millis))
    }
}

#[cfg(test)]
mod tests;
