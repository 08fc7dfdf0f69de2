//! The closed list of error kinds and the table from kind to answer.

/// Whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It surely did not run.
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
    /// Repeat after the time in `Retry-After`, at once without one.
    Retry,
    /// Repeat only if the request is idempotent or carries an `Idempotency-Key`.
    Check,
    /// The request itself has to change.
    Correct,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $code:literal, $status:literal, $ran:ident, $advice:ident, $name:literal;)*) => {
        /// Every way in which a request can fail.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum FailureKind {
            $($(#[$doc])* $kind,)*
        }

        impl FailureKind {
            /// All kinds, in the order of their codes.
            pub const ALL: &[FailureKind] = &[$(FailureKind::$kind),*];

            /// Number on the wire between daemons.
            pub fn code(self) -> u16 {
                match self { $(FailureKind::$kind => $code),* }
            }

            /// HTTP status of the answer.
            pub fn status(self) -> u16 {
                match self { $(FailureKind::$kind => $status),* }
            }

            /// What the answer says about the request having run.
            pub fn ran(self) -> Ran {
                match self { $(FailureKind::$kind => Ran::$ran),* }
            }

            /// What the caller is advised to do.
            pub fn advice(self) -> Advice {
                match self { $(FailureKind::$kind => Advice::$advice),* }
            }

            /// Name in answers and counter labels.
            pub fn name(self) -> &'static str {
                match self { $(FailureKind::$kind => $name),* }
            }
        }
    };
}

kinds! {
    /// No or malformed workspace key.
    Unauthenticated = 1, 401, No, Correct, "unauthenticated";
    /// The workspace key is not, or no longer, valid.
    KeyUnknown = 2, 403, No, Correct, "key-unknown";
    /// No service is configured for the path.
    NoService = 3, 404, No, Correct, "no-service";
    /// A keyed service was called without a key.
    NoKey = 4, 400, No, Correct, "no-key";
    /// A header can't be understood.
    BadRequest = 5, 400, No, Correct, "bad-request";
    /// The request body is larger than allowed.
    BodyTooLarge = 6, 413, No, Correct, "body-too-large";
    /// The request took too long to arrive.
    SlowCaller = 7, 408, No, Retry, "slow-caller";
    /// The workspace is over its rate and burst.
    OverRate = 8, 429, No, Retry, "over-rate";
    /// This daemon has no configuration yet.
    NotReady = 9, 503, No, Retry, "not-ready";
    /// This daemon can't tell whether its configuration is current.
    NotFresh = 10, 503, No, Retry, "not-fresh";
    /// No instance holds the key now.
    NoOwner = 11, 503, No, Retry, "no-owner";
    /// The addressed daemon doesn't hold the key.
    NotOwner = 12, 503, No, Retry, "not-owner";
    /// No upstream of the service may receive work.
    NoUpstream = 13, 503, No, Retry, "no-upstream";
    /// The addressed instance is leaving or its zone is out.
    Draining = 14, 503, No, Retry, "draining";
    /// The queue of the upstream is full.
    QueueFull = 15, 503, No, Retry, "queue-full";
    /// The deadline passed while the request waited; it wasn't sent.
    Expired = 16, 503, No, Retry, "expired";
    /// The upstream refused the request without running it.
    Shed = 17, 503, No, Retry, "shed";
    /// The upstream couldn't be reached; nothing was sent.
    Unreachable = 18, 503, No, Retry, "unreachable";
    /// The connection broke after the request was sent.
    Broken = 19, 502, Unknown, Check, "broken";
    /// The deadline passed after the request was sent.
    TimedOut = 20, 504, Unknown, Check, "timed-out";
    /// The first run under this `Idempotency-Key` can't be excluded or found.
    RecordLost = 21, 409, Unknown, Check, "record-lost";
    /// The `Idempotency-Key` was used with another request.
    KeyReused = 22, 422, No, Correct, "key-reused";
    /// The upstream's answer is malformed.
    BadAnswer = 23, 502, Unknown, Check, "bad-answer";
    /// The answer to the first run can't be repeated any more.
    AnswerGone = 24, 409, Yes, Correct, "answer-gone";
    /// The connection to the other daemon was lost or went silent after the request was sent.
    LinkLost = 25, 502, Unknown, Check, "link-lost";
    /// The upstream would take longer than another one is expected to.
    Slow = 26, 503, No, Retry, "slow";
    /// The addressed daemon is to hold the key and waits until its server may.
    NotYetOwner = 27, 503, No, Retry, "not-yet-owner";
}

impl FailureKind {
    /// The kind with this number on the wire.
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
