//! Rereads the settings when they change, without a restart.

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

/// How often the file is looked at for a change that no signal told; a look is one system call.
const LOOK: Duration = Duration::from_secs(2);

/// Time for which a file has to stay unchanged before it is read: whoever writes it in parts does so
/// within some tens of milliseconds.
const SETTLE: Duration = Duration::from_millis(200);

/// Looks after which a file that changes all the time is read as it is.
const MOST_LOOKS: usize = 10;

/// Tells one state of a file from another, without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    inode: u64,
    bytes: u64,
    changed: (i64, i64),
}

impl Stamp {
    /// The present state; nothing if there is no such file.
    fn of(path: &Path) -> Option<Stamp> {
        let metadata = std::fs::metadata(path).ok()?;
        let changed = (metadata.ctime(), metadata.ctime_nsec());
        Some(Stamp { inode: metadata.ino(), bytes: metadata.len(), changed })
    }
}

/// A settings file, as it was when it was last read.
pub struct Source {
    path: PathBuf,
    stamp: Option<Stamp>,
}

impl Source {
    /// Reads a file for the first time.
    ///
    /// # Errors
    /// The settings are refused.
    pub fn open(path: &Path) -> Result<(Source, Settings), Error> {
        let stamp = Stamp::of(path);
        Ok((Source { path: path.to_owned(), stamp }, Settings::load(path)?))
    }

    fn is_changed(&self) -> bool {
        Stamp::of(&self.path) != self.stamp
    }

    /// Reads the file once nobody writes to it; one that changes all the time is read as it is.
    async fn read(&mut self) -> Result<Settings, Error> {
        for _ in 0..MOST_LOOKS {
            self.stamp = Stamp::of(&self.path);
            tokio::time::sleep(SETTLE).await;
            if self.is_changed() {
                continue;
            }
            let read = read(&self.path);
            if !self.is_changed() {
                return read;
            }
        }
        self.stamp = Stamp::of(&self.path);
        read(&self.path)
    }

    /// Puts a changed file in force; one that is refused changes nothing.
    async fn reload(&mut self, shared: &Shared) {
        match self.read().await.and_then(|settings| apply(settings, shared)) {
            Ok(outcome) => metric::count_reload(outcome),
            Err(error) => {
                if is_passing(&error) {
                    self.stamp = None;
                }
                log!(warn, Event::SettingsRefused, reason = %error);
                metric::count_reload(Reload::Refused);
            }
        }
    }
}

/// Rereads a settings file at each hangup and when it has changed, for as long as the daemon runs.
pub async fn watch_settings(mut source: Source, shared: Arc<Shared>, mut hangup: Signal) {
    loop {
        tokio::select! {
            Some(()) = hangup.recv() => {}
            () = tokio::time::sleep(LOOK) => {
                if !source.is_changed() {
                    continue;
                }
            }
        }
        source.reload(&shared).await;
    }
}

/// Largest file that is reread, in bytes; several times all keys with a hundred seeds.
const MAX_FILE: u64 = 64 << 10;

/// Refuses what could take long to read: the control thread reads the file.
fn check_readable(path: &Path) -> Result<(), Error> {
    let refuse = |source| settings::Error::Unreadable { path: path.to_owned(), source };
    let metadata = std::fs::metadata(path).map_err(refuse)?;
    if !metadata.is_file() || metadata.len() > MAX_FILE {
        let reason = format!("not a file of at most {MAX_FILE} bytes");
        return Err(refuse(io::Error::other(reason)).into());
    }
    Ok(())
}

/// Whether a file may be readable a little later though nobody changes it.
fn is_passing(error: &Error) -> bool {
    let Error::Settings(settings::Error::Unreadable { source, .. }) = error else { return false };
    let scarce = [Errno::MFILE, Errno::NFILE, Errno::NOMEM];
    Errno::from_io_error(source).is_some_and(|errno| scarce.contains(&errno))
}

fn read(path: &Path) -> Result<Settings, Error> {
    check_readable(path)?;
    Ok(Settings::load(path)?)
}

fn apply(settings: Settings, shared: &Shared) -> Result<Reload, Error> {
    let present = shared.settings();
    let (settings, pending) = present.after_reload(settings);
    let bounds = daemon::bounds(&settings)?;
    if !pending.is_empty() {
        log!(warn, Event::RestartNeeded, keys = pending.join(", "));
    }
    let is_changed = settings != *present;
    shared.adopt(settings, bounds);
    log!(info, Event::SettingsInForce, changed = is_changed);
    Ok(if is_changed { Reload::Changed } else { Reload::Unchanged })
}
