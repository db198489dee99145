//! Division of the calls of a route among several services by weight.

use crate::{decimal::Decimal, document::WeightedService};

/// Decimal digits with which the largest weight counts. What smaller weights have below its last
/// digit is left out, less than one call in 10^17.
const WEIGHT_DIGITS: i64 = 18;

/// Smooth weighted round robin: after any number of choices, each part's count differs from its
/// exact share by less than the number of parts. The choice doesn't depend on the capacity of a
/// part, so a part at capacity refuses its own share instead of changing the split.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    /// Proportions of the weights, below 10^18 each. Their sums, and products with a number of calls,
    /// have room in 128 bits.
    weights: Vec<i128>,
    credits: Vec<i128>,
}

impl WeightedRoundRobin {
    /// A round robin after `seed` calls, so that entries with other seeds choose small parts at other
    /// times. Otherwise none of them would choose such a part before many calls.
    pub fn new(parts: &[WeightedService], seed: u64) -> Self {
        let weights = proportions(parts);
        WeightedRoundRobin {
            credits: credits_after(seed, &weights),
            weights,
        }
    }

    /// Takes the part that the next call goes to and returns its index; `None` if all weights are 0.
    pub fn next_part(&mut self) -> Option<usize> {
        let chosen = self.upcoming_part()?;
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        self.credits[chosen] -= self.weights.iter().sum::<i128>();
        Some(chosen)
    }

    /// Index of the part that the next call goes to, without a change; `None` if all weights are 0.
    pub fn upcoming_part(&self) -> Option<usize> {
        let credit = |index: usize| self.credits[index] + self.weights[index];
        (0..self.weights.len())
            .filter(|index| self.weights[*index] > 0)
            .max_by_key(|index| (credit(*index), std::cmp::Reverse(*index)))
    }
}

/// Credits after this number of calls of which each part has had the whole number of its share, or
/// one more. The parts with the most left over have one more, until the numbers add up.
fn credits_after(calls: u64, weights: &[i128]) -> Vec<i128> {
    let sum: i128 = weights.iter().sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let left_over = |weight: &i128| (weight * i128::from(calls)) % sum;
    let mut credits: Vec<i128> = weights.iter().map(left_over).collect();
    let missing_calls = credits.iter().sum::<i128>() / sum;
    let mut order: Vec<usize> = (0..credits.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(credits[*index]));
    for index in order.into_iter().take(missing_calls as usize) {
        credits[index] -= sum;
    }
    credits
}

/// The weights as whole numbers in the same proportions, whatever their size.
fn proportions(parts: &[WeightedService]) -> Vec<i128> {
    let weights: Vec<Decimal> = parts.iter().map(|part| part.weight.value()).collect();
    let positive = weights.iter().filter(|weight| !weight.is_negative());
    let Some(places) = positive.filter_map(Decimal::places).max() else {
        return vec![0; weights.len()];
    };
    let proportion = |weight: &Decimal| match weight.places() {
        Some(own) if !weight.is_negative() => {
            weight.first_digits(WEIGHT_DIGITS - places.saturating_sub(own)) as i128
        }
        _ => 0,
    };
    weights.iter().map(proportion).collect()
}
