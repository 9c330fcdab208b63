//! Tables and objects in memory.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use bytes::Bytes;
use cardamomshed_platform::{Expect, Operation, Row};
use serde_json::Value;

/// Tables and objects.
#[derive(Debug, Default)]
pub(super) struct Tables {
    by_name: HashMap<String, BTreeMap<String, (u64, Value)>>,
    objects: HashMap<String, Bytes>,
    /// Version of the last write; versions are never used twice.
    version: u64,
}

impl Tables {
    pub(super) fn get(&self, table: &str, key: &str) -> Option<Row> {
        let (version, value) = self.by_name.get(table)?.get(key)?;
        Some(Row {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    pub(super) fn list(&self, table: &str, after: &str, limit: usize) -> Vec<Row> {
        let Some(rows) = self.by_name.get(table) else {
            return Vec::new();
        };
        let behind = (Bound::Excluded(after.to_owned()), Bound::Unbounded);
        let rows = rows.range::<String, _>(behind).take(limit);
        rows.map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
        .collect()
    }

    /// Makes all the writes or none; gives the versions.
    pub(super) fn transact(&mut self, operations: &[Operation]) -> Option<Vec<u64>> {
        let met = |write: &Operation| {
            let row = self
                .by_name
                .get(&write.table)
                .and_then(|rows| rows.get(&write.key));
            match write.expect {
                Expect::Any => true,
                Expect::Absent => row.is_none(),
                Expect::Version(version) => row.is_some_and(|(found, _)| *found == version),
            }
        };
        if !operations.iter().all(met) {
            return None;
        }
        let versions = operations.iter().map(|write| {
            self.version += 1;
            let rows = self.by_name.entry(write.table.clone()).or_default();
            match &write.value {
                Some(value) => {
                    rows.insert(write.key.clone(), (self.version, value.clone()));
                }
                None => {
                    rows.remove(&write.key);
                }
            }
            self.version
        });
        Some(versions.collect())
    }

    pub(super) fn object(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    pub(super) fn put_object(&mut self, name: &str, contents: &Bytes) {
        self.objects.insert(name.to_owned(), contents.clone());
    }
}
