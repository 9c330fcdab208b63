//! Storage behind the stand-in platform: versioned rows, their change history,
//! and objects.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use bytes::Bytes;
use cardamomshed_platform::store::{self, RowsResponse, Transaction, WireCondition, WireRow};
use serde_json::Value;

/// Version and encoded value of a row.
#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    value: String,
}

/// Tables by name, and objects.
#[derive(Clone, Debug, Default)]
pub(super) struct Tables {
    by_name: HashMap<String, BTreeMap<String, Stored>>,
    objects: HashMap<String, Bytes>,
    /// Changes in the order of their versions.
    history: Vec<WireRow>,
    /// Changes up to this version are no longer in the history.
    cleared_version: u64,
    /// Version of the last transaction, counted over all tables; reused only after
    /// the tables were replaced by an older copy.
    version: u64,
}

impl Tables {
    pub(super) fn get(&self, table: &str, key: &str) -> Option<Value> {
        let stored = self.by_name.get(table)?.get(key)?;
        Some(store::decode(&stored.value))
    }

    pub(super) fn rows(&self, table: &str) -> usize {
        self.by_name.get(table).map_or(0, BTreeMap::len)
    }

    /// Up to `limit` rows with keys from `from`, inclusive, to `target`,
    /// exclusive.
    pub(super) fn range(
        &self,
        table: &str,
        from: &str,
        target: Option<&str>,
        limit: usize,
    ) -> RowsResponse {
        let bounds = (
            Bound::Included(from.to_owned()),
            target.map_or(Bound::Unbounded, |target| {
                Bound::Excluded(target.to_owned())
            }),
        );
        let rows = self.by_name.get(table);
        let mut rows = rows
            .into_iter()
            .flat_map(|rows| rows.range::<String, _>(bounds.clone()))
            .map(|(key, stored)| WireRow {
                table: table.to_owned(),
                key: key.clone(),
                value: stored.value.clone(),
                version: stored.version,
                ..WireRow::default()
            });
        let page = rows.by_ref().take(limit).collect();
        RowsResponse {
            rows: page,
            more: rows.next().is_some(),
            version: self.version,
        }
    }

    /// Changes of a table after a version; `None` if the history no longer goes
    /// back that far, or the version has not been reached.
    pub(super) fn since(&self, table: &str, after: u64) -> Option<RowsResponse> {
        if after < self.cleared_version || after > self.version {
            return None;
        }
        let newer = |row: &&WireRow| row.table == table && row.version > after;
        Some(RowsResponse {
            rows: self.history.iter().filter(newer).cloned().collect(),
            more: false,
            version: self.version,
        })
    }

    pub(super) fn clear_history(&mut self) {
        self.history.clear();
        self.cleared_version = self.version;
    }

    /// Applies all writes and removals if every condition is met, and returns
    /// the new version. Otherwise changes nothing and returns the current rows
    /// that the conditions name.
    pub(super) fn transact(&mut self, transaction: &Transaction) -> Result<u64, RowsResponse> {
        if !transaction
            .precondition
            .iter()
            .all(|condition| self.is_met(condition))
        {
            return Err(self.current(&transaction.precondition));
        }
        self.version += 1;
        let version = self.version;
        for write in &transaction.writes {
            let value = write.value.clone().unwrap_or_default();
            let stored = Stored {
                version,
                value: value.clone(),
            };
            let rows = self.by_name.entry(write.table.clone()).or_default();
            rows.insert(write.key.clone(), stored);
            self.record_change(&write.table, &write.key, value, false);
        }
        for write in &transaction.remove {
            let rows = self.by_name.entry(write.table.clone()).or_default();
            rows.remove(&write.key);
            self.record_change(&write.table, &write.key, String::new(), true);
        }
        Ok(version)
    }

    fn record_change(&mut self, table: &str, key: &str, value: String, removed: bool) {
        self.history.push(WireRow {
            table: table.to_owned(),
            partition: String::new(),
            key: key.to_owned(),
            value,
            version: self.version,
            removed,
        });
    }

    fn is_met(&self, condition: &WireCondition) -> bool {
        let stored = self
            .by_name
            .get(&condition.table)
            .and_then(|rows| rows.get(&condition.key));
        stored.map_or(0, |stored| stored.version) == condition.version
    }

    fn current(&self, conditions: &[WireCondition]) -> RowsResponse {
        let rows = conditions.iter().filter_map(|condition| {
            let stored = self.by_name.get(&condition.table)?.get(&condition.key)?;
            Some(WireRow {
                table: condition.table.clone(),
                key: condition.key.clone(),
                value: stored.value.clone(),
                version: stored.version,
                ..WireRow::default()
            })
        });
        RowsResponse {
            rows: rows.collect(),
            more: false,
            version: self.version,
        }
    }

    pub(super) fn object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    pub(super) fn put_object(&mut self, name: &str, contents: &Bytes) {
        self.objects.insert(name.to_owned(), contents.clone());
    }
}
