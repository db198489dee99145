//! What an owner remembers of each entry after the single records are gone.

use std::collections::HashMap;

/// Longest step of the clock that counts as elapsed. A paused process must not drop what protects
/// it from messages that waited in its socket buffers during the pause.
const MAX_STEP_US: u64 = 1_000_000;

/// Life of an entry's state after its last message. Longer than a regional partition (one hour)
/// and than the longest deadline (one hour).
const ORIGIN_LIFE_US: u64 = 2 * 3_600_000_000;

/// Measures how long the process has been running, leaving out pauses.
#[derive(Debug, Default)]
pub(crate) struct AwakeClock {
    last_us: u64,
    awake_us: u64,
}

impl AwakeClock {
    /// Moves to `now_us` and returns the awake time.
    pub(crate) fn advance(&mut self, now_us: u64) -> u64 {
        let step_us = now_us.saturating_sub(self.last_us).min(MAX_STEP_US);
        self.last_us = self.last_us.max(now_us);
        self.awake_us += step_us;
        self.awake_us
    }

    /// The awake time at which `now_us` will be reached without a pause.
    pub(crate) fn at(&self, now_us: u64) -> u64 {
        self.awake_us + now_us.saturating_sub(self.last_us)
    }
}

/// State of one entry. The two bounds replace dropped records: they cost memory per entry, not per
/// attempt, and err towards refusing or forgetting, never towards running again.
#[derive(Debug, Default)]
pub(crate) struct Origin {
    /// Messages of lower connection generations are never run.
    pub(crate) generation: u64,
    /// Unknown attempts of calls below this sequence did not and will not start.
    pub(crate) refused_below: u64,
    /// Unknown attempts of calls below this sequence may have run; by `keyed`.
    pub(crate) forgotten_below: [u64; 2],
    records: usize,
    seen_us: u64,
}

/// State of all entries.
#[derive(Debug)]
pub(crate) struct Origins {
    max: usize,
    map: HashMap<u64, Origin>,
}

impl Origins {
    pub(crate) fn new(max: usize) -> Self {
        Origins {
            max,
            map: HashMap::new(),
        }
    }

    /// The state of an entry; `None` if it is new and the table is full.
    pub(crate) fn touch(&mut self, awake_us: u64, origin: u64) -> Option<&mut Origin> {
        if !self.map.contains_key(&origin) && self.map.len() >= self.max {
            self.purge(awake_us);
            if self.map.len() >= self.max {
                return None;
            }
        }
        let state = self.map.entry(origin).or_default();
        state.seen_us = awake_us;
        Some(state)
    }

    /// Counts a new record of an entry.
    pub(crate) fn added(&mut self, origin: u64) {
        if let Some(state) = self.map.get_mut(&origin) {
            state.records += 1;
        }
    }

    /// Replaces a dropped record by the bounds of its entry.
    pub(crate) fn dropped(&mut self, origin: u64, sequence: u64, started: bool, keyed: bool) {
        let Some(state) = self.map.get_mut(&origin) else {
            return;
        };
        state.records = state.records.saturating_sub(1);
        let bound = if started {
            &mut state.forgotten_below[usize::from(keyed)]
        } else {
            &mut state.refused_below
        };
        *bound = (*bound).max(sequence + 1);
    }

    /// Drops entries without records that have sent nothing for `ORIGIN_LIFE_US`.
    fn purge(&mut self, awake_us: u64) {
        self.map
            .retain(|_, o| o.records > 0 || awake_us < o.seen_us + ORIGIN_LIFE_US);
    }
}
