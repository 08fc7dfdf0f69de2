//! The instance's entry in the store: its addresses, and the incarnation of the server that its
//! daemon represents.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{
    Departure, Departures, Holder, HolderId, Incarnation, LEASE, MAX_CLOCK_DRIFT, Member, Time,
};
use cactushold_platform::{Backoff, Error, Key, Object, Precondition, PutOutcome};

use crate::event::Event;
use crate::fleet::Fleet;
use crate::{clock, log};

/// Kind of the stored objects. Each is named after its instance.
pub(super) const ENTRY_KIND: &str = "cactushold-members";

/// The stored entry of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Entry {
    /// Availability zone.
    pub zone: String,
    /// Service of the server.
    pub service: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Address of the operators' HTTP interface.
    pub admin: SocketAddr,
    /// The server's incarnation; `None` if no server has reported yet.
    #[serde(rename = "life")]
    pub incarnation: Option<Incarnation>,
    /// Whether the server accepts work.
    pub serves: bool,
    /// Whether the incarnation has ended and holds no keys.
    #[serde(default)]
    pub has_ended: bool,
    /// Servers of this instance that announced that they leave.
    #[serde(default, skip_serializing_if = "Departures::is_empty")]
    pub departures: Departures,
    /// Identity of the incarnation. It is the revision of the write that created the entry, so that
    /// write itself carries none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<HolderId>,
}

impl Entry {
    /// Parses a stored object and returns the identity with the entry.
    ///
    /// # Errors
    /// The object isn't a valid entry; the text gives the reason.
    pub(super) fn parse(object: &Object) -> Result<(HolderId, Entry), String> {
        let entry: Entry =
            serde_json::from_str(&object.value).map_err(|error| error.to_string())?;
        let id = entry.id.unwrap_or(object.revision);
        // The identity is the revision of an earlier write of this object.
        if id == 0 || id > object.revision {
            return Err(format!("identity {id} at revision {}", object.revision));
        }
        if object.name.is_empty() {
            return Err("no name".to_owned());
        }
        for address in [entry.address, entry.admin] {
            if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
                return Err(format!("address {address}"));
            }
        }
        Ok((id, entry))
    }

    /// The member as it appears in the table.
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
    /// Keeps the stored entry up to date until the daemon stops.
    pub(super) async fn maintain_entry(self: Rc<Self>) {
        // If only the daemon was restarted, the first report tells it which incarnation is running,
        // and it adopts that one instead of announcing none.
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

    /// Reads the entry unless this process wrote it last, and writes it if it is out of date. Returns
    /// whether it is up to date now.
    async fn update_entry(self: &Rc<Self>) -> Result<bool, Error> {
        let key = Key { kind: ENTRY_KIND, name: &self.shared.instance.name };
        let written = self.written_entry.take();
        let found = match written {
            Some(object) => Some(object),
            None => {
                let requested_at = clock::now();
                let found = self.platform.get(key).await?;
                self.record_contact(requested_at);
                found
            }
        };
        let stored = found.as_ref().and_then(|object| Entry::parse(object).ok());
        if let Some((_, entry)) = &stored {
            self.restore_departures(&entry.departures);
        }
        self.knows_departures.set(true);
        let desired = self.desired_entry();
        if let Some((id, entry)) = &stored
            && entry.incarnation == desired.incarnation
        {
            self.adopt_incarnation(*id, desired.incarnation.as_ref());
            if *entry == (Entry { id: entry.id, ..desired.clone() }) {
                self.written_entry.replace(found);
                return Ok(true);
            }
        }
        let now = clock::now();
        let delay = match &stored {
            Some((_, entry)) => self.replacement_delay(entry, now),
            None if self.may_have_lost_entry(found.is_some()) => {
                // An earlier process of the instance may have granted keys until then.
                let at = self.started_at + LEASE.mul_f64(1.0 + MAX_CLOCK_DRIFT);
                at.checked_sub(now).filter(|delay| !delay.is_zero())
            }
            None => None,
        };
        if let Some(delay) = delay {
            // What the daemon acknowledges can't wait until the entry may name another incarnation.
            if let Some((id, entry)) = &stored
                && entry.departures != desired.departures
            {
                let is_leaving = |announced| desired.departures.covers(announced);
                let next = Entry {
                    serves: entry.serves && !entry.incarnation.as_ref().is_some_and(is_leaving),
                    departures: desired.departures,
                    id: Some(*id),
                    ..entry.clone()
                };
                self.write_entry(found, &next).await?;
                return Ok(false);
            }
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.entry_changed.notified() => {}
                () = self.first_table.notified() => {}
            }
            return Ok(false);
        }
        let registered = self.registered_incarnation(desired.incarnation.as_ref());
        let same_incarnation = stored.filter(|(_, entry)| entry.incarnation == desired.incarnation);
        let next = Entry { id: same_incarnation.map(|(id, _)| id).or(registered), ..desired };
        let Some(revision) = self.write_entry(found, &next).await? else { return Ok(false) };
        self.adopt_incarnation(next.id.unwrap_or(revision), next.incarnation.as_ref());
        // The server may have reported another state in the meantime.
        Ok(Entry { id: None, ..next } == self.desired_entry())
    }

    /// Writes the entry in place of the one that was found. Returns its revision, or nothing if
    /// another writer came first.
    async fn write_entry(
        &self,
        found: Option<Object>,
        next: &Entry,
    ) -> Result<Option<HolderId>, Error> {
        let name = self.shared.instance.name.clone();
        let key = Key { kind: ENTRY_KIND, name: &name };
        let expected =
            found.map_or(Precondition::Absent, |object| Precondition::At(object.revision));
        let value = serde_json::to_string(next).unwrap_or_default();
        let PutOutcome::Stored(revision) = self.platform.put(key, &value, expected).await? else {
            return Ok(None);
        };
        let object = Object { name: name.clone(), revision, value, is_deleting: false };
        self.written_entry.replace(Some(object));
        self.stored_departures.send_replace(next.departures.clone());
        Ok(Some(revision))
    }

    /// Time until the incarnation in an entry of an earlier process can hold nothing any more;
    /// `None` if it holds nothing already.
    fn replacement_delay(&self, entry: &Entry, now: Time) -> Option<Duration> {
        let announced = entry.incarnation.as_ref().filter(|_| !entry.has_ended)?;
        let server = self.server.borrow();
        if server.incarnations.latest().is_some_and(|latest| latest.incarnation == *announced) {
            return None;
        }
        let at = server.incarnations.replaceable_at(announced, self.started_at);
        at.checked_sub(now).filter(|delay| !delay.is_zero())
    }

    /// Whether the instance may have had an entry that another writer removed, or replaced by
    /// something that can't be read.
    fn may_have_lost_entry(&self, is_unreadable: bool) -> bool {
        let table = self.table.borrow();
        let instance = &self.shared.instance.name;
        let is_listed = table.members.values().any(|member| member.instance == *instance);
        self.id() == 0 && (is_unreadable || is_listed || table.version == 0)
    }

    /// The identity under which this process registered the incarnation, if it did.
    fn registered_incarnation(&self, incarnation: Option<&Incarnation>) -> Option<HolderId> {
        let server = self.server.borrow();
        let latest = server.incarnations.latest().map(|latest| &latest.incarnation);
        Some(self.id()).filter(|id| *id != 0 && latest == incarnation)
    }

    fn desired_entry(&self) -> Entry {
        let instance = &self.shared.instance;
        let server = self.server.borrow();
        let latest = server.incarnations.latest();
        Entry {
            zone: instance.zone.clone(),
            service: instance.service.clone(),
            address: self.shared.addresses.advertised,
            admin: self.shared.addresses.admin,
            incarnation: latest.map(|latest| latest.incarnation.clone()),
            serves: !self.shared.is_leaving() && server.is_ready,
            has_ended: latest.is_some_and(|latest| latest.has_ended),
            departures: server.departures.clone(),
            id: None,
        }
    }

    /// Takes over what the entry says of servers that leave. The one that runs may have announced it
    /// any time before, so it gets no more requests at once.
    fn restore_departures(&self, stored: &Departures) {
        self.stored_departures.send_replace(stored.clone());
        let mut server = self.server.borrow_mut();
        if server.restore_departures(stored) {
            log!(info, Event::ServerLeaving, server = server.name());
            self.shared.guard().mark_server_leaving(Time::ZERO);
        }
    }

    /// Waits until the entry in the store says that a server leaves. Returns false if it doesn't
    /// within the time in which the server awaits the acknowledgement.
    pub(super) async fn has_stored(&self, departure: &Departure) -> bool {
        let mut stored = self.stored_departures.subscribe();
        let is_stored = stored.wait_for(|stored| stored.contains(departure));
        matches!(tokio::time::timeout(STORE_TIMEOUT, is_stored).await, Ok(Ok(_)))
    }

    /// Represents an incarnation from now on, unless the server has been replaced in the meantime.
    fn adopt_incarnation(self: &Rc<Self>, id: HolderId, incarnation: Option<&Incarnation>) {
        let is_current =
            self.server.borrow().incarnations.latest().map(|latest| &latest.incarnation)
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

/// Report intervals after the daemon's start within which a running server reports. After them, the
/// daemon takes the server for absent.
const FIRST_REPORT_INTERVALS: f64 = 1.5;
/// Timeout for storing a departure. Servers take an acknowledgement that arrives within a second.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between the two refused connections that show that a server has ended.
pub(super) const RECHECK_DELAY: Duration = Duration::from_millis(30);
