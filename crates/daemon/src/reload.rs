//! Reloads the settings file when it changes, without a restart.

use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use cactushold_config::{Settings, settings};
use rustix::io::Errno;
use tokio::signal::unix::Signal;

use crate::error::Error;
use crate::event::Event;
use crate::metric::Reload;
use crate::shared::Shared;
use crate::{daemon, log, metric};

/// How often the file is checked for changes without a signal; a check is one system call.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long a file must stay unchanged before it is read: a writer that writes it in several parts
/// finishes within some tens of milliseconds.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Checks after which a file that keeps changing is read anyway.
const MAX_SETTLE_CHECKS: usize = 10;

/// Metadata that differs between two versions of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    bytes: u64,
    changed: (i64, i64),
}

impl FileStamp {
    /// Reads the metadata of a file; `None` if it cannot be read.
    fn of(path: &Path) -> Option<FileStamp> {
        let metadata = std::fs::metadata(path).ok()?;
        let changed = (metadata.ctime(), metadata.ctime_nsec());
        Some(FileStamp { inode: metadata.ino(), bytes: metadata.len(), changed })
    }
}

/// A settings file, and its metadata when it was last read.
pub struct SettingsFile {
    path: PathBuf,
    stamp: Option<FileStamp>,
}

impl SettingsFile {
    /// Reads the settings at startup.
    ///
    /// # Errors
    /// The file cannot be read or is invalid.
    pub fn open(path: &Path) -> Result<(SettingsFile, Settings), Error> {
        let stamp = FileStamp::of(path);
        Ok((SettingsFile { path: path.to_owned(), stamp }, Settings::load(path)?))
    }

    fn is_changed(&self) -> bool {
        FileStamp::of(&self.path) != self.stamp
    }

    /// Waits until the file stops changing and reads it; a file that keeps changing is read anyway.
    async fn read(&mut self) -> Result<Settings, Error> {
        for _ in 0..MAX_SETTLE_CHECKS {
            self.stamp = FileStamp::of(&self.path);
            tokio::time::sleep(SETTLE_TIME).await;
            if self.is_changed() {
                continue;
            }
            let read = read(&self.path);
            if !self.is_changed() {
                return read;
            }
        }
        self.stamp = FileStamp::of(&self.path);
        read(&self.path)
    }

    /// Reads the file and puts it in force. If it is invalid, the settings stay as they are.
    async fn reload(&mut self, shared: &Shared) {
        match self.read().await.and_then(|settings| apply(settings, shared)) {
            Ok(outcome) => metric::count_reload(outcome),
            Err(error) => {
                if is_transient(&error) {
                    self.stamp = None;
                }
                log!(warn, Event::SettingsRefused, reason = %error);
                metric::count_reload(Reload::Refused);
            }
        }
    }
}

/// Reloads the settings file at each SIGHUP and when it has changed. Never returns.
pub async fn watch_settings(mut file: SettingsFile, shared: Arc<Shared>, mut hangup: Signal) {
    loop {
        tokio::select! {
            Some(()) = hangup.recv() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {
                if !file.is_changed() {
                    continue;
                }
            }
        }
        file.reload(&shared).await;
    }
}

/// Largest settings file that is reloaded; several times the size of one that has all keys and a
/// hundred seeds.
const MAX_FILE_BYTES: u64 = 64 << 10;

/// Rejects files that could take long to read, which would block the control thread.
fn check_readable(path: &Path) -> Result<(), Error> {
    let unreadable = |source| settings::Error::Unreadable { path: path.to_owned(), source };
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        let reason = format!("not a regular file of at most {MAX_FILE_BYTES} bytes");
        return Err(unreadable(io::Error::other(reason)).into());
    }
    Ok(())
}

/// Whether the error is transient, so that the unchanged file may be readable a little later.
fn is_transient(error: &Error) -> bool {
    let Error::Settings(settings::Error::Unreadable { source, .. }) = error else { return false };
    let scarce = [Errno::MFILE, Errno::NFILE, Errno::NOMEM];
    Errno::from_io_error(source).is_some_and(|errno| scarce.contains(&errno))
}

fn read(path: &Path) -> Result<Settings, Error> {
    check_readable(path)?;
    Ok(Settings::load(path)?)
}

fn apply(settings: Settings, shared: &Shared) -> Result<Reload, Error> {
    let current = shared.settings();
    let (settings, pending) = current.after_reload(settings);
    let bounds = daemon::bounds(&settings)?;
    if !pending.is_empty() {
        log!(warn, Event::RestartNeeded, keys = pending.join(", "));
    }
    let is_changed = settings != *current;
    shared.apply_settings(settings, bounds);
    log!(info, Event::SettingsInForce, changed = is_changed);
    Ok(if is_changed { Reload::Changed } else { Reload::Unchanged })
}
