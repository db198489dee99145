//! Quantiles of recent latencies, from a histogram with logarithmic buckets.

/// Buckets per doubling of the latency; limits the error of a quantile to about nine percent.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Number of buckets; the last one starts above one hour.
const BUCKETS: usize = 264;
/// Number of samples at which all counts are halved, so that recent samples weigh more.
const HALVING_SAMPLES: u32 = 1_024;
/// Fewest samples for a quantile.
const MIN_SAMPLES: u32 = 32;

/// Histogram of recent latencies.
#[derive(Clone, Debug)]
pub(crate) struct RecentLatency {
    counts: Vec<u32>,
    total: u32,
}

impl RecentLatency {
    pub(crate) fn new() -> Self {
        RecentLatency {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }

    pub(crate) fn record(&mut self, latency_us: u64) {
        self.counts[bucket_index(latency_us)] += 1;
        self.total += 1;
        if self.total >= HALVING_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Upper bound of the bucket that contains the quantile; `None` with fewer than `MIN_SAMPLES`.
    pub(crate) fn quantile_us(&self, percent: u8) -> Option<u64> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(percent)).div_ceil(100);
        let mut samples = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            samples += u64::from(count);
            if samples >= rank {
                return Some(upper_bound_us(index));
            }
        }
        None
    }
}

fn bucket_index(latency_us: u64) -> usize {
    let position = (latency_us.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (position as usize).min(BUCKETS - 1)
}

fn upper_bound_us(index: usize) -> u64 {
    ((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2().ceil() as u64
}
