//! Numbers that operators submit and read back.

use serde::{Deserialize, Serialize};

/// A whole or fractional number, kept as it was submitted so that it reads back the same.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Quantity {
    /// A whole number.
    Whole(i64),
    /// A number with a fraction or beyond the range of whole ones.
    Fraction(f64),
}

impl Quantity {
    /// The value for calculations.
    pub fn as_f64(self) -> f64 {
        match self {
            Quantity::Whole(value) => value as f64,
            Quantity::Fraction(value) => value,
        }
    }

    /// Whether the value is finite and at least 0.
    pub fn is_valid_amount(self) -> bool {
        let value = self.as_f64();
        value.is_finite() && value >= 0.0
    }

    /// The submitted form, by which two numbers are compared.
    fn submitted(self) -> (bool, u64) {
        match self {
            Quantity::Whole(value) => (true, value as u64),
            Quantity::Fraction(value) => (false, value.to_bits()),
        }
    }
}

impl PartialEq for Quantity {
    fn eq(&self, other: &Self) -> bool {
        self.submitted() == other.submitted()
    }
}

impl Eq for Quantity {}
