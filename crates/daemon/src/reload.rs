//! Reads the settings file again on SIGHUP.

use std::path::Path;

use cardamomshed_code::Event;
use cardamomshed_note::Settings;

use crate::node::Node;

/// Checks the settings file as it is now and logs what comes of it. Every
/// setting is taken in at the start, so that a change waits for the next.
pub fn report(node: &Node, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            let same = format!("{settings:?}") == format!("{:?}", node.settings);
            let outcome = if same {
                "unchanged"
            } else {
                "changed; in force from the next start"
            };
            node.note_event(Event::SettingsRead, format_args!("{outcome}"));
        }
        Err(failure) => node.note_event(Event::SettingsRejected, format_args!("{failure}")),
    }
}
