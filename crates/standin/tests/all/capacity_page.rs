//! The tables of `docs/CAPACITY.md` agree with the committed results.

use std::path::Path;

use cardamomshed_standin::capacity::Slopes;

#[test]
fn tables_match() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let read = |name: &str| std::fs::read_to_string(docs.join(name)).expect("a readable file");
    let slopes = Slopes::parse(&read("experiments/slopes.json")).expect("valid results");
    assert!(
        read("CAPACITY.md").contains(&slopes.tables()),
        "run `cargo run -p cardamomshed-standin --example capacity`"
    );
}
