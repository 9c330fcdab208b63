//! Recent release notes, for peers that are behind.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use cardamomshed_note::Note;

use crate::sync::lock;

/// Notes that are kept; a peer farther behind is sent the whole
/// configuration.
const CAPACITY: usize = 256;

/// Recent release notes.
#[derive(Debug, Default)]
pub struct History {
    /// Notes by revision, without gaps, the newest last.
    notes: Mutex<VecDeque<(u64, Arc<Note>)>>,
}

impl History {
    /// Adds the note that made `revision`.
    pub fn push(&self, revision: u64, note: Note) {
        let mut notes = lock(&self.notes);
        if notes.back().is_some_and(|(last, _)| last + 1 != revision) {
            notes.clear();
        }
        if notes.len() == CAPACITY {
            notes.pop_front();
        }
        notes.push_back((revision, Arc::new(note)));
    }

    /// Notes behind `after`, or `None` where some are no longer kept.
    pub fn since(&self, after: u64) -> Option<Vec<(u64, Arc<Note>)>> {
        let notes = lock(&self.notes);
        let first = notes.front().map(|(revision, _)| *revision)?;
        if first > after + 1 {
            return None;
        }
        let behind = notes.iter().filter(|(revision, _)| *revision > after);
        Some(behind.cloned().collect())
    }
}
