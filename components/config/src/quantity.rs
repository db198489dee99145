//! Numbers that operators submit and read back.

use crate::decimal::Decimal;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// A number in the notation in which it was submitted, so that it reads back the same.
///
/// The order of the variants is part of the format of stored configurations.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Quantity {
    /// A whole number.
    Whole(i64),
    /// A finite number in the notation that Rust's `Debug` gives it.
    Fraction(f64),
    /// A number in another notation, or one that the other variants would round.
    Text(Arc<str>),
}

impl Quantity {
    /// Parses a number in JSON notation; `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        Decimal::parse(text)?;
        let whole = text.parse().ok().map(Quantity::Whole);
        let fraction = || text.parse().ok().map(Quantity::Fraction);
        let reads_back = |quantity: &Quantity| quantity.to_string() == text;
        let quantity = whole
            .filter(reads_back)
            .or_else(|| fraction().filter(reads_back))
            .unwrap_or_else(|| Quantity::Text(text.into()));
        Some(quantity)
    }

    /// The exact value.
    pub fn value(&self) -> Decimal {
        Decimal::parse(&self.to_string()).unwrap_or_else(|| Decimal::from(0))
    }

    /// The value for calculations: the nearest finite number, and not 0 unless the value is 0.
    pub fn to_f64(&self) -> f64 {
        let value = match self {
            Quantity::Whole(value) => *value as f64,
            Quantity::Fraction(value) => *value,
            Quantity::Text(text) => text.parse().unwrap_or(0.0),
        };
        match value == 0.0 && !self.value().is_zero() {
            true if self.value().is_negative() => -f64::MIN_POSITIVE,
            true => f64::MIN_POSITIVE,
            false => value.clamp(f64::MIN, f64::MAX),
        }
    }

    /// The whole part, at most `u64::MAX`; 0 for a negative number.
    pub fn to_u64(&self) -> u64 {
        match self {
            Quantity::Whole(value) => u64::try_from(*value).unwrap_or(0),
            Quantity::Fraction(_) | Quantity::Text(_) => self.value().whole(),
        }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Quantity::Whole(value) => write!(f, "{value}"),
            Quantity::Fraction(value) => write!(f, "{value:?}"),
            Quantity::Text(text) => f.write_str(text),
        }
    }
}

impl PartialEq for Quantity {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Quantity::Whole(own), Quantity::Whole(others)) => own == others,
            (Quantity::Fraction(own), Quantity::Fraction(others)) => {
                own.to_bits() == others.to_bits()
            }
            (Quantity::Text(own), Quantity::Text(others)) => own == others,
            _ => false,
        }
    }
}

impl Eq for Quantity {}

impl From<u64> for Quantity {
    fn from(number: u64) -> Self {
        match i64::try_from(number) {
            Ok(number) => Quantity::Whole(number),
            Err(_) => Quantity::Text(number.to_string().into()),
        }
    }
}
