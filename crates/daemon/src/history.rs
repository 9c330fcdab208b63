//! Recent release notes, for peers whose configuration is older.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use cardamomshed_note::Note;

use crate::sync::lock;

/// Number of notes retained. A peer that needs older ones is sent the whole
/// configuration.
const CAPACITY: usize = 256;

/// Bounded history of release notes with consecutive revisions.
#[derive(Debug, Default)]
pub struct History {
    /// Notes by revision, without gaps, newest last.
    notes: Mutex<VecDeque<(u64, Arc<Note>)>>,
}

impl History {
    /// Appends the note that produced `revision` and evicts the oldest at capacity.
    /// A gap in the revisions clears the history first.
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

    /// Notes with a revision above `after`, or `None` if the history is empty or
    /// lacks some of them.
    pub fn since(&self, after: u64) -> Option<Vec<(u64, Arc<Note>)>> {
        let notes = lock(&self.notes);
        let first = notes.front().map(|(revision, _)| *revision)?;
        if first > after + 1 {
            return None;
        }
        let newer = notes.iter().filter(|(revision, _)| *revision > after);
        Some(newer.cloned().collect())
    }
}
