//! Writes the tables of `docs/CAPACITY.md` from `docs/experiments/slopes.json`.

use std::path::Path;

use cardamomshed_standin::capacity::{BEGIN, END, Slopes};

fn main() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let json = std::fs::read_to_string(docs.join("experiments/slopes.json"))
        .expect("the committed results are readable");
    let tables = Slopes::parse(&json)
        .expect("valid results of an experiment")
        .tables();
    let path = docs.join("CAPACITY.md");
    let page = std::fs::read_to_string(&path).expect("the page is readable");
    let (before, rest) = page.split_once(BEGIN).expect("the begin marker");
    let (_, after) = rest.split_once(END).expect("the end marker");
    std::fs::write(&path, format!("{before}{tables}{after}")).expect("the page is written");
}
