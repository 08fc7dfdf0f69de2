//! One step of a random schedule.

use quickcheck::{Arbitrary, Gen};

#[derive(Clone, Debug)]
pub enum Action {
    Wait(u16),
    DeliverAll,
    Deliver(u16),
    Drop(u16),
    Duplicate(u16),
    Pause(u8),
    Resume,
    Cut(u8, u8),
    Heal,
    Restart(u8),
    Drained(u8),
    Table(u8),
    Report(u8),
    Settle,
    Assign(u8, u8, u8, u8),
    Split(u8),
    Sponsor(u8, u8, u8),
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
            188..198 => Action::Drained(a),
            198..216 => Action::Table(a),
            216..224 => Action::Report(a),
            224..230 => Action::Settle,
            230..242 => Action::Assign(a, b, c, d),
            242..244 => Action::Split(a),
            _ => Action::Sponsor(a, b, c),
        }
    }
}
