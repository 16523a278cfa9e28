//! The rows of the table service.

use cloud::table::{Outcome, Read, Row, Transaction};

/// Rows sorted by key, and the version of the last commit.
#[derive(Debug, Default)]
pub(super) struct Store {
    rows: Vec<Row>,
    version: u64,
}

impl Store {
    pub(super) fn read(&self, read: &Read) -> Vec<Row> {
        let mut rows: Vec<Row> = read
            .keys
            .iter()
            .filter_map(|key| Some(self.rows[self.find(key).ok()?].clone()))
            .collect();
        for prefix in &read.prefixes {
            let start = self
                .rows
                .partition_point(|row| row.key.as_str() < prefix.as_str());
            let matching = self.rows[start..]
                .iter()
                .take_while(|row| row.key.starts_with(prefix.as_str()));
            rows.extend(matching.cloned());
        }
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows.dedup();
        rows
    }

    pub(super) fn commit(&mut self, transaction: &Transaction) -> Outcome {
        let conflicts: Vec<Row> = transaction
            .checks
            .iter()
            .filter_map(|check| {
                let current = self.current(&check.key);
                (current.version != check.version).then_some(current)
            })
            .collect();
        if !conflicts.is_empty() {
            return Outcome::Conflict(conflicts);
        }
        self.version += 1;
        for write in &transaction.writes {
            self.write(&write.key, write.value.as_deref());
        }
        Outcome::Committed(self.version)
    }

    fn current(&self, key: &str) -> Row {
        match self.find(key) {
            Ok(at) => self.rows[at].clone(),
            Err(_) => Row {
                key: key.to_owned(),
                version: 0,
                value: String::new(),
            },
        }
    }

    fn write(&mut self, key: &str, value: Option<&str>) {
        let row = value.map(|value| Row {
            key: key.to_owned(),
            version: self.version,
            value: value.to_owned(),
        });
        match (self.find(key), row) {
            (Ok(at), Some(row)) => self.rows[at] = row,
            (Ok(at), None) => {
                self.rows.remove(at);
            }
            (Err(at), Some(row)) => self.rows.insert(at, row),
            (Err(_), None) => {}
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }
}
