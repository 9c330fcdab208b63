//! Merging of records into the local view.

use std::sync::Arc;

use super::{Change, Fleet, Member, Output, Record, State};
use crate::moment::Moment;

/// Where a record comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// A packet, or an observation of this member.
    Gossip,
    /// An exchange. Others learn the record the same way, so it is not
    /// disseminated.
    Exchange,
}

impl Fleet {
    /// Merges the records of an exchange.
    pub fn merge_all(&mut self, records: Vec<Record>, now: Moment) -> Output {
        let mut output = Output::default();
        for record in records {
            self.merge(record, Source::Exchange, now, &mut output);
        }
        output
    }

    pub(super) fn merge(
        &mut self,
        mut record: Record,
        source: Source,
        now: Moment,
        output: &mut Output,
    ) {
        if record.name == self.own.name {
            self.take_departure(&record, output);
            self.refute(&record);
            return;
        }
        self.keep_departure(&mut record, source);
        let known = self.members.get(&record.name);
        let previous_address = known.map(|member| member.record.profile.gossip);
        let precedes = record.state == State::Failed && record.incarnation < self.process;
        let before = match self.members.get_mut(&record.name) {
            Some(member) if !record.supersedes(&member.record) => return,
            Some(member) => {
                if member.record.state.is_active() {
                    self.others_digest ^= member.record.digest();
                }
                let before = member.record.state;
                member.record = record.clone();
                member.changed_at = now;
                member.is_released = false;
                member.is_inherited &= precedes;
                member.probed_at = None;
                Some(before)
            }
            None => {
                let name = Arc::clone(&record.name);
                let member = Member {
                    record: record.clone(),
                    changed_at: now,
                    is_released: false,
                    is_inherited: precedes,
                    probed_at: None,
                    offset: None,
                    calibrated_at: None,
                    verified_at: None,
                };
                self.members.insert(name, member);
                None
            }
        };
        if record.state.is_active() {
            self.others_digest ^= record.digest();
        }
        if source == Source::Gossip {
            self.queue.add(Arc::clone(&record.name));
        }
        let changed = record.clone();
        output.changes.push(Change { record, before });
        if let Some(address) = previous_address
            && self.by_address.get(&address) == Some(&changed.name)
        {
            self.by_address.remove(&address);
        }
        if changed.state.is_active() {
            self.resolve_address(&changed, now, output);
        }
    }

    /// Adds the address of an active member to the index. Two members cannot live
    /// at one address, so the one that started earlier has failed. This happens
    /// when the address of a lost machine is used again while a row of the platform
    /// still lists that machine.
    fn resolve_address(&mut self, record: &Record, now: Moment, output: &mut Output) {
        let address = record.profile.gossip;
        if address == self.own.profile.gossip {
            self.set_state(&record.name, State::Failed, now, output);
            return;
        }
        let holder = self.by_address.get(&address).cloned();
        let Some(holder) = holder.filter(|holder| *holder != record.name) else {
            self.by_address.insert(address, Arc::clone(&record.name));
            return;
        };
        let held_since = self.get(&holder).map_or(0, |held| held.incarnation);
        let failed = if held_since < record.incarnation {
            self.by_address.insert(address, Arc::clone(&record.name));
            holder
        } else {
            Arc::clone(&record.name)
        };
        self.set_state(&failed, State::Failed, now, output);
    }

    /// Raises the own incarnation above that of a record that would replace it.
    fn refute(&mut self, record: &Record) {
        let refutable = record.incarnation > self.own.incarnation
            || (record.incarnation == self.own.incarnation && record.state > self.own.state);
        if refutable {
            self.own.incarnation = record.incarnation + 1;
            self.own_changed_at = self.now;
            self.queue.add(Arc::clone(&self.own.name));
        }
    }

    pub(super) fn set_state(&mut self, name: &str, state: State, now: Moment, output: &mut Output) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let record = Record {
            state,
            ..member.record.clone()
        };
        self.merge(record, Source::Gossip, now, output);
    }
}
