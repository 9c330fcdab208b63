//! `shedctl key new`.

use anyhow::Result;
use cardamomshed_note::Key;

use crate::arguments;

/// Makes a key, shows it once, and its digest for a release note.
pub fn new(arguments: &[String]) -> Result<()> {
    let options = arguments::options();
    if arguments::parse(&options, "key new", arguments)?.is_none() {
        return Ok(());
    }
    let key = Key::random();
    println!("key (shown once, give it to the caller): {}", key.reveal());
    println!("digest (for the release note):           {}", key.digest());
    Ok(())
}
