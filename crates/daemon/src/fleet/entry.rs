//! The instance's entry in the store: where the daemon is, and which life of a server it guards.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{Holder, HolderId, Incarnation, Member, Time};
use cactushold_platform::{Backoff, Error, Key, Object, Precondition, PutOutcome};

use crate::event::Event;
use crate::fleet::Fleet;
use crate::{clock, log};

/// Kind of the entries; each is named after its instance.
pub(super) const ENTRIES: &str = "cactushold-members";

/// What an instance announces.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Entry {
    /// Availability zone.
    pub zone: String,
    /// Service of the server.
    pub service: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// The life of the server; nothing if none was seen.
    pub life: Option<Incarnation>,
    /// Whether it takes work.
    pub serves: bool,
    /// Whether it has ended: nothing of it holds any key.
    #[serde(default)]
    pub has_ended: bool,
    /// Identity of the life; absent in the write that creates it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<HolderId>,
}

impl Entry {
    /// Reads an object; nothing if it isn't an entry.
    pub(super) fn read(object: &Object) -> Option<(HolderId, Entry)> {
        let entry: Entry = serde_json::from_str(&object.value).ok()?;
        Some((entry.id.unwrap_or(object.revision), entry))
    }

    /// The announced member.
    pub(super) fn member(&self, instance: &str) -> Member {
        Member {
            instance: instance.to_owned(),
            zone: self.zone.clone(),
            service: self.service.clone(),
            address: self.address,
            admin: self.admin,
            serves: self.serves,
        }
    }
}

impl Fleet {
    /// Keeps the entry true for as long as the daemon runs.
    pub(super) async fn keep_entry(self: Rc<Self>) {
        // A daemon that was restarted beside a living server takes up that server's life.
        let first_report = self.shared.bounds().report_interval.mul_f64(FIRST_REPORT);
        tokio::time::timeout(first_report, self.entry_changed.notified()).await.ok();
        let mut backoff = Backoff::new(fastrand::Rng::new());
        loop {
            match self.update_entry().await {
                Ok(true) => {
                    backoff.reset();
                    self.entry_changed.notified().await;
                }
                Ok(false) => {}
                Err(error) => {
                    log!(info, Event::PlatformUnavailable, what = ENTRIES, reason = %error);
                    tokio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// One look at the entry, and a write if it isn't true; whether it is true now.
    async fn update_entry(self: &Rc<Self>) -> Result<bool, Error> {
        let key = Key { kind: ENTRIES, name: &self.shared.instance.name };
        let asked = clock::now();
        let found = self.platform.get(key).await?;
        self.note_contact(asked);
        let wanted = self.wanted_entry();
        let known = found.as_ref().and_then(Entry::read);
        if let Some((id, entry)) = &known
            && entry.life == wanted.life
        {
            self.take_up_life(*id, wanted.life.as_ref());
            if *entry == (Entry { id: entry.id, ..wanted.clone() }) {
                return Ok(true);
            }
        }
        if let Some((_, entry)) = &known
            && let Some(pause) = self.until_replaced(entry, clock::now())
        {
            tokio::time::timeout(pause, self.entry_changed.notified()).await.ok();
            return Ok(false);
        }
        let same_life = known.filter(|(_, entry)| entry.life == wanted.life);
        let next = Entry { id: same_life.map(|(id, _)| id), ..wanted };
        let expected =
            found.map_or(Precondition::Absent, |object| Precondition::At(object.revision));
        let value = serde_json::to_string(&next).unwrap_or_default();
        match self.platform.put(key, &value, expected).await? {
            PutOutcome::Stored(revision) => {
                self.take_up_life(next.id.unwrap_or(revision), next.life.as_ref());
                // The server may have reported something else meanwhile.
                Ok(Entry { id: None, ..next } == self.wanted_entry())
            }
            PutOutcome::Conflict => Ok(false),
        }
    }

    /// Time until the life of an entry that an earlier process wrote holds nothing any more; nothing
    /// if that is sure.
    fn until_replaced(&self, entry: &Entry, now: Time) -> Option<Duration> {
        let announced = entry.life.as_ref().filter(|_| !entry.has_ended)?;
        let server = self.server.borrow();
        if server.incarnations.latest().is_some_and(|known| known.incarnation == *announced) {
            return None;
        }
        let at = server.incarnations.replaceable_at(announced, self.began);
        at.checked_sub(now).filter(|pause| !pause.is_zero())
    }

    fn wanted_entry(&self) -> Entry {
        let instance = &self.shared.instance;
        let server = self.server.borrow();
        let known = server.incarnations.latest();
        Entry {
            zone: instance.zone.clone(),
            service: instance.service.clone(),
            address: self.shared.addresses.advertised,
            admin: self.shared.addresses.admin,
            life: known.map(|known| known.incarnation.clone()),
            serves: !self.shared.is_leaving() && server.is_ready,
            has_ended: known.is_some_and(|known| known.has_ended),
            id: None,
        }
    }

    /// Stands for a life from now on, if it is still the one that the server lives.
    fn take_up_life(self: &Rc<Self>, id: HolderId, life: Option<&Incarnation>) {
        let is_current =
            self.server.borrow().incarnations.latest().map(|known| &known.incarnation) == life;
        if !is_current || self.id() == id {
            return;
        }
        log!(info, Event::Registered, id, server = life.map(|life| life.server.as_str()));
        let service = self.shared.instance.service.clone();
        let holder = Holder::new(id, service, Arc::clone(&self.table.borrow()), clock::now());
        *self.holder.borrow_mut() = Some(holder);
        self.publish(clock::now());
        self.news.notify_one();
    }
}

/// Report intervals after which a server that wasn't heard is taken for absent.
const FIRST_REPORT: f64 = 1.5;
/// Time between the two looks that tell that a server has ended.
pub(super) const SECOND_LOOK: Duration = Duration::from_millis(30);
