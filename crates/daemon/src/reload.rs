//! Reload of the settings file at SIGHUP or after a change.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::Event;
use cardamomshed_note::Settings;
use tokio::signal::unix::Signal;

use crate::node::Node;

/// Interval between checks of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Watches the settings file for changes, by its contents.
#[derive(Debug)]
pub struct Watcher {
    path: PathBuf,
    contents: Option<Vec<u8>>,
}

impl Watcher {
    /// Creates a watcher of the file that the daemon was started with.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            contents: std::fs::read(path).ok(),
        }
    }

    /// Checks the file at each signal and every 5 s. Does not return.
    pub async fn run(mut self, node: Arc<Node>, mut signal: Signal) {
        loop {
            let signalled = tokio::select! {
                _ = signal.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            self.check(&node, signalled);
        }
    }

    /// Reloads the settings if the contents changed or `signalled` is set. If the
    /// file is unreadable or invalid, the current settings stay in force.
    pub fn check(&mut self, node: &Node, signalled: bool) {
        let contents = std::fs::read(&self.path).ok();
        if !signalled && (contents.is_none() || contents == self.contents) {
            return;
        }
        self.contents = contents;
        match Settings::read(&self.path) {
            Ok(settings) => {
                let unapplied = node.reload(&settings);
                node.log_event(
                    Event::SettingsRead,
                    format_args!("signalled={signalled} wait_for_restart={unapplied:?}"),
                );
            }
            Err(failure) => node.log_event(Event::SettingsRejected, format_args!("{failure}")),
        }
    }
}
