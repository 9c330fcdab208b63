//! The documentation lists exactly the codes and events that the source
//! defines, with the same texts.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use cardamomshed_code::{Code, Event};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).expect("the page is readable")
}

/// Rows of a Markdown table whose first cell is a number, as (number, second cell).
fn rows(page: &str) -> BTreeSet<(u16, String)> {
    page.lines()
        .filter_map(|line| {
            let mut cells = line.trim_matches('|').split('|').map(str::trim);
            let number = cells.next()?.trim_start_matches("CS").parse().ok()?;
            Some((number, cells.next()?.to_owned()))
        })
        .collect()
}

#[test]
fn codes_listed() {
    let source = Code::ALL
        .iter()
        .map(|code| (code.number(), code.text().to_owned()))
        .collect::<BTreeSet<_>>();
    assert_eq!(rows(&page("codes.md")), source);
    assert_eq!(source.len(), Code::ALL.len());
}

#[test]
fn events_listed() {
    let source = Event::ALL
        .iter()
        .map(|event| (event.number(), event.text().to_owned()))
        .collect::<BTreeSet<_>>();
    assert_eq!(rows(&page("events.md")), source);
    assert_eq!(source.len(), Event::ALL.len());
}
