//! Matches the responses of a kept connection to its requests by a header that the server repeats.

use crate::Headers;
use std::{
    collections::{VecDeque, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

/// Calls of one connection that are remembered. A copy of the response to an older call is not
/// recognised as a copy, but it still differs from what the current call expects.
const MAX_REMEMBERED: usize = 256;

/// Hash of the repeated header's value; `None` if the message doesn't have the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EchoValue(Option<u64>);

impl EchoValue {
    /// The value in these headers; without a `header` to compare, all values are equal.
    pub(crate) fn of(header: Option<&str>, headers: &Headers) -> Self {
        let value = header.and_then(|name| headers.get(name));
        EchoValue(value.map(|value| {
            let mut hasher = DefaultHasher::new();
            value.hash(&mut hasher);
            hasher.finish()
        }))
    }
}

/// Which call of a connection a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EchoMatch {
    /// The current call.
    Expected,
    /// A call that has ended: the response is a late copy.
    EarlierCall,
    /// None that is known.
    Unknown,
}

/// Repeated values of the calls that a connection has carried, the newest last.
#[derive(Debug, Default)]
pub(crate) struct EchoHistory(VecDeque<u64>);

impl EchoHistory {
    /// Remembers the value of a call that has ended.
    pub(crate) fn record(&mut self, EchoValue(value): EchoValue) {
        let Some(value) = value else { return };
        if self.0.len() >= MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(value);
    }

    /// Whether a remembered call had this value.
    pub(crate) fn contains(&self, EchoValue(value): EchoValue) -> bool {
        value.is_some_and(|value| self.0.contains(&value))
    }

    /// Compares the value in a response with the one that the current call expects.
    pub(crate) fn compare(&self, expected: EchoValue, received: EchoValue) -> EchoMatch {
        if received == expected {
            EchoMatch::Expected
        } else if self.contains(received) {
            EchoMatch::EarlierCall
        } else {
            EchoMatch::Unknown
        }
    }
}
