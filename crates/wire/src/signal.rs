//! Signals: heartbeat and polling datagrams of deployments that coordinate ownership through the
//! store, and their encoding as packed Cap'n Proto.

use std::time::Duration;

use cactushold_ownership::{Heartbeat, HolderId, Release, Renewal, Sample, Term, Time, Version};
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use crate::datagram::Error;
use crate::schema_capnp::{Document, heartbeat, range_release, renewal, signal};

/// Value on the wire for an unknown age or time.
const UNKNOWN_MS: u32 = u32::MAX;
/// Cap'n Proto traversal limit for decoding a signal, in words of 8 bytes.
const MAX_WORDS: usize = 4_096;
/// Scale factor of rates on the wire, which are in thousandths.
const MILLI: f64 = 1_000.0;

/// Newest term and versions that a daemon knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Term of the leader.
    pub term: Term,
    /// Version of the ownership table.
    pub table: Version,
    /// Version of the configuration.
    pub config: u64,
    /// Revision of the zones that are out of service.
    pub zones: u64,
}

impl KnownVersions {
    /// Whether a document is newer here than in `other`.
    ///
    /// ```
    /// use cactushold_wire::schema::Document;
    /// use cactushold_wire::signal::KnownVersions;
    /// let old = KnownVersions { table: 3, config: 5, ..KnownVersions::default() };
    /// let new = KnownVersions { table: 4, ..old };
    /// assert!(new.has_newer(Document::Table, old));
    /// assert!(!new.has_newer(Document::Config, old));
    /// ```
    pub fn has_newer(self, document: Document, other: KnownVersions) -> bool {
        match document {
            Document::Table => self.table > other.table,
            Document::Config => self.config > other.config || self.zones > other.zones,
        }
    }
}

/// Content of a signal.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A member's state, with a request to renew its lease.
    Heartbeat(Heartbeat),
    /// Response to a heartbeat.
    Renewal(Renewal),
    /// Asks how long ago the receiver last heard from the leader; carries a number to echo.
    Poll(u64),
    /// Response to a poll: the echoed number and the time since the leader's last response, `None`
    /// if there was none.
    Polled(u64, Option<Duration>),
}

/// A datagram between daemons that coordinate ownership through the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Signal {
    /// Id of the server life that the sender represents; 0 before it is registered.
    pub from: HolderId,
    /// Id of the sender's process.
    pub run: u64,
    /// Newest versions known to the sender.
    pub known: KnownVersions,
    /// Content.
    pub content: Content,
}

impl Signal {
    /// Encodes the signal as packed Cap'n Proto.
    ///
    /// ```
    /// use cactushold_wire::signal::{Content, KnownVersions, Signal};
    /// let known = KnownVersions::default();
    /// let signal = Signal { from: 1, run: 2, known, content: Content::Poll(5) };
    /// assert_eq!(Signal::decode(&signal.encode())?, signal);
    /// # Ok::<(), cactushold_wire::Error>(())
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<signal::Builder<'_>>();
        root.set_from(self.from);
        root.set_run(self.run);
        root.set_term(self.known.term);
        root.set_table(self.known.table);
        root.set_config(self.known.config);
        root.set_zones(self.known.zones);
        let mut body = root.init_body();
        match &self.content {
            Content::Heartbeat(heartbeat) => write_heartbeat(body.init_heartbeat(), heartbeat),
            Content::Renewal(renewal) => write_renewal(body.init_renewal(), renewal),
            Content::Poll(echo) => body.set_poll(*echo),
            Content::Polled(echo, heard) => {
                let mut polled = body.init_polled();
                polled.set_echo(*echo);
                polled.set_heard_ms(age_millis(*heard));
            }
        }
        let mut bytes = Vec::with_capacity(128);
        // Writing to a `Vec` never fails.
        serialize_packed::write_message(&mut bytes, &message).ok();
        bytes
    }

    /// Decodes a received signal.
    ///
    /// # Errors
    /// The bytes are malformed, or the kind of message is unknown.
    pub fn decode(mut bytes: &[u8]) -> Result<Signal, Error> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_WORDS));
        let message = serialize_packed::read_message(&mut bytes, options)?;
        let root = message.get_root::<signal::Reader<'_>>()?;
        let known = KnownVersions {
            term: root.get_term(),
            table: root.get_table(),
            config: root.get_config(),
            zones: root.get_zones(),
        };
        let content = match root.get_body().which().map_err(|_| Error::Unknown)? {
            signal::body::Heartbeat(heartbeat) => {
                Content::Heartbeat(read_heartbeat(heartbeat?, known)?)
            }
            signal::body::Renewal(renewal) => Content::Renewal(read_renewal(renewal?)?),
            signal::body::Poll(echo) => Content::Poll(echo),
            signal::body::Polled(polled) => {
                let polled = polled?;
                Content::Polled(polled.get_echo(), read_millis(polled.get_heard_ms()))
            }
        };
        Ok(Signal { from: root.get_from(), run: root.get_run(), known, content })
    }
}

/// Rounds up, so that information never appears more recent than it is.
fn age_millis(age: Option<Duration>) -> u32 {
    age.map_or(UNKNOWN_MS, |age| u32::try_from(age.as_millis() + 1).unwrap_or(UNKNOWN_MS))
}

fn remaining_millis(time: Option<Duration>) -> u32 {
    time.map_or(UNKNOWN_MS, |time| u32::try_from(time.as_millis()).unwrap_or(UNKNOWN_MS))
}

fn read_millis(millis: u32) -> Option<Duration> {
    (millis != UNKNOWN_MS).then(|| Duration::from_millis(millis.into()))
}

fn write_heartbeat(mut out: heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    out.set_sent_us(heartbeat.sent.as_micros() as u64);
    out.set_word_age_ms(age_millis(heartbeat.confirmation_age));
    out.set_rate_milli((heartbeat.sample.rate * MILLI) as u32);
    out.set_pressure_milli((heartbeat.sample.pressure * MILLI) as u32);
    out.set_report_ms(remaining_millis(heartbeat.next_report_in));
    let mut releases = out.reborrow().init_releases(heartbeat.releases.len() as u32);
    for (index, release) in heartbeat.releases.iter().enumerate() {
        let mut entry = releases.reborrow().get(index as u32);
        entry.set_by(release.by);
        entry.set_first(release.first);
        entry.set_fence(release.fence);
        entry.set_handover(&release.handover);
        entry.set_service(&release.service);
    }
    // Setting a list fails only beyond Cap'n Proto's maximum length, far above what fits in a
    // datagram.
    out.set_ended(heartbeat.ended.as_slice()).ok();
    out.set_positions(heartbeat.sample.positions.as_slice()).ok();
}

fn read_heartbeat(reader: heartbeat::Reader<'_>, known: KnownVersions) -> Result<Heartbeat, Error> {
    let mut releases = Vec::new();
    for entry in reader.get_releases()? {
        releases.push(read_release(entry)?);
    }
    Ok(Heartbeat {
        sent: Time::from_micros(reader.get_sent_us()),
        term: known.term,
        table: known.table,
        confirmation_age: read_millis(reader.get_word_age_ms()),
        releases,
        ended: reader.get_ended()?.iter().collect(),
        sample: Sample {
            rate: f64::from(reader.get_rate_milli()) / MILLI,
            pressure: f64::from(reader.get_pressure_milli()) / MILLI,
            positions: reader.get_positions()?.iter().collect(),
        },
        next_report_in: read_millis(reader.get_report_ms()),
    })
}

fn read_release(entry: range_release::Reader<'_>) -> Result<Release, Error> {
    let handover = entry.get_handover()?.to_str().map_err(capnp::Error::from)?;
    let service = entry.get_service()?.to_str().map_err(capnp::Error::from)?;
    Ok(Release {
        by: entry.get_by(),
        service: service.to_owned(),
        first: entry.get_first(),
        fence: entry.get_fence(),
        handover: handover.to_owned(),
    })
}

fn write_renewal(mut out: renewal::Builder<'_>, renewal: &Renewal) {
    out.set_sent_us(renewal.sent.as_micros() as u64);
    out.set_lease_ms(renewal.lease.as_millis() as u32);
    out.set_leads(renewal.leads);
    out.set_wants_word(renewal.wants_confirmation);
    out.set_silent(renewal.silent.as_slice()).ok();
}

fn read_renewal(reader: renewal::Reader<'_>) -> Result<Renewal, Error> {
    Ok(Renewal {
        sent: Time::from_micros(reader.get_sent_us()),
        lease: Duration::from_millis(reader.get_lease_ms().into()),
        leads: reader.get_leads(),
        wants_confirmation: reader.get_wants_word(),
        silent: reader.get_silent()?.iter().collect(),
    })
}
