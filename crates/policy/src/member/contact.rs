//! Choice of the daemons to request members from, among those that rows of the
//! platform name.
//!
//! A contact becomes a member only when it answers, since rows may name daemons that
//! have ended.
//!
//! Daemons that start together may form groups that know nothing of each other. Each
//! group has a relay in each of its failure domains. A relay turns to
//!
//! - every contact of its own domain that is not a known active member, and
//! - one contact of each other domain of which it knows no active member.
//!
//! Two groups that have members in one domain meet by the first rule, and two that have
//! none by the second, since each lacks the domains of the other.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::Rng;

use super::{Fleet, Record};

impl Fleet {
    /// Contacts to request members from.
    ///
    /// `is_isolated` is whether no other daemon has answered yet. Such a daemon does not
    /// know whether it is a relay; it turns to the contacts of its failure domain and,
    /// from the second round on, to one of another.
    pub fn choose_contacts<'a>(
        &self,
        contacts: &'a [Record],
        is_isolated: bool,
        round: u32,
        random: &mut impl Rng,
    ) -> Vec<&'a Record> {
        let is_met = |contact: &&Record| {
            self.get(&contact.name)
                .is_some_and(|known| known.state.is_active())
        };
        let unknown = contacts
            .iter()
            .filter(|contact| contact.name != self.own.name && !is_met(contact));
        let (local, foreign): (Vec<_>, Vec<_>) =
            unknown.partition(|contact| self.is_local(contact));
        if is_isolated {
            let mut chosen = local;
            if (round > 0 || chosen.is_empty()) && !foreign.is_empty() {
                chosen.push(foreign[random.random_range(0..foreign.len())]);
            }
            return chosen;
        }
        if !self.is_relay() {
            return Vec::new();
        }
        let mut chosen = local;
        chosen.extend(self.choose_foreign(&foreign, random));
        chosen
    }

    /// One contact of each failure domain without a known active member.
    fn choose_foreign<'a>(
        &self,
        contacts: &[&'a Record],
        random: &mut impl Rng,
    ) -> Vec<&'a Record> {
        let mut by_domain = IndexMap::<Arc<str>, Vec<&Record>>::new();
        for contact in contacts {
            let domain = Arc::clone(&contact.profile.domain);
            by_domain.entry(domain).or_default().push(*contact);
        }
        for member in self.members().filter(|member| member.state.is_active()) {
            by_domain.swap_remove(&member.profile.domain);
        }
        let domains = by_domain.into_values();
        domains
            .map(|contacts| contacts[random.random_range(0..contacts.len())])
            .collect()
    }
}
