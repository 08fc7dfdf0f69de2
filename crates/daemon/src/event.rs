//! Log events with stable numbers; `docs/EVENTS.md` lists them.

macro_rules! events {
    ($($(#[doc = $doc:literal])* $event:ident = $number:literal, $name:literal;)*) => {
        /// An event that is written to the log.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[doc = $doc])* $event,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &[Event] = &[$(Event::$event),*];

            /// Returns the event's number; a number is never reused.
            pub fn number(self) -> u16 {
                match self { $(Event::$event => $number),* }
            }

            /// Returns the event's name.
            pub fn name(self) -> &'static str {
                match self { $(Event::$event => $name),* }
            }

            /// Returns a description of the event.
            pub fn meaning(self) -> &'static str {
                match self { $(Event::$event => concat!($($doc),*).trim_ascii()),* }
            }
        }
    };
}

events! {
    /// The daemon listens on its addresses.
    Listening = 100, "listening";
    /// The instance is registered under a new incarnation.
    Registered = 101, "registered";
    /// The platform can't be reached; the call is repeated.
    PlatformUnavailable = 102, "platform-unavailable";
    /// The platform's answer was lost; the object is read back.
    AnswerLost = 103, "answer-lost";
    /// The daemon waits for something before it can serve.
    Waiting = 104, "waiting";
    /// This incarnation was dropped by the table or can't renew its lease; a new one is registered.
    Removed = 105, "removed";
    /// Something that was read can't be understood. What was known before holds, or, of a
    /// configuration, everything else that it says.
    Unreadable = 106, "unreadable";
    /// A connection couldn't be accepted.
    NotAccepted = 107, "not-accepted";
    /// The daemon listens for reports of its server, and for questions whether it is ready.
    ListeningForReports = 108, "listening-for-reports";
    /// A server began to live beside this daemon.
    ServerStarted = 110, "server-started";
    /// The server beside this daemon leaves; it gets nothing new.
    ServerLeaving = 111, "server-leaving";
    /// The process of the server beside this daemon has ended.
    ServerEnded = 112, "server-ended";
    /// The server reported, and was told what to hold.
    Reported = 113, "reported";
    /// The settings file was reread; what it says and needs no restart is in force.
    SettingsInForce = 120, "settings-in-force";
    /// The settings file can't be read or is wrong; the earlier settings hold.
    SettingsRefused = 121, "settings-refused";
    /// Changed settings take effect at the next start only.
    RestartNeeded = 122, "restart-needed";
    /// Lines of the log were lost: its reader was too slow.
    LinesLost = 123, "lines-lost";
    /// A thread was late for its own timers: it was busy, or got no processor.
    Stalled = 124, "stalled";
    /// Lines of requests were left out: there were more than the settings let through.
    LinesLeftOut = 125, "lines-left-out";
    /// A newer configuration is in force here.
    ConfigInForce = 200, "config-in-force";
    /// A newer slice table is in force here.
    TableInForce = 201, "table-in-force";
    /// Other zones than before are out.
    ZonesInForce = 202, "zones-in-force";
    /// This daemon started to lead.
    Leading = 210, "leading";
    /// This daemon stopped leading.
    NotLeading = 211, "not-leading";
    /// The leader stored a new slice table.
    TableStored = 212, "table-stored";
    /// The leader stored a patch.
    PatchStored = 213, "patch-stored";
    /// A slice was taken over from a lost owner.
    TakenOver = 300, "taken-over";
    /// A slice is being given up to its new owner.
    Draining = 301, "draining";
    /// A slice was given up.
    GivenUp = 302, "given-up";
    /// The lease ran out; nothing owned is served.
    LeaseLapsed = 303, "lease-lapsed";
    /// The lease is valid again.
    LeaseValid = 304, "lease-valid";
    /// The upstream refused a grant.
    GrantRefused = 305, "grant-refused";
    /// The configuration may be outdated; open routes are refused.
    NotFresh = 400, "not-fresh";
    /// The configuration is known to be current again.
    Fresh = 401, "fresh";
    /// A request was refused or failed.
    RequestFailed = 402, "request-failed";
    /// An attempt of another daemon's request got to the upstream here and wasn't answered, or that
    /// daemon waits for it no longer.
    AttemptFailed = 403, "attempt-failed";
    /// A request was answered after its route's goal.
    RequestLate = 404, "request-late";
    /// Nothing was heard over a connection for too long; new calls go over another one.
    SilentConnection = 500, "silent-connection";
    /// A graceful shutdown began.
    Stopping = 600, "stopping";
    /// The graceful shutdown is complete.
    Stopped = 601, "stopped";
}

/// Logs an event at a level: `log!(info, Event::Fresh, field = value)`.
#[macro_export]
macro_rules! log {
    ($level:ident, $event:expr $(, $($fields:tt)*)?) => {
        tracing::$level!(event = $event.number(), name = $event.name() $(, $($fields)*)?)
    };
}
