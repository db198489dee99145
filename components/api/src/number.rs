//! Numbers that are written as whole ones where they are, as other builds expect them.

use serde::{Serialize, Serializer};

/// Largest magnitude up to which each whole number is a value of its own.
const MAX_EXACT: f64 = 9_007_199_254_740_992.0;

pub(crate) fn serialize<S: Serializer>(number: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    match number.fract() == 0.0 && number.abs() <= MAX_EXACT {
        true => (*number as i64).serialize(serializer),
        false => number.serialize(serializer),
    }
}

pub(crate) fn serialize_option<S: Serializer>(
    number: &Option<f64>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match number {
        Some(number) => serialize(number, serializer),
        None => serializer.serialize_none(),
    }
}
