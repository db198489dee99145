//! What an owner keeps per entry after it has dropped the records of that entry's attempts.

use std::collections::HashMap;

/// Longest step of the clock that counts as elapsed. A process that was paused must not drop the
/// tombstones that protect it from messages that waited in its socket buffers during the pause.
const MAX_STEP_US: u64 = 1_000_000;

/// How long an entry's state is kept after its last message. Longer than a regional partition (one
/// hour) and than the longest deadline (one hour).
const ENTRY_RETENTION_US: u64 = 2 * 3_600_000_000;

/// Measures how long the process has been running, without pauses.
#[derive(Debug, Default)]
pub(crate) struct AwakeClock {
    last_us: u64,
    awake_us: u64,
}

impl AwakeClock {
    /// Advances the clock to `now_us` and returns the awake time, which is the running time without
    /// pauses.
    pub(crate) fn advance(&mut self, now_us: u64) -> u64 {
        let step_us = now_us.saturating_sub(self.last_us).min(MAX_STEP_US);
        self.last_us = self.last_us.max(now_us);
        self.awake_us += step_us;
        self.awake_us
    }

    /// The awake time that the clock will show at `now_us` if there is no pause until then.
    pub(crate) fn awake_at_us(&self, now_us: u64) -> u64 {
        self.awake_us + now_us.saturating_sub(self.last_us)
    }
}

/// State of one entry. Its bounds on call sequences replace dropped records: they cost memory per
/// entry, not per attempt. They may refuse an attempt, or report it as forgotten, that never ran,
/// but never let an attempt run again.
#[derive(Debug, Default)]
pub(crate) struct EntryState {
    /// Highest connection generation of the entry's messages; attempts of lower ones are refused.
    pub(crate) generation: u64,
    /// Unknown attempts of calls below this sequence did not and will not start.
    pub(crate) refused_below: u64,
    /// Unknown attempts of calls below this sequence may have run. The index is 1 for keyed calls
    /// and 0 for others.
    pub(crate) forgotten_below: [u64; 2],
    records: usize,
    last_message_us: u64,
}

/// State of all entries, by their random `origin` number.
#[derive(Debug)]
pub(crate) struct EntryStates {
    max_entries: usize,
    entries: HashMap<u64, EntryState>,
}

impl EntryStates {
    pub(crate) fn new(max_entries: usize) -> Self {
        EntryStates {
            max_entries,
            entries: HashMap::new(),
        }
    }

    /// The state of an entry that has sent a message now; `None` if the entry is new and the table
    /// is full.
    pub(crate) fn get_or_insert(&mut self, awake_us: u64, origin: u64) -> Option<&mut EntryState> {
        if !self.entries.contains_key(&origin) && self.entries.len() >= self.max_entries {
            self.purge(awake_us);
            if self.entries.len() >= self.max_entries {
                return None;
            }
        }
        let state = self.entries.entry(origin).or_default();
        state.last_message_us = awake_us;
        Some(state)
    }

    /// Counts a new record of an entry.
    pub(crate) fn add_record(&mut self, origin: u64) {
        if let Some(state) = self.entries.get_mut(&origin) {
            state.records += 1;
        }
    }

    /// Replaces a dropped record by raising one of the bounds of its entry.
    pub(crate) fn drop_record(&mut self, origin: u64, sequence: u64, started: bool, keyed: bool) {
        let Some(state) = self.entries.get_mut(&origin) else {
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

    /// Drops entries without records that have sent nothing for `ENTRY_RETENTION_US`.
    fn purge(&mut self, awake_us: u64) {
        self.entries
            .retain(|_, e| e.records > 0 || awake_us < e.last_message_us + ENTRY_RETENTION_US);
    }
}
