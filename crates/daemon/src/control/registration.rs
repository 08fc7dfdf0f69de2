//! Registers the instance at the platform; each registration is a new incarnation.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Incarnation, Member, Peer, Timing};
use cactushold_platform::{Backoff, Error, Key, Object, Precondition, PutOutcome};

use crate::clock;
use crate::control::Control;
use crate::control::leader::INSTANCE_KIND;
use crate::event::Event;
use crate::log;

/// Interval at which the daemon checks that the slice table still lists it.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before a stranded daemon tries an unreachable platform again.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why an incarnation was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossReason {
    /// The slice table no longer lists it.
    Dropped,
    /// It can't renew its lease: its sponsors released it or are lost.
    Stranded,
}

/// Value of an instance's object at the platform, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Registration {
    /// Random number that identifies the writes of this registration.
    pub nonce: u64,
    /// Incarnation, which is the revision of the first write; absent in that write itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Name of the service that the instance belongs to.
    pub service: String,
    /// Address on which other daemons reach this one.
    pub address: SocketAddr,
    /// Address of the operators' HTTP interface.
    pub admin: SocketAddr,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

impl Registration {
    /// Parses a platform object; `None` if it isn't a registration.
    pub(super) fn from_object(object: &Object) -> Option<(Incarnation, Registration)> {
        let registration: Registration = serde_json::from_str(&object.value).ok()?;
        Some((registration.incarnation.unwrap_or(object.revision), registration))
    }

    /// Returns the peer entry of the registered instance.
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
    /// Registers the instance, and again under a new incarnation whenever the current one is lost.
    pub(super) async fn maintain_registration(self: Rc<Self>) {
        loop {
            let id = self.register().await;
            log!(info, Event::Registered, incarnation = id);
            *self.member.borrow_mut() = Some(Member::new(id, Timing::default()));
            self.update_granted(|granted| granted.clear());
            self.pass_documents_to_member();
            let loss = self.wait_until_lost().await;
            log!(warn, Event::Removed, incarnation = id, reason = ?loss);
        }
    }

    /// Passes the current configuration version and slice table to a newly created member.
    fn pass_documents_to_member(&self) {
        let known = self.known_versions();
        let table = std::sync::Arc::clone(&self.table.borrow());
        self.with_member(|member, _| {
            member.update_config_version(known.config);
            member.update_table(table);
        });
        self.publish(clock::now());
    }

    /// Waits until this incarnation can't hold slices any more.
    async fn wait_until_lost(&self) -> LossReason {
        let mut was_member = false;
        loop {
            tokio::time::sleep(MEMBERSHIP_CHECK_INTERVAL).await;
            let is_member = self.is_member();
            if was_member && !is_member {
                return LossReason::Dropped;
            }
            was_member |= is_member;
            if self.is_stranded() && self.is_platform_reachable().await && self.is_stranded() {
                // A late renewal must not revive the lease: once a newer incarnation is registered,
                // others assume that this one holds nothing.
                self.with_member(|member, _| member.abandon_lease());
                self.publish(clock::now());
                return LossReason::Stranded;
            }
        }
    }

    fn is_stranded(&self) -> bool {
        let now = clock::now();
        self.member.borrow().as_ref().is_some_and(|member| member.is_stranded(now))
    }

    /// Whether the platform is reachable, so that a new incarnation could be registered. As long as
    /// it isn't, the current incarnation continues as a sponsor.
    async fn is_platform_reachable(&self) -> bool {
        let found = self.platform.get(self.registration_key()).await;
        if let Err(error) = &found {
            log!(warn, Event::PlatformUnavailable, reason = %error);
            tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
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

    /// Attempts to register once. The response to an earlier write may have been lost, so the
    /// object is read before it is written.
    async fn try_register(&self, nonce: u64) -> Result<Option<Incarnation>, Error> {
        let found = self.platform.get(self.registration_key()).await?;
        if let Some((id, registration)) = found.as_ref().and_then(Registration::from_object)
            && registration.nonce == nonce
        {
            return Ok(Some(id));
        }
        let expected =
            found.map_or(Precondition::Absent, |object| Precondition::At(object.revision));
        let value = self.encode_registration(nonce, None);
        match self.platform.put(self.registration_key(), &value, expected).await? {
            PutOutcome::Stored(revision) => Ok(Some(revision)),
            PutOutcome::Conflict => Ok(None),
        }
    }

    fn registration_key(&self) -> Key<'_> {
        Key { kind: INSTANCE_KIND, name: &self.shared.instance.name }
    }

    fn encode_registration(&self, nonce: u64, incarnation: Option<Incarnation>) -> String {
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

    /// Marks the registration at the platform as leaving, which the leader watches.
    pub(super) async fn announce_leaving(&self) -> Result<(), Error> {
        let Some(object) = self.platform.get(self.registration_key()).await? else { return Ok(()) };
        let Some((id, found)) = Registration::from_object(&object) else { return Ok(()) };
        if id != self.id() || found.leaving {
            return Ok(());
        }
        let value = self.encode_registration(found.nonce, Some(id));
        self.platform
            .put(self.registration_key(), &value, Precondition::At(object.revision))
            .await?;
        Ok(())
    }
}
