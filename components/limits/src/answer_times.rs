//! How long answers take by profile, and which calls are given up because theirs won't come.
//!
//! Workload: an upstream hangs or drops part of its calls while its health checks and its other
//! calls are answered as usual. Such a call holds its caller until the deadline although another
//! upstream could have answered long before. A call must not be given up because the upstream is
//! slow or busy: it would run twice, at a time when capacity is short.

use model::ProfileName;
use std::collections::HashMap;

/// Quantile of the answer times that counts as usual, in percent.
const USUAL_QUANTILE_PERCENT: u64 = 99;
/// Finished calls of a profile from which its quantile is known; fewer have no 99th percentile.
const MIN_SAMPLES: u32 = 100;
/// Samples at which all counts are halved, so that the quantile follows changes of the load.
const MAX_SAMPLES: u32 = 1_000;
/// Factor over the quantile. Slower answers would otherwise be cut off one by one and vanish from
/// the measurement, which would lower the quantile more and more.
const QUANTILE_FACTOR: u64 = 2;
/// Factor over the expected time; on calls of equal length the quantile is close to the mean.
const EXPECTED_FACTOR: u64 = 4;
/// Shortest silence after which a call is given up, in microseconds; a pause of the process or a
/// lost segment on the way takes as long.
const MIN_SILENCE_US: u64 = 50_000;
/// Answers to other calls that show that an upstream without load figures works as usual.
const MIN_ANSWERS: u64 = 2;
/// Buckets of the histogram for each doubling of the time.
const BUCKETS_PER_DOUBLING: usize = 4;
/// Number of buckets, up to about 16 s.
const BUCKETS: usize = 24 * BUCKETS_PER_DOUBLING;
/// Maximum number of profiles in the table; it is cleared when one more is added.
const MAX_PROFILES: usize = 512;

/// Histogram of answer times on a logarithmic scale.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
}

impl Histogram {
    fn record(&mut self, time_us: u64) {
        self.counts[bucket_of(time_us)] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        }
    }

    /// Upper bound of the bucket that holds the quantile.
    fn usual_us(&self) -> u64 {
        let rank = (u64::from(self.total) * USUAL_QUANTILE_PERCENT).div_ceil(100);
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += u64::from(*count);
            seen >= rank
        });
        upper_bound_us(bucket.unwrap_or(BUCKETS - 1))
    }
}

fn bucket_of(time_us: u64) -> usize {
    let doublings = (time_us.max(1) as f64).log2();
    ((doublings * BUCKETS_PER_DOUBLING as f64) as usize).min(BUCKETS - 1)
}

fn upper_bound_us(bucket: usize) -> u64 {
    2_f64.powf((bucket + 1) as f64 / BUCKETS_PER_DOUBLING as f64) as u64
}

/// Answer times of the calls of each profile at one upstream.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    histograms: HashMap<ProfileName, Histogram>,
}

impl AnswerTimes {
    /// Records a call that ended with an answer.
    pub fn record(&mut self, profile: &ProfileName, time_us: u64) {
        if let Some(histogram) = self.histograms.get_mut(profile) {
            return histogram.record(time_us);
        }
        if self.histograms.len() >= MAX_PROFILES {
            self.histograms.clear();
        }
        let histogram = self.histograms.entry(profile.clone()).or_insert(Histogram {
            counts: [0; BUCKETS],
            total: 0,
        });
        histogram.record(time_us);
    }

    /// Silence after which a call of the profile may be given up; `None` if too few of its calls
    /// have ended. `expected_us` is the mean answer time.
    pub fn silence_us(&self, profile: &ProfileName, expected_us: u64) -> Option<u64> {
        let histogram = self.histograms.get(profile)?;
        let is_known = histogram.total >= MIN_SAMPLES;
        is_known.then(|| {
            (histogram.usual_us() * QUANTILE_FACTOR)
                .max(expected_us * EXPECTED_FACTOR)
                .max(MIN_SILENCE_US)
        })
    }
}

/// A running call that may be given up.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredCall {
    /// Time at which it was sent.
    pub started_us: u64,
    /// Its deadline.
    pub deadline_us: u64,
    /// Silence after which it may be given up.
    pub silence_us: u64,
    /// Value of `UpstreamSigns::answers` when it was sent.
    pub answers_before: u64,
}

/// What the owner knows of the upstream's condition.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamSigns {
    /// Calls that the upstream has answered so far.
    pub answers: u64,
    /// Time of the last load report, if the upstream sends any.
    pub reported_us: Option<u64>,
    /// Calls that waited at the upstream according to that report.
    pub waiting: u32,
    /// Whether work on the upstream's host takes much longer than usual.
    pub is_slow: bool,
}

/// What to do about a call that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// Wait for the answer.
    Wait,
    /// Ask the upstream for a load report; the call has exceeded its limit since the last one.
    ReportNeeded,
    /// Give the call up.
    GiveUp(SilenceLimit),
}

/// Why a call is given up: its silence and the sign that the upstream works as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceLimit {
    /// Time since the call was sent.
    pub silent_us: u64,
    /// Longest silence allowed.
    pub limit_us: u64,
    /// Age of the load report that decided; `None` if answers to other calls did.
    pub report_age_us: Option<u64>,
}

impl UnansweredCall {
    /// Decides on the call. It is given up if its silence is over the limit, the upstream has shown
    /// since then that it works as usual, and there is time for an answer of another upstream.
    pub fn assess(&self, now_us: u64, signs: &UpstreamSigns) -> SilenceVerdict {
        let silent_us = now_us.saturating_sub(self.started_us);
        let limit_at_us = self.started_us.saturating_add(self.silence_us);
        let has_time = now_us + self.silence_us / QUANTILE_FACTOR <= self.deadline_us;
        if now_us < limit_at_us || !has_time || signs.is_slow {
            return SilenceVerdict::Wait;
        }
        let report_age_us = match signs.reported_us {
            Some(at_us) if at_us < limit_at_us => return SilenceVerdict::ReportNeeded,
            Some(_) if signs.waiting > 0 => return SilenceVerdict::Wait,
            Some(at_us) => Some(now_us.saturating_sub(at_us)),
            None if signs.answers < self.answers_before + MIN_ANSWERS => {
                return SilenceVerdict::Wait;
            }
            None => None,
        };
        SilenceVerdict::GiveUp(SilenceLimit {
            silent_us,
            limit_us: self.silence_us,
            report_age_us,
        })
    }
}
