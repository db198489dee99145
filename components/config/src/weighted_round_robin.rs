//! Divides the calls of a route by weight.

use crate::document::WeightedService;

/// Smooth weighted round robin: after any number of choices, each part's count differs from its
/// exact share by less than the number of parts. The choice never depends on how much room a part
/// has, so a full part turns its own share away instead of changing the split.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    weights: Vec<i64>,
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// A split without history; `seed` shifts its start, so that many entries don't begin alike.
    pub fn new(parts: &[WeightedService], seed: u64) -> Self {
        let weights: Vec<i64> = parts
            .iter()
            .map(|part| part.weight.thousandths.max(0))
            .collect();
        let mut split = WeightedRoundRobin {
            credits: vec![0; weights.len()],
            weights,
        };
        for _ in 0..seed % 101 {
            split.next_part();
        }
        split
    }

    /// Index of the part that the next call goes to; none if all weights are 0.
    pub fn next_part(&mut self) -> Option<usize> {
        let total: i64 = self.weights.iter().sum();
        if total == 0 {
            return None;
        }
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let chosen = (0..self.weights.len())
            .filter(|index| self.weights[*index] > 0)
            .max_by_key(|index| (self.credits[*index], std::cmp::Reverse(*index)))?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}
