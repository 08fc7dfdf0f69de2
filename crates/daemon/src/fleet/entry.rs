//! The instance's entry in the store: where the daemon is, and which incarnation of a server it guards.

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
pub(super) const ENTRY_KIND: &str = "cactushold-members";

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
    /// The incarnation of the server; nothing if none was seen.
    #[serde(rename = "life")]
    pub incarnation: Option<Incarnation>,
    /// Whether it takes work.
    pub serves: bool,
    /// Whether it has ended: nothing of it holds any key.
    #[serde(default)]
    pub has_ended: bool,
    /// Identity of the incarnation; absent in the write that creates it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<HolderId>,
}

impl Entry {
    /// Reads an object; nothing if it isn't an entry.
    pub(super) fn parse(object: &Object) -> Option<(HolderId, Entry)> {
        let entry: Entry = serde_json::from_str(&object.value).ok()?;
        Some((entry.id.unwrap_or(object.revision), entry))
    }

    /// The announced member.
    pub(super) fn to_member(&self, instance: &str) -> Member {
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
    pub(super) async fn maintain_entry(self: Rc<Self>) {
        // A daemon that was restarted beside a living server takes up that server's incarnation.
        let first_report = self.shared.bounds().report_interval.mul_f64(FIRST_REPORT_INTERVALS);
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
                    log!(info, Event::PlatformUnavailable, what = ENTRY_KIND, reason = %error);
                    tokio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// One look at the entry, and a write if it isn't true; whether it is true now.
    async fn update_entry(self: &Rc<Self>) -> Result<bool, Error> {
        let key = Key { kind: ENTRY_KIND, name: &self.shared.instance.name };
        let requested_at = clock::now();
        let found = self.platform.get(key).await?;
        self.record_contact(requested_at);
        let desired = self.desired_entry();
        let known = found.as_ref().and_then(Entry::parse);
        if let Some((id, entry)) = &known
            && entry.incarnation == desired.incarnation
        {
            self.adopt_incarnation(*id, desired.incarnation.as_ref());
            if *entry == (Entry { id: entry.id, ..desired.clone() }) {
                return Ok(true);
            }
        }
        if let Some((_, entry)) = &known
            && let Some(delay) = self.replacement_delay(entry, clock::now())
        {
            tokio::time::timeout(delay, self.entry_changed.notified()).await.ok();
            return Ok(false);
        }
        let same_incarnation = known.filter(|(_, entry)| entry.incarnation == desired.incarnation);
        let next = Entry { id: same_incarnation.map(|(id, _)| id), ..desired };
        let expected =
            found.map_or(Precondition::Absent, |object| Precondition::At(object.revision));
        let value = serde_json::to_string(&next).unwrap_or_default();
        match self.platform.put(key, &value, expected).await? {
            PutOutcome::Stored(revision) => {
                self.adopt_incarnation(next.id.unwrap_or(revision), next.incarnation.as_ref());
                // The server may have reported something else meanwhile.
                Ok(Entry { id: None, ..next } == self.desired_entry())
            }
            PutOutcome::Conflict => Ok(false),
        }
    }

    /// Time until the incarnation of an entry that an earlier process wrote holds nothing any more; nothing
    /// if that is sure.
    fn replacement_delay(&self, entry: &Entry, now: Time) -> Option<Duration> {
        let announced = entry.incarnation.as_ref().filter(|_| !entry.has_ended)?;
        let server = self.server.borrow();
        if server.incarnations.latest().is_some_and(|known| known.incarnation == *announced) {
            return None;
        }
        let at = server.incarnations.replaceable_at(announced, self.started_at);
        at.checked_sub(now).filter(|delay| !delay.is_zero())
    }

    fn desired_entry(&self) -> Entry {
        let instance = &self.shared.instance;
        let server = self.server.borrow();
        let known = server.incarnations.latest();
        Entry {
            zone: instance.zone.clone(),
            service: instance.service.clone(),
            address: self.shared.addresses.advertised,
            admin: self.shared.addresses.admin,
            incarnation: known.map(|known| known.incarnation.clone()),
            serves: !self.shared.is_leaving() && server.is_ready,
            has_ended: known.is_some_and(|known| known.has_ended),
            id: None,
        }
    }

    /// Stands for a incarnation from now on, if it is still the one that the server lives.
    fn adopt_incarnation(self: &Rc<Self>, id: HolderId, incarnation: Option<&Incarnation>) {
        let is_current = self.server.borrow().incarnations.latest().map(|known| &known.incarnation)
            == incarnation;
        if !is_current || self.id() == id {
            return;
        }
        log!(
            info,
            Event::Registered,
            id,
            server = incarnation.map(|incarnation| incarnation.server.as_str())
        );
        let service = self.shared.instance.service.clone();
        let holder = Holder::new(id, service, Arc::clone(&self.table.borrow()), clock::now());
        *self.holder.borrow_mut() = Some(holder);
        self.publish(clock::now());
        self.heartbeat_due.notify_one();
    }
}

/// Report intervals after which a server that wasn't heard is taken for absent.
const FIRST_REPORT_INTERVALS: f64 = 1.5;
/// Time between the two looks that tell that a server has ended.
pub(super) const RECHECK_DELAY: Duration = Duration::from_millis(30);
