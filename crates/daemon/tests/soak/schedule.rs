//! What happens in a session, drawn from its seed.

use std::time::Duration;

use fastrand::Rng;

/// Daemons of the deployment; the first ones stand beside servers that hold keys.
pub const DAEMONS: usize = 5;
/// Time within which disturbances begin.
const SPAN_MS: u64 = 16_000;
/// Usual time of a run: so long that requests are under way at each moment of a stop.
const RUN_MS: u64 = 40;
/// Disturbances of a session.
const COUNT: std::ops::Range<usize> = 10..24;

/// Which disturbances a session has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kinds {
    /// Only what operators plan: nothing may be lost.
    Planned,
    /// The same, while processes stand still for a while.
    Frozen,
    /// Everything.
    All,
}

/// One thing that is done; numbers are daemons unless they say otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    HangUp(usize),
    /// Asks for a stop; a new process starts once the old one has ended.
    Terminate(usize),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    /// Stores the next version of the configuration.
    Configure,
    Edit(usize, Edit),
    /// The server beside a daemon tells that it leaves.
    Leave(usize),
    EndServer(usize),
    StartServer(usize),
    /// Connections to a daemon go silent.
    Silence(usize),
    Cut(usize, bool),
    /// A crowd of callers comes to a daemon.
    Crowd(usize),
    /// Sets the time of a run at all servers, in milliseconds.
    Slow(u64),
}

/// How a settings file is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edit {
    /// To another size of heads, in bytes.
    Valid(usize),
    Truncated,
    Missing,
}

/// A step and its time since the start.
pub type Timed = (Duration, Step);

/// Draws a session.
pub fn schedule(random: &mut Rng, kinds: Kinds) -> Vec<Timed> {
    let mut steps = vec![(0, Step::Slow(RUN_MS))];
    for _ in 0..random.usize(COUNT) {
        let at = random.u64(0..SPAN_MS);
        let daemon = random.usize(0..DAEMONS);
        let choice = match kinds {
            Kinds::Planned => random.u32(0..7),
            Kinds::Frozen => random.u32(0..9),
            Kinds::All => random.u32(0..15),
        };
        let drawn: Vec<(u64, Step)> = match choice {
            0 | 1 => hangups(random),
            2 | 3 => vec![(0, Step::Terminate(daemon)), (random.u64(0..40), Step::HangUp(daemon))],
            4 => vec![(0, Step::Configure)],
            5 => edit(random, daemon),
            6 => vec![(0, Step::Slow(random.u64(5..300))), (2_000, Step::Slow(RUN_MS))],
            7 | 8 => pause(random, daemon),
            9 => vec![(0, Step::Kill(daemon)), (random.u64(0..1_500), Step::Start(daemon))],
            10 => {
                let left = random.u64(2_500..3_500);
                let back = left + random.u64(0..1_500);
                vec![
                    (0, Step::Leave(daemon)),
                    (left, Step::EndServer(daemon)),
                    (back, Step::StartServer(daemon)),
                ]
            }
            11 => {
                let back = random.u64(10..2_000);
                vec![(0, Step::EndServer(daemon)), (back, Step::StartServer(daemon))]
            }
            12 => vec![(0, Step::Silence(daemon))],
            13 => {
                vec![
                    (0, Step::Cut(daemon, true)),
                    (random.u64(50..2_500), Step::Cut(daemon, false)),
                ]
            }
            _ => vec![(0, Step::Crowd(daemon))],
        };
        steps.extend(drawn.into_iter().map(|(after, step)| (at + after, step)));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps.into_iter().map(|(at, step)| (Duration::from_millis(at), step)).collect()
}

fn hangups(random: &mut Rng) -> Vec<(u64, Step)> {
    let gap = random.u64(1..80);
    let count = random.u64(5..40);
    (0..count).map(|at| (at * gap, Step::HangUp(random.usize(0..DAEMONS)))).collect()
}

fn pause(random: &mut Rng, daemon: usize) -> Vec<(u64, Step)> {
    // Shorter and longer than the time after which a connection counts as silent.
    let time = if random.bool() { random.u64(50..600) } else { random.u64(600..2_500) };
    vec![(0, Step::Pause(daemon)), (time, Step::Resume(daemon))]
}

fn edit(random: &mut Rng, daemon: usize) -> Vec<(u64, Step)> {
    let first = match random.u32(0..3) {
        0 => Edit::Missing,
        1 => Edit::Truncated,
        _ => Edit::Valid(random.usize(9_000..16_000)),
    };
    let (told, mended) = (random.u64(0..30), random.u64(30..3_000));
    vec![
        (0, Step::Edit(daemon, first)),
        (told, Step::HangUp(daemon)),
        (mended, Step::Edit(daemon, Edit::Valid(16_384))),
        (mended + told, Step::HangUp(daemon)),
    ]
}
