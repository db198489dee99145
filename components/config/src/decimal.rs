//! Exact values of decimal numbers, whatever their size.

use std::cmp::Ordering;

/// Largest magnitude of an exponent. Beyond it numbers count as equally large, or equally close to 0.
const MAX_EXPONENT: i64 = 1 << 60;
/// Most decimal digits of a `u64`.
const U64_DIGITS: i64 = 20;
/// Most decimal digits of which each combination fits into a `u128`.
const U128_DIGITS: i64 = 38;

/// A decimal number without rounding. Equal numbers are equal however they are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decimal {
    is_negative: bool,
    /// Digits after the point, without zeros at the start and at the end; none for 0.
    digits: String,
    /// Power of ten by which the digits after the point are multiplied; 0 for 0.
    exponent: i64,
}

impl Decimal {
    /// The value of a number in JSON notation; `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let (is_negative, unsigned) = match text.strip_prefix('-') {
            Some(unsigned) => (true, unsigned),
            None => (false, text),
        };
        let (significand, exponent) = match unsigned.split_once(['e', 'E']) {
            Some((significand, exponent)) => (significand, parse_exponent(exponent)?),
            None => (unsigned, 0),
        };
        let (whole, fraction) = match significand.split_once('.') {
            Some((_, "")) => return None,
            Some(parts) => parts,
            None => (significand, ""),
        };
        let has_leading_zero = whole.len() > 1 && whole.starts_with('0');
        if whole.is_empty() || has_leading_zero || !is_all_digits(whole) || !is_all_digits(fraction)
        {
            return None;
        }
        let point = exponent.saturating_add(whole.len() as i64);
        Some(Decimal::new(
            is_negative,
            &[whole, fraction].concat(),
            point,
        ))
    }

    /// `digits` after the point, multiplied by ten to the power of `exponent`.
    fn new(is_negative: bool, digits: &str, exponent: i64) -> Self {
        let significant = digits.trim_start_matches('0');
        let leading_zeros = (digits.len() - significant.len()) as i64;
        let exponent = exponent.saturating_sub(leading_zeros);
        let is_zero = significant.is_empty();
        Decimal {
            is_negative: is_negative && !is_zero,
            digits: significant.trim_end_matches('0').to_owned(),
            exponent: match is_zero {
                true => 0,
                false => exponent.clamp(-MAX_EXPONENT, MAX_EXPONENT),
            },
        }
    }

    /// Whether the number is below 0.
    pub fn is_negative(&self) -> bool {
        self.is_negative
    }

    /// Whether the number is 0.
    pub fn is_zero(&self) -> bool {
        self.digits.is_empty()
    }

    /// The whole part, at most `u64::MAX`; 0 for a negative number.
    pub fn whole(&self) -> u64 {
        if self.is_negative || self.exponent <= 0 {
            return 0;
        }
        if self.exponent > U64_DIGITS {
            return u64::MAX;
        }
        u64::try_from(self.first_digits(self.exponent)).unwrap_or(u64::MAX)
    }

    /// What the number has beyond its whole part.
    pub fn fraction(&self) -> Self {
        if self.exponent <= 0 {
            return self.clone();
        }
        let start = usize::try_from(self.exponent).unwrap_or(usize::MAX);
        let digits = self.digits.get(start..).unwrap_or_default();
        Decimal::new(self.is_negative, digits, 0)
    }

    /// Number of places before the point; negative if zeros follow it. `None` for 0.
    pub(crate) fn places(&self) -> Option<i64> {
        (!self.is_zero()).then_some(self.exponent)
    }

    /// The first `count` digits as a whole number, filled up with zeros. At most 38 digits fit.
    pub(crate) fn first_digits(&self, count: i64) -> u128 {
        let count = usize::try_from(count.min(U128_DIGITS)).unwrap_or(0);
        let given = self.digits.bytes().chain(std::iter::repeat(b'0'));
        given
            .take(count)
            .fold(0, |number, digit| number * 10 + u128::from(digit - b'0'))
    }

    fn cmp_magnitude(&self, other: &Self) -> Ordering {
        match (self.places(), other.places()) {
            (Some(own), Some(others)) => own
                .cmp(&others)
                .then_with(|| self.digits.cmp(&other.digits)),
            (own, others) => own.is_some().cmp(&others.is_some()),
        }
    }
}

impl Ord for Decimal {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self.is_negative, other.is_negative) {
            (false, false) => self.cmp_magnitude(other),
            (true, true) => other.cmp_magnitude(self),
            (own, others) => others.cmp(&own),
        }
    }
}

impl PartialOrd for Decimal {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl From<u64> for Decimal {
    fn from(number: u64) -> Self {
        let digits = number.to_string();
        Decimal::new(false, &digits, digits.len() as i64)
    }
}

fn is_all_digits(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// The exponent of a number in JSON notation, within the bounds of a [`Decimal`].
fn parse_exponent(text: &str) -> Option<i64> {
    let (is_negative, digits) = match text.strip_prefix('-') {
        Some(digits) => (true, digits),
        None => (false, text.strip_prefix('+').unwrap_or(text)),
    };
    if digits.is_empty() || !is_all_digits(digits) {
        return None;
    }
    let magnitude = digits.parse().unwrap_or(MAX_EXPONENT).min(MAX_EXPONENT);
    Some(if is_negative { -magnitude } else { magnitude })
}
