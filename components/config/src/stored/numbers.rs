//! Values in the forms that the formats have for them.

use crate::quantity::Quantity;
use serde::{Deserialize, Serialize};

/// Thousandths of one, the unit of weights in the first two formats.
const THOUSANDTHS: i64 = 1_000;

/// A value of type `T` in the form that a format has for it.
pub(super) trait Stored<T>: Sized {
    /// The value in this form; `None` if that would change it.
    fn store(value: &T) -> Option<Self>;

    /// The value that was stored.
    fn restore(self) -> T;
}

/// A field that a format doesn't have; it holds only the default.
impl<T: Default + PartialEq> Stored<T> for () {
    fn store(value: &T) -> Option<Self> {
        (*value == T::default()).then_some(())
    }

    fn restore(self) -> T {
        T::default()
    }
}

impl Stored<bool> for bool {
    fn store(value: &bool) -> Option<Self> {
        Some(*value)
    }

    fn restore(self) -> bool {
        self
    }
}

impl<T, S: Stored<T>> Stored<Option<T>> for Option<S> {
    fn store(value: &Option<T>) -> Option<Self> {
        match value {
            Some(value) => S::store(value).map(Some),
            None => Some(None),
        }
    }

    fn restore(self) -> Option<T> {
        self.map(S::restore)
    }
}

impl<T, S: Stored<T>> Stored<Vec<T>> for Vec<S> {
    fn store(values: &Vec<T>) -> Option<Self> {
        values.iter().map(S::store).collect()
    }

    fn restore(self) -> Vec<T> {
        self.into_iter().map(S::restore).collect()
    }
}

/// Whole numbers without a sign, in the usual notation.
macro_rules! stored_as_whole_number {
    ($($whole:ty),*) => {$(
        impl Stored<Quantity> for $whole {
            fn store(value: &Quantity) -> Option<Self> {
                match value {
                    Quantity::Whole(whole) => <$whole>::try_from(*whole).ok(),
                    Quantity::Text(text) => text.parse().ok(),
                    Quantity::Fraction(_) => None,
                }
                .filter(|stored| Quantity::from(u64::from(*stored)) == *value)
            }

            fn restore(self) -> Quantity {
                Quantity::from(u64::from(self))
            }
        }
    )*};
}

stored_as_whole_number!(u16, u32, u64);

/// The second format has no variant for text.
impl Stored<Quantity> for Quantity {
    fn store(value: &Quantity) -> Option<Self> {
        (!matches!(value, Quantity::Text(_))).then(|| value.clone())
    }

    fn restore(self) -> Quantity {
        self
    }
}

/// A weight in thousandths.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StoredWeight {
    thousandths: i64,
}

impl Stored<Quantity> for StoredWeight {
    fn store(value: &Quantity) -> Option<Self> {
        let thousandths = match value {
            Quantity::Whole(whole) => whole.checked_mul(THOUSANDTHS)?,
            Quantity::Fraction(fraction) => (fraction * THOUSANDTHS as f64).round() as i64,
            Quantity::Text(_) => return None,
        };
        let stored = StoredWeight { thousandths };
        (stored.restore() == *value).then_some(stored)
    }

    fn restore(self) -> Quantity {
        match self.thousandths % THOUSANDTHS {
            0 => Quantity::Whole(self.thousandths / THOUSANDTHS),
            _ => Quantity::Fraction(self.thousandths as f64 / THOUSANDTHS as f64),
        }
    }
}
