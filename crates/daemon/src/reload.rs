//! Takes in changes of the settings file.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_note::Settings;
use tokio::signal::unix::Signal;

use crate::node::Node;

/// Time between two looks at the file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// The settings file as it was read last.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    contents: Option<Vec<u8>>,
}

impl File {
    /// A file that this daemon was started with.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            contents: std::fs::read(path).ok(),
        }
    }

    /// Takes changes in at each signal, and without one, until the task is
    /// dropped.
    pub async fn follow(mut self, node: Arc<Node>, mut signal: Signal) {
        loop {
            let signalled = tokio::select! {
                _ = signal.recv() => true,
                () = tokio::time::sleep(LOOK_EVERY) => false,
            };
            self.look(&node, signalled);
        }
    }

    /// Takes the file in if it changed, or if a signal says so. What cannot
    /// be read leaves the settings in force as they are.
    pub fn look(&mut self, node: &Node, signalled: bool) {
        let contents = std::fs::read(&self.path).ok();
        if !signalled && (contents.is_none() || contents == self.contents) {
            return;
        }
        self.contents = contents;
        match Settings::read(&self.path) {
            Ok(settings) => {
                let waiting = node.reload(&settings);
                node.note_event(
                    Event::SettingsRead,
                    format_args!("signalled={signalled} wait_for_restart={waiting:?}"),
                );
            }
            Err(failure) => node.note_event(Event::SettingsRejected, format_args!("{failure}")),
        }
    }
}
