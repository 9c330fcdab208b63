//! `shedctl key new`: generation of callers' keys.

use anyhow::Result;
use cardamomshed_note::Key;

use crate::arguments;

/// Generates a key and prints it with its digest. The key is not stored.
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
