//! Actions of a random schedule.

use quickcheck::{Arbitrary, Gen};

/// One step of a schedule. Numbers select a node, message or slice by remainder.
#[derive(Clone, Debug)]
pub enum Action {
    /// Advances the time by some milliseconds.
    Wait(u16),
    DeliverAll,
    Deliver(u16),
    Drop(u16),
    Duplicate(u16),
    /// Stops a node from ticking and receiving.
    Pause(u8),
    Resume,
    /// Blocks messages from the first node to the second.
    Cut(u8, u8),
    /// Removes all cuts.
    Heal,
    Restart(u8),
    /// Marks all draining slices of a node as drained.
    MarkDrained(u8),
    /// Delivers the newest table to a node.
    UpdateTable(u8),
    /// Sends a node's report to the leader.
    Report(u8),
    /// Applies the pending reports to the table.
    ApplyReports,
    /// Slice, owner, successor (relative to the owner), and the member whose evidence is used.
    Assign(u8, u8, u8, u8),
    Split(u8),
    /// Owner, joining sponsor, and the index of the retained one.
    ChangeSponsor(u8, u8, u8),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Action {
        let mut byte = || u8::arbitrary(g);
        let (a, b, c, d) = (byte(), byte(), byte(), byte());
        let wide = u16::from(a) << 8 | u16::from(b);
        match u8::arbitrary(g) {
            0..50 => Action::Wait(20),
            50..65 => Action::Wait(250),
            65..70 => Action::Wait(u16::from(a) * 4),
            70..120 => Action::DeliverAll,
            120..145 => Action::Deliver(wide),
            145..150 => Action::Drop(wide),
            150..156 => Action::Duplicate(wide),
            156..166 => Action::Pause(a),
            166..172 => Action::Resume,
            172..180 => Action::Cut(a, b),
            180..186 => Action::Heal,
            186..188 => Action::Restart(a),
            188..198 => Action::MarkDrained(a),
            198..216 => Action::UpdateTable(a),
            216..224 => Action::Report(a),
            224..230 => Action::ApplyReports,
            230..242 => Action::Assign(a, b, c, d),
            242..244 => Action::Split(a),
            _ => Action::ChangeSponsor(a, b, c),
        }
    }
}
