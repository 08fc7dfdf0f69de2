//! Announces the instance; each start is a new incarnation.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Incarnation, Member, Peer, Timing};
use cactushold_platform::{Backoff, Error, Key, Object, Precondition, PutOutcome};

use crate::clock;
use crate::control::Control;
use crate::control::leader::INSTANCES;
use crate::event::Event;
use crate::log;

/// How often the daemon looks whether the table still names it.
const CHECK: Duration = Duration::from_millis(200);

/// Pause of a stranded daemon after a look at the platform that failed.
const PAUSE: Duration = Duration::from_secs(1);

/// Why an incarnation is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The table dropped it.
    Dropped,
    /// Its sponsors released it or are lost.
    Stranded,
}

/// What an instance announces.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Registration {
    /// Tells the writes of one process from another's.
    pub nonce: u64,
    /// Incarnation, once the first write told it; absent in that write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

impl Registration {
    /// Reads an object; nothing if it isn't a registration.
    pub(super) fn read(object: &Object) -> Option<(Incarnation, Registration)> {
        let registration: Registration = serde_json::from_str(&object.value).ok()?;
        Some((registration.incarnation.unwrap_or(object.revision), registration))
    }

    /// The registered peer.
    pub(super) fn peer(&self) -> Peer {
        Peer {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            service: self.service.clone(),
            address: self.address,
            admin: self.admin,
            leaving: self.leaving,
        }
    }
}

impl Control {
    /// Registers, and again under a new incarnation whenever this one was lost.
    pub(super) async fn keep_registered(self: Rc<Self>) {
        loop {
            let id = self.register().await;
            log!(info, Event::Registered, incarnation = id);
            *self.member.borrow_mut() = Some(Member::new(id, Timing::default()));
            self.change_grants(|granted| granted.clear());
            self.readopt_documents();
            let end = self.until_lost().await;
            log!(warn, Event::Removed, incarnation = id, reason = ?end);
        }
    }

    /// A new member starts with the documents that are in force here.
    fn readopt_documents(&self) {
        let known = self.known();
        let table = std::sync::Arc::clone(&self.table.borrow());
        self.with_member(|member, _| {
            member.update_config_version(known.config);
            member.update_table(table);
        });
        self.publish(clock::now());
    }

    /// Waits until this incarnation can't hold anything any more.
    async fn until_lost(&self) -> End {
        let mut was_member = false;
        loop {
            tokio::time::sleep(CHECK).await;
            let is_member = self.is_member();
            if was_member && !is_member {
                return End::Dropped;
            }
            was_member |= is_member;
            if self.is_stranded() && self.is_platform_there().await && self.is_stranded() {
                // A lease that comes back now must not count: the next incarnation proves that
                // this one holds nothing.
                self.with_member(|member, _| member.abandon_lease());
                self.publish(clock::now());
                return End::Stranded;
            }
        }
    }

    fn is_stranded(&self) -> bool {
        let now = clock::now();
        self.member.borrow().as_ref().is_some_and(|member| member.is_stranded(now))
    }

    /// Whether a new incarnation could be announced: without, the present one goes on as a sponsor.
    async fn is_platform_there(&self) -> bool {
        let found = self.platform.get(self.registration_key()).await;
        if let Err(error) = &found {
            log!(warn, Event::PlatformUnavailable, reason = %error);
            tokio::time::sleep(PAUSE).await;
        }
        found.is_ok()
    }

    async fn register(&self) -> Incarnation {
        let mut backoff = Backoff::new(fastrand::Rng::new());
        let nonce = fastrand::u64(1..);
        loop {
            match self.try_register(nonce).await {
                Ok(Some(id)) => return id,
                Ok(None) => {}
                Err(error) => {
                    log!(warn, Event::PlatformUnavailable, reason = %error);
                    log!(info, Event::Waiting, what = "the platform, to register");
                }
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// One try. An answer may have been lost, so the object is read before anything is written.
    async fn try_register(&self, nonce: u64) -> Result<Option<Incarnation>, Error> {
        let found = self.platform.get(self.registration_key()).await?;
        if let Some((id, registration)) = found.as_ref().and_then(Registration::read)
            && registration.nonce == nonce
        {
            return Ok(Some(id));
        }
        let expected =
            found.map_or(Precondition::Absent, |object| Precondition::At(object.revision));
        let value = self.registration(nonce, None);
        match self.platform.put(self.registration_key(), &value, expected).await? {
            PutOutcome::Stored(revision) => Ok(Some(revision)),
            PutOutcome::Conflict => Ok(None),
        }
    }

    fn registration_key(&self) -> Key<'_> {
        Key { kind: INSTANCES, name: &self.shared.instance.name }
    }

    fn registration(&self, nonce: u64, incarnation: Option<Incarnation>) -> String {
        let instance = &self.shared.instance;
        let registration = Registration {
            nonce,
            incarnation,
            instance: instance.name.clone(),
            zone: instance.zone.clone(),
            service: instance.service.clone(),
            address: self.shared.addresses.advertised,
            admin: self.shared.addresses.admin,
            leaving: self.shared.is_leaving(),
        };
        serde_json::to_string(&registration).unwrap_or_default()
    }

    /// Tells the leader through the platform that this instance is leaving.
    pub(super) async fn announce_leaving(&self) -> Result<(), Error> {
        let Some(object) = self.platform.get(self.registration_key()).await? else { return Ok(()) };
        let Some((id, found)) = Registration::read(&object) else { return Ok(()) };
        if id != self.id() || found.leaving {
            return Ok(());
        }
        let value = self.registration(found.nonce, Some(id));
        self.platform
            .put(self.registration_key(), &value, Precondition::At(object.revision))
            .await?;
        Ok(())
    }
}
