//! All kinds of failures, and how each is answered.

/// Whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It certainly didn't run.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// What a caller should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Advice {
    /// Repeat after the time in `Retry-After`, or at once if there is none.
    Retry,
    /// Repeat only if the request is idempotent or carries an `Idempotency-Key`.
    Check,
    /// The request itself has to change.
    Correct,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $code:literal, $status:literal, $ran:ident, $advice:ident, $name:literal;)*) => {
        /// Reason why a request failed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum FailureKind {
            $($(#[$doc])* $kind,)*
        }

        impl FailureKind {
            /// All kinds, in the order of their codes.
            pub const ALL: &[FailureKind] = &[$(FailureKind::$kind),*];

            /// Code in the protocol between daemons.
            pub fn code(self) -> u16 {
                match self { $(FailureKind::$kind => $code),* }
            }

            /// HTTP status of the answer to the caller.
            pub fn status(self) -> u16 {
                match self { $(FailureKind::$kind => $status),* }
            }

            /// Whether the request ran, as stated in the answer.
            pub fn ran(self) -> Ran {
                match self { $(FailureKind::$kind => Ran::$ran),* }
            }

            /// What the caller should do next.
            pub fn advice(self) -> Advice {
                match self { $(FailureKind::$kind => Advice::$advice),* }
            }

            /// Name in answers and metric labels.
            pub fn name(self) -> &'static str {
                match self { $(FailureKind::$kind => $name),* }
            }
        }
    };
}

kinds! {
    /// The workspace's API key is missing or malformed.
    Unauthenticated = 1, 401, No, Correct, "unauthenticated";
    /// The workspace's API key isn't valid, or isn't valid any more.
    KeyUnknown = 2, 403, No, Correct, "key-unknown";
    /// No service is configured for the path.
    NoService = 3, 404, No, Correct, "no-service";
    /// The service routes requests by key, but the request carries none.
    NoKey = 4, 400, No, Correct, "no-key";
    /// A header is malformed.
    BadRequest = 5, 400, No, Correct, "bad-request";
    /// The request body is larger than allowed.
    BodyTooLarge = 6, 413, No, Correct, "body-too-large";
    /// The request took too long to arrive.
    SlowCaller = 7, 408, No, Retry, "slow-caller";
    /// The workspace is over its rate and burst.
    OverRate = 8, 429, No, Retry, "over-rate";
    /// This daemon has no configuration yet.
    NotReady = 9, 503, No, Retry, "not-ready";
    /// This daemon doesn't know whether its configuration is current.
    NotFresh = 10, 503, No, Retry, "not-fresh";
    /// No instance holds the request's key at the moment.
    NoOwner = 11, 503, No, Retry, "no-owner";
    /// The daemon that the request was forwarded to doesn't hold its key.
    NotOwner = 12, 503, No, Retry, "not-owner";
    /// No upstream of the service accepts requests.
    NoUpstream = 13, 503, No, Retry, "no-upstream";
    /// The instance is shutting down, or its zone is out of service.
    Draining = 14, 503, No, Retry, "draining";
    /// The upstream's queue is full.
    QueueFull = 15, 503, No, Retry, "queue-full";
    /// The deadline passed before the request was sent.
    Expired = 16, 503, No, Retry, "expired";
    /// The upstream refused the request without running it.
    Shed = 17, 503, No, Retry, "shed";
    /// The upstream couldn't be reached; nothing was sent.
    Unreachable = 18, 503, No, Retry, "unreachable";
    /// The connection broke after the request was sent.
    Broken = 19, 502, Unknown, Check, "broken";
    /// The deadline passed after the request was sent.
    TimedOut = 20, 504, Unknown, Check, "timed-out";
    /// An earlier run with this `Idempotency-Key` may have happened, but its answer isn't known.
    RecordLost = 21, 409, Unknown, Check, "record-lost";
    /// The `Idempotency-Key` was used with a different request.
    KeyReused = 22, 422, No, Correct, "key-reused";
    /// The upstream's answer is malformed.
    BadAnswer = 23, 502, Unknown, Check, "bad-answer";
    /// The first run was answered, but the answer isn't available any more.
    AnswerGone = 24, 409, Yes, Correct, "answer-gone";
    /// The connection to another daemon was lost or stopped responding after the request was sent.
    LinkLost = 25, 502, Unknown, Check, "link-lost";
    /// Another upstream is expected to be clearly faster.
    Slow = 26, 503, No, Retry, "slow";
    /// The daemon is about to hold the key, but its server hasn't been granted it yet.
    NotYetOwner = 27, 503, No, Retry, "not-yet-owner";
}

impl FailureKind {
    /// Returns the kind with this code in the protocol between daemons, if there is one.
    ///
    /// ```
    /// use cactushold_attempt::FailureKind;
    /// assert_eq!(FailureKind::from_code(FailureKind::Shed.code()), Some(FailureKind::Shed));
    /// assert_eq!(FailureKind::from_code(0), None);
    /// ```
    pub fn from_code(code: u16) -> Option<FailureKind> {
        FailureKind::ALL.iter().copied().find(|kind| kind.code() == code)
    }

    /// Whether another attempt elsewhere or later may succeed within the deadline.
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            FailureKind::NoOwner
                | FailureKind::NotOwner
                | FailureKind::NoUpstream
                | FailureKind::Draining
                | FailureKind::QueueFull
                | FailureKind::Slow
                | FailureKind::NotYetOwner
                | FailureKind::Shed
                | FailureKind::Unreachable
                | FailureKind::Broken
                | FailureKind::LinkLost
                | FailureKind::NotReady
        )
    }
}
