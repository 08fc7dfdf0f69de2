//! Builds the [`View`] that requests are decided by from the state of the control thread.

use std::collections::HashMap;
use std::sync::Arc;

use cactushold_lease::{
    Assignment, Fence, Incarnation, MemberRecord, Peer, PreviousAssignment, Slice, SliceId,
    SponsorSet, Table as RoutingTable, Time,
};
use cactushold_ownership::{Hold, Holder, LatestIncarnation, Position, Range, Table};
use cactushold_placement::QUOTA;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::shared::View;
use crate::{log, metric};

/// A slice of workspace buckets that this daemon holds.
#[derive(Clone, Copy, Debug)]
struct HeldBucketSlice {
    fence: Fence,
    /// When this process acquired it.
    since: Time,
}

/// Shift that turns a key position, the highest 16 bits, into an offset in the 64-bit key space.
const POSITION_SHIFT: u32 = 48;

/// Offset in the 64-bit key space at which a key position starts.
pub fn key_space_offset(position: Position) -> u64 {
    u64::from(position) << POSITION_SHIFT
}

/// Converts the table into the form that requests are routed by.
pub(super) fn routing_table(table: &Table) -> RoutingTable {
    let members = table.members.iter().map(|(&id, member)| {
        let peer = Peer {
            instance: member.instance.clone(),
            zone: member.zone.clone(),
            service: member.service.clone(),
            address: member.address,
            admin: member.admin,
            leaving: !member.serves,
        };
        (id, MemberRecord { peer, grant: SponsorSet { epoch: 0, sponsors: [0, 0] } })
    });
    let services = table.services.iter().enumerate().map(|(index, (name, ranges))| {
        let slices = ranges.iter().map(|range| routing_slice(index, range));
        (name.clone(), slices.collect())
    });
    RoutingTable {
        version: table.version,
        next_slice: 0,
        members: members.collect(),
        services: services.collect(),
    }
}

fn routing_slice(service: usize, range: &Range) -> Slice {
    let assignment =
        |holder: Incarnation| Assignment { owner: holder, successor: holder, since: range.fence };
    let previous =
        PreviousAssignment { assignment: assignment(range.previous), until: range.fence };
    Slice {
        id: slice_id(service, range.first),
        parent: None,
        born: 0,
        start: key_space_offset(range.first),
        current: assignment(range.holder),
        previous: (range.previous != 0).then_some(previous),
    }
}

fn slice_id(service: usize, first: Position) -> SliceId {
    (service as SliceId) << Position::BITS | SliceId::from(first)
}

impl Fleet {
    /// Builds a new view and replaces the current one by it.
    pub(super) fn publish(&self, now: Time) {
        let holder = self.holder.borrow();
        let server = self.server.borrow();
        let (fences, valid_until) = match holder.as_ref() {
            Some(holder) => self.granted_fences(holder.granted()),
            None => (HashMap::new(), Time::ZERO),
        };
        let buckets = self.held_bucket_slices(now);
        let acquired = buckets.iter().map(|(slice, held)| (*slice, held.since));
        let table = self.table.borrow();
        // Until the entry was read, the server may be one that left: it gets no requests.
        let running = server.incarnations.running().filter(|_| self.knows_departures.get());
        let view = View {
            id: self.id(),
            config: Arc::clone(&self.config.borrow()),
            router: Arc::clone(&self.router.borrow()),
            encoded_config: Arc::clone(&self.encoded_config.borrow()),
            table: Arc::clone(&self.routing_table.borrow()),
            acquired: fences.keys().map(|slice| (*slice, Time::ZERO)).chain(acquired).collect(),
            fences: fences
                .into_iter()
                .chain(buckets.iter().map(|(slice, held)| (*slice, held.fence)))
                .collect(),
            valid_until,
            authority_until: holder.as_ref().map_or(Time::ZERO, Holder::valid_until),
            fresh_at: self.last_contact.get(),
            leads: self.is_leading(),
            zone_out_since: self.zone_out_at.get(),
            server: running.map(|running| running.incarnation.server.as_str().into()),
            unresponsive: self.silent_members.borrow().clone(),
            next_report_at: running.map_or(Time::MAX, |running| self.next_report(running)),
            agreed_table: Some(Arc::clone(&table)),
            history: Arc::clone(&self.history.borrow()),
            unreadable: Arc::new(self.unreadable.borrow().values().flatten().cloned().collect()),
            ..View::default()
        };
        metrics::gauge!(metric::SLICES_SERVED).set(view.fences.len() as f64);
        metrics::gauge!(metric::CONFIG_VERSION).set(view.config.version as f64);
        metrics::gauge!(metric::TABLE_VERSION).set(view.table.version as f64);
        metrics::counter!(metric::PLATFORM_CALLS).absolute(self.platform.calls());
        self.log_lease_transition(&view, now);
        self.shared.publish(view);
    }

    /// The slices of workspace buckets that this daemon holds.
    fn held_bucket_slices(&self, now: Time) -> HashMap<SliceId, HeldBucketSlice> {
        let (holder, table) = (self.holder.borrow(), self.table.borrow());
        let service = table.services.keys().position(|name| name == QUOTA);
        let (Some(holder), Some(service)) = (holder.as_ref(), service) else {
            self.buckets_acquired_at.borrow_mut().clear();
            return HashMap::new();
        };
        let mut acquired_at = self.buckets_acquired_at.borrow_mut();
        let held = holder.held(QUOTA).map(|(range, _)| {
            let fence = Fence { since: range.fence, takeover: 0 };
            let held_since = acquired_at.get(&(range.first, range.fence)).copied();
            (range, HeldBucketSlice { fence, since: held_since.unwrap_or(now) })
        });
        let held: Vec<_> = held.collect();
        *acquired_at =
            held.iter().map(|(range, held)| ((range.first, range.fence), held.since)).collect();
        held.into_iter().map(|(range, held)| (slice_id(service, range.first), held)).collect()
    }

    /// When the next report of a server is due.
    pub(super) fn next_report(&self, latest: &LatestIncarnation) -> Time {
        latest.last_report + self.shared.bounds().report_interval
    }

    fn log_lease_transition(&self, view: &View, now: Time) {
        let is_valid = now < view.valid_until;
        if is_valid != self.was_lease_valid.replace(is_valid) {
            match is_valid {
                true => log!(info, Event::LeaseValid, incarnation = view.id),
                false => log!(warn, Event::LeaseLapsed, incarnation = view.id),
            }
        }
    }

    /// The slices of the table that lie within the ranges granted to the server, with their fences,
    /// and the time until which these are valid.
    fn granted_fences(
        &self,
        granted: (impl Iterator<Item = Hold>, Time),
    ) -> (HashMap<SliceId, Fence>, Time) {
        let holds: Vec<Hold> = granted.0.collect();
        let table = self.table.borrow();
        let service = &self.shared.instance.service;
        let Some(index) = table.services.keys().position(|name| name == service) else {
            return (HashMap::new(), granted.1);
        };
        let fences = table.spans(service).filter_map(|(range, last)| {
            let fence = covering_fence(&holds, range.first, last)?;
            Some((slice_id(index, range.first), Fence { since: fence, takeover: 0 }))
        });
        (fences.collect(), granted.1)
    }
}

/// The highest fence of the holds that together cover a range; `None` if they don't cover all of
/// it.
fn covering_fence(holds: &[Hold], first: Position, last: Position) -> Option<u64> {
    let mut next = u32::from(first);
    let mut fence = 0;
    while next <= u32::from(last) {
        let covers = |hold: &&Hold| (u32::from(hold.first)..=u32::from(hold.last)).contains(&next);
        let hold = holds.iter().find(covers)?;
        fence = fence.max(hold.fence);
        next = u32::from(hold.last) + 1;
    }
    Some(fence)
}
