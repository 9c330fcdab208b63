//! Merging of notes, compared with a reference model.

use std::collections::BTreeMap;

use cardamomshed_note::{Account, Config, Evacuations, Name, Note, Rate, Section};
use quickcheck::{Gen, QuickCheck};

use crate::note;

/// One generated change: number of the account, kind of change, new burst.
type Step = (u8, u8, u8);

fn name(number: u8) -> Name {
    Name::try_from(format!("account-{number}")).expect("a valid name")
}

fn change(index: usize, (account, kind, burst): Step) -> Note {
    let entry = Account {
        unlimited: false,
        priority: None,
        regions: None,
        name: name(account % 6),
        rate: Rate::try_from("1/s".to_owned()).expect("a valid rate"),
        burst: u32::from(burst) + 2,
    };
    let mut accounts = Section::default();
    match kind % 3 {
        0 => accounts.add.push(entry),
        1 => accounts.change.push(entry),
        _ => accounts.withdraw.push(entry.name),
    }
    Note {
        note: Name::try_from(format!("n{index}")).expect("a valid name"),
        author: "test".into(),
        summary: "".into(),
        routes: Section::default(),
        accounts,
        keys: Section::default(),
        evacuations: Evacuations::default(),
        limits: None,
    }
}

/// Applies a change to the reference model, a map from account to burst, and
/// returns whether the note must be accepted.
fn model(map: &mut BTreeMap<String, u32>, (account, kind, burst): Step) -> bool {
    let key = name(account % 6).to_string();
    let known = map.contains_key(&key);
    let accepted = if kind % 3 == 0 { !known } else { known };
    if accepted && kind % 3 == 2 {
        map.remove(&key);
    } else if accepted {
        map.insert(key, u32::from(burst) + 2);
    }
    accepted
}

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn agrees_with_model(steps: Vec<Step>) -> bool {
    let mut config = Config::default();
    let mut map = BTreeMap::new();
    steps.iter().enumerate().all(|(index, step)| {
        let accepted = model(&mut map, *step);
        let revision = config.revision;
        let merged = config.apply(&change(index, *step));
        if merged.is_ok() != accepted {
            return false;
        }
        if let Ok(next) = merged {
            config = next;
        }
        let bursts = config.accounts.iter();
        let bursts = bursts.map(|(name, account)| (name.to_string(), account.burst));
        config.revision == revision + u64::from(accepted)
            && bursts.collect::<BTreeMap<_, _>>() == map
    })
}

#[test]
fn matches_model() {
    let seed = std::env::var("CARDAMOMSHED_SEED").ok();
    let seed = seed.map_or(1, |seed| seed.parse().expect("a number"));
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(300)
        .quickcheck(agrees_with_model as fn(Vec<Step>) -> bool);
}

#[test]
fn failed_note_atomic() {
    let first =
        note("note: a\nauthor: x\naccounts:\n  add:\n    - {name: a, rate: 5/s, burst: 10}\n");
    let config = Config::default()
        .apply(&first)
        .expect("the note is accepted");
    let both = note(
        "note: b\nauthor: x\naccounts:\n  add:\n    - {name: b, rate: 5/s, burst: 10}\n    \
         - {name: a, rate: 5/s, burst: 10}\n",
    );
    assert!(config.apply(&both).is_err());
    assert_eq!(config.accounts.len(), 1);
    assert_eq!(config.revision, 1);
}

#[test]
fn referenced_account_kept() {
    let first = note(&format!(
        "note: a\nauthor: x\naccounts:\n  add:\n    - {{name: a, rate: 5/s, burst: 10}}\n\
         keys:\n  add:\n    - {{name: k, account: a, digest: 'sha256:{}'}}\n",
        "0".repeat(64)
    ));
    let config = Config::default()
        .apply(&first)
        .expect("the note is accepted");
    let withdraw = note("note: b\nauthor: x\naccounts: {withdraw: [a]}\n");
    assert!(config.apply(&withdraw).is_err());
    let together = note("note: c\nauthor: x\naccounts: {withdraw: [a]}\nkeys: {withdraw: [k]}\n");
    assert!(config.apply(&together).is_ok());
}
