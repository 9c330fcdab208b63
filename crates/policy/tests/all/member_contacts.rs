//! Daemons that start together and have met in groups find the other groups by the
//! rows of the platform.

use std::collections::BTreeSet;

use cardamomshed_policy::Moment;
use cardamomshed_policy::member::{Config, Fleet, Record};
use rand::Rng;
use rand::rngs::StdRng;

use crate::{check, member_record, random};

/// Rows of each failure domain.
const ROWS: usize = 3;
/// Rounds within which all groups are to meet.
const ROUNDS: u32 = 12;

/// Number from which daemons that have ended are counted in their failure domain.
const ENDED: usize = 40;

fn record(domain: usize, number: usize) -> Record {
    let name = format!("node-{domain}-{number}");
    let port = (1_000 + domain * 50 + number) as u16;
    member_record(&format!("domain-{domain}"), &name, port)
}

/// Start of a fleet whose daemons have met in groups. Each knows all members of its
/// group and no others.
struct Startup {
    /// Members of each group, by index of their record.
    groups: Vec<BTreeSet<usize>>,
    records: Vec<Record>,
    contacts: Vec<Record>,
    random: StdRng,
}

impl Startup {
    fn new(records: Vec<Record>, contacts: Vec<Record>, groups: Vec<BTreeSet<usize>>) -> Self {
        Self {
            groups,
            records,
            contacts,
            random: random(),
        }
    }

    /// The view of a member of a group.
    fn view(&self, member: usize, group: &BTreeSet<usize>) -> Fleet {
        let own = self.records[member].clone();
        let mut fleet = Fleet::new(Config::default(), own.name, 1, own.profile);
        let others = group.iter().filter(|other| **other != member);
        let others = others.map(|other| self.records[*other].clone());
        fleet.merge_all(others.collect(), Moment::ZERO);
        fleet
    }

    /// Lets every daemon turn to its contacts, and joins the groups that meet.
    fn meet(&mut self, round: u32) {
        let mut met = Vec::new();
        for (index, group) in self.groups.iter().enumerate() {
            for member in group {
                let fleet = self.view(*member, group);
                let isolated = group.len() == 1;
                let chosen =
                    fleet.choose_contacts(&self.contacts, isolated, round, &mut self.random);
                let names = chosen.into_iter().map(|contact| contact.name.clone());
                met.extend(names.map(|name| (index, name)));
            }
        }
        for (index, name) in met {
            let holds = |group: &BTreeSet<usize>| {
                let mut records = group.iter().map(|member| &self.records[*member]);
                records.any(|record| record.name == name)
            };
            // A contact that has ended does not answer.
            if let Some(other) = self.groups.iter().position(holds)
                && other != index
            {
                let joined = std::mem::take(&mut self.groups[other]);
                self.groups[index].extend(joined);
            }
        }
        self.groups.retain(|group| !group.is_empty());
    }
}

/// Guards against a fleet that stays in groups with a lender each: relays turned to
/// other failure domains only while they knew none.
#[test]
fn paired_domains_meet() {
    let records = (0..4).map(|domain| record(domain, 0)).collect::<Vec<_>>();
    let pairs = [[0, 1], [2, 3]].map(BTreeSet::from);
    let mut startup = Startup::new(records.clone(), records, pairs.to_vec());
    startup.meet(1);
    assert_eq!(startup.groups.len(), 1);
}

/// Whether daemons in `domains` failure domains that are spread over groups by `seed`
/// meet. Rows name a part of them, and some that have ended.
fn groups_meet(domains: u8, per_domain: u8, count: u8, seed: u64) -> bool {
    let domains = usize::from(domains % 8) + 1;
    let per_domain = usize::from(per_domain % 6) + 1;
    let count = usize::from(count % 6) + 1;
    let mut draw = <StdRng as rand::SeedableRng>::seed_from_u64(seed);
    let mut records = Vec::new();
    let mut contacts = Vec::new();
    for domain in 0..domains {
        let daemons = (0..per_domain).map(|number| record(domain, number));
        let daemons = daemons.collect::<Vec<_>>();
        // The first row names a live daemon: its poller replaces the others.
        contacts.push(daemons[draw.random_range(0..per_domain)].clone());
        for row in 1..ROWS {
            let number = draw.random_range(0..per_domain * 2);
            let ended = record(domain, ENDED + row);
            contacts.push(daemons.get(number).cloned().unwrap_or(ended));
        }
        records.extend(daemons);
    }
    let mut groups = vec![BTreeSet::new(); count];
    for index in 0..records.len() {
        groups[draw.random_range(0..count)].insert(index);
    }
    groups.retain(|group| !group.is_empty());
    let mut startup = Startup::new(records, contacts, groups);
    for round in 0..ROUNDS {
        startup.meet(round);
    }
    startup.groups.len() == 1
}

#[test]
fn all_groups_meet() {
    check(groups_meet as fn(u8, u8, u8, u64) -> bool);
}

/// The relays of a fleet that has met turn to nobody.
#[test]
fn met_contacts_left_alone() {
    let records = (0..3).map(|domain| record(domain, 0)).collect::<Vec<_>>();
    let startup = Startup::new(records.clone(), records, Vec::new());
    let all = BTreeSet::from([0, 1, 2]);
    for member in 0..3 {
        let fleet = startup.view(member, &all);
        let chosen = fleet.choose_contacts(&startup.contacts, false, 1, &mut random());
        assert!(chosen.is_empty(), "{chosen:?}");
    }
}
