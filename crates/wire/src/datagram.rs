//! Lease datagrams and their encoding as packed Cap'n Proto.

use std::time::Duration;

use cactushold_lease::{Envelope, Incarnation, KnownVersions, LeaseId, Message, Time};
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use crate::schema_capnp::datagram;

/// Value on the wire for an unknown age.
const UNKNOWN_AGE_MS: u32 = u32::MAX;
/// Cap'n Proto traversal limit for decoding a datagram, in words of 8 bytes.
const MAX_WORDS: usize = 256;

/// Error from decoding a datagram.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The bytes aren't a valid encoding.
    #[error("malformed datagram: {0}")]
    Malformed(#[from] capnp::Error),
    /// The kind of message is unknown, as from a newer protocol version.
    #[error("datagram of an unknown kind")]
    Unknown,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// A message of the lease protocol.
    Lease(Message),
    /// Asks the receiver for its known versions and their age; carries the sender's clock.
    Probe(Time),
    /// Response to a probe; echoes the clock value of the probe.
    Probed(Time),
}

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Incarnation of the sender.
    pub from: Incarnation,
    /// Incarnation of the receiver; 0 for whichever process listens at the address.
    pub to: Incarnation,
    /// Newest versions known to the sender.
    pub known: KnownVersions,
    /// Time since the configuration version in `known` was known to be current; `None` if unknown.
    pub config_age: Option<Duration>,
    /// Content.
    pub body: Body,
}

impl Datagram {
    /// Returns the lease message with its addresses, or `None` for other kinds of content.
    pub fn envelope(&self) -> Option<Envelope> {
        match &self.body {
            Body::Lease(message) => {
                Some(Envelope { from: self.from, to: self.to, message: message.clone() })
            }
            Body::Probe(_) | Body::Probed(_) => None,
        }
    }

    /// Encodes the datagram as packed Cap'n Proto.
    ///
    /// ```
    /// use cactushold_lease::KnownVersions;
    /// use cactushold_wire::{Body, Datagram};
    /// use std::time::Duration;
    ///
    /// let body = Body::Probe(Duration::from_micros(5));
    /// let known = KnownVersions::default();
    /// let datagram = Datagram { from: 1, to: 2, known, config_age: None, body };
    /// assert_eq!(Datagram::decode(&datagram.encode())?, datagram);
    /// # Ok::<(), cactushold_wire::Error>(())
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<datagram::Builder<'_>>();
        root.set_from(self.from);
        root.set_to(self.to);
        root.set_table_version(self.known.table);
        root.set_config_version(self.known.config);
        root.set_fresh_ms(self.config_age.map_or(UNKNOWN_AGE_MS, age_millis));
        write_body(root.reborrow().init_body(), &self.body);
        let mut bytes = Vec::with_capacity(128);
        // Writing to a `Vec` never fails.
        serialize_packed::write_message(&mut bytes, &message).ok();
        bytes
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    /// The bytes are malformed, or the kind of message is unknown.
    pub fn decode(mut bytes: &[u8]) -> Result<Datagram, Error> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_WORDS));
        let message = serialize_packed::read_message(&mut bytes, options)?;
        let root = message.get_root::<datagram::Reader<'_>>()?;
        let known =
            KnownVersions { table: root.get_table_version(), config: root.get_config_version() };
        let age_ms = root.get_fresh_ms();
        Ok(Datagram {
            from: root.get_from(),
            to: root.get_to(),
            known,
            config_age: (age_ms != UNKNOWN_AGE_MS).then(|| Duration::from_millis(age_ms.into())),
            body: read_body(&root, known)?,
        })
    }
}

/// Rounds up, so that information never appears more recent than it is.
fn age_millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis() + 1).unwrap_or(UNKNOWN_AGE_MS)
}

fn micros(time: Time) -> u64 {
    time.as_micros() as u64
}

fn write_body(mut body: datagram::body::Builder<'_>, content: &Body) {
    match content {
        Body::Lease(message) => write_message(body, message),
        Body::Probe(sent) => body.set_probe(micros(*sent)),
        Body::Probed(sent) => body.set_probed(micros(*sent)),
    }
}

fn write_message(body: datagram::body::Builder<'_>, message: &Message) {
    match *message {
        Message::Renew { lease: number, other_sponsor: other, sent, known: _ } => {
            let mut renew = body.init_renew();
            renew.set_epoch(number.epoch);
            renew.set_other(other);
            renew.set_sent_us(micros(sent));
        }
        Message::Renewed { lease: number, sent, known: _ } => {
            let mut renewed = body.init_renewed();
            renewed.set_epoch(number.epoch);
            renewed.set_sent_us(micros(sent));
        }
        Message::Lapsed { lease: number, other_sponsor: other } => {
            let mut lapsed = body.init_lapsed();
            lapsed.set_other(other);
            write_number(lapsed.init_number(), number);
        }
        Message::RequestRelease { lease: number } => write_number(body.init_ask(), number),
        Message::Released { lease: number, known } => {
            let mut released = body.init_released();
            released.set_table(known.table);
            released.set_config(known.config);
            write_number(released.init_number(), number);
        }
        Message::Claim { slice, since } => write_claim(body.init_claim(), slice, since),
        Message::Yielded { slice, since } => write_claim(body.init_yielded(), slice, since),
    }
}

fn write_number(mut builder: crate::schema_capnp::number::Builder<'_>, number: LeaseId) {
    builder.set_owner(number.owner);
    builder.set_epoch(number.epoch);
}

fn write_claim(mut builder: crate::schema_capnp::claim::Builder<'_>, slice: u32, since: u64) {
    builder.set_slice(slice);
    builder.set_since(since);
}

fn read_number(reader: crate::schema_capnp::number::Reader<'_>) -> LeaseId {
    LeaseId { owner: reader.get_owner(), epoch: reader.get_epoch() }
}

fn read_body(root: &datagram::Reader<'_>, known: KnownVersions) -> Result<Body, Error> {
    use datagram::body::Which;
    let which = root.get_body().which().map_err(|_| Error::Unknown)?;
    let message = match which {
        Which::Probe(sent) => return Ok(Body::Probe(Time::from_micros(sent))),
        Which::Probed(sent) => return Ok(Body::Probed(Time::from_micros(sent))),
        Which::Renew(renew) => {
            let renew = renew?;
            let number = LeaseId { owner: root.get_from(), epoch: renew.get_epoch() };
            let sent = Time::from_micros(renew.get_sent_us());
            Message::Renew { lease: number, other_sponsor: renew.get_other(), sent, known }
        }
        Which::Renewed(renewed) => {
            let renewed = renewed?;
            let number = LeaseId { owner: root.get_to(), epoch: renewed.get_epoch() };
            let sent = Time::from_micros(renewed.get_sent_us());
            Message::Renewed { lease: number, sent, known }
        }
        Which::Lapsed(lapsed) => {
            let lapsed = lapsed?;
            Message::Lapsed {
                lease: read_number(lapsed.get_number()?),
                other_sponsor: lapsed.get_other(),
            }
        }
        Which::Ask(number) => Message::RequestRelease { lease: read_number(number?) },
        Which::Released(released) => {
            let released = released?;
            let known =
                KnownVersions { table: released.get_table(), config: released.get_config() };
            Message::Released { lease: read_number(released.get_number()?), known }
        }
        Which::Claim(claim) => {
            let claim = claim?;
            Message::Claim { slice: claim.get_slice(), since: claim.get_since() }
        }
        Which::Yielded(claim) => {
            let claim = claim?;
            Message::Yielded { slice: claim.get_slice(), since: claim.get_since() }
        }
    };
    Ok(Body::Lease(message))
}
