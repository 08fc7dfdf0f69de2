//! State that moves with a slice from its old owner to the new one: idempotency records and the
//! workspaces' rate limit buckets.

use std::collections::HashMap;
use std::time::Duration;

use cactushold_attempt::{IdempotencyRecord, RecordState};
use cactushold_lease::{SliceId, Time};
use cactushold_quota::BucketState;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

use crate::guard::Guard;
use crate::guard::table::RecordedAnswer;
use crate::shared::View;

/// State of a slice that its old owner sends to the new one.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// For how much longer a request without a record may have run under an earlier owner.
    pub unsure: Duration,
    /// Rate limit buckets by workspace, if the slice holds any.
    #[serde(default)]
    pub buckets: Vec<(String, BucketState)>,
    /// Idempotency records whose keys lie in the slice.
    records: Vec<StoredRecord>,
}

#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct StoredRecord {
    key: String,
    position: u64,
    fingerprint: u64,
    /// Missing if the run had not ended or its outcome is unknown.
    answer: Option<StoredAnswer>,
}

#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct StoredAnswer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    /// Missing if the body was too large to keep.
    body: Option<Vec<u8>>,
}

impl Handover {
    /// Collects the idempotency records of a slice and leaves `buckets` empty. `None` if the table
    /// doesn't contain the slice.
    pub fn collect(guard: &Guard, view: &View, slice: SliceId, now: Time) -> Option<Handover> {
        let start = view.table.slice(slice)?.start;
        let (service, end) = view.table.service_and_end(slice)?;
        let unsure = view.unsure_until.get(&slice).copied().unwrap_or_default();
        let in_service = |key: &str| key.split('/').nth(1) == Some(service);
        let records = guard.records.range(start, end).filter(|(key, _)| in_service(key));
        let records = records.map(|(key, entry)| StoredRecord {
            key: key.clone(),
            position: entry.position,
            fingerprint: entry.fingerprint,
            answer: stored_answer(&entry.state),
        });
        Some(Handover {
            unsure: unsure.saturating_sub(now),
            buckets: Vec::new(),
            records: records.collect(),
        })
    }

    /// Imports the idempotency records. One without an answer becomes [`RecordState::Unknown`]: the
    /// request may have run.
    pub fn adopt(self, guard: &mut Guard, now: Time) {
        for record in self.records {
            let state = record.answer.map_or(RecordState::Unknown, |answer| {
                RecordState::Answered(RecordedAnswer {
                    status: answer.status,
                    headers: parse_headers(answer.headers),
                    body: answer.body.map(Into::into),
                })
            });
            let entry = IdempotencyRecord::new(record.position, record.fingerprint, state, now);
            guard.records.import(record.key, entry);
        }
    }
}

fn stored_answer(state: &RecordState<RecordedAnswer>) -> Option<StoredAnswer> {
    let RecordState::Answered(recorded) = state else { return None };
    let headers = recorded.headers.iter();
    Some(StoredAnswer {
        status: recorded.status,
        headers: headers
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body: recorded.body.as_ref().map(|body| body.to_vec()),
    })
}

fn parse_headers(headers: Vec<(String, Vec<u8>)>) -> HeaderMap {
    let parse = |(name, value): (String, Vec<u8>)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(&value).ok()?))
    };
    headers.into_iter().filter_map(parse).collect()
}

/// Slices whose history is incomplete, each with the time until which a request without a record
/// may have run under an earlier owner.
pub type UncertainSlices = HashMap<SliceId, Time>;
