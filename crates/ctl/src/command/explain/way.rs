//! The way of one request, from the lines about it.

use crate::command::explain::line::{Line, Moment, event};

/// One attempt, as the daemon that was asked told it.
#[derive(Clone, Debug, Default)]
pub struct Try {
    /// Instance that it went to.
    pub target: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Milliseconds from arrival to its start.
    pub at: u64,
    /// Milliseconds that it took; nothing if it was open when the request ended.
    pub took: Option<u64>,
    /// How it ended.
    pub end: String,
    /// Whether the upstream got it: `yes`, `no` or `unknown`.
    pub sent: String,
    /// Milliseconds for which its connection had been quiet.
    pub quiet: Option<u64>,
    /// Whether nothing was heard while it was under way.
    pub is_suspect: bool,
    /// Table by which its target was chosen.
    pub table: u64,
    /// As it was told.
    pub text: String,
}

impl Try {
    fn read(text: &str) -> Option<Try> {
        let mut one = Try { text: text.to_owned(), ..Try::default() };
        for word in text.split_whitespace() {
            let (key, value) = word.split_once('=').unwrap_or((word, ""));
            match key {
                "to" => {
                    let (name, incarnation) = value.rsplit_once('/').unwrap_or((value, ""));
                    one.target = name.to_owned();
                    one.incarnation = incarnation.parse().unwrap_or(0);
                }
                "at" => one.at = value.parse().ok()?,
                "took" => one.took = value.parse().ok(),
                "end" => one.end = value.to_owned(),
                "sent" => one.sent = value.to_owned(),
                "quiet" => one.quiet = value.parse().ok(),
                "suspect" => one.is_suspect = true,
                "table" => one.table = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        Some(one).filter(|one| !one.target.is_empty())
    }
}

/// A request, as the lines about it tell it.
pub struct Way<'a> {
    /// The line of the daemon that was asked, if there is one.
    pub entry: Option<&'a Line>,
    /// Lines of daemons beside upstreams.
    pub runs: Vec<&'a Line>,
    /// Its attempts.
    pub tries: Vec<Try>,
    /// When it arrived.
    pub began: Moment,
    /// When it was answered.
    pub ended: Moment,
}

impl<'a> Way<'a> {
    /// Finds the request among the lines; nothing if none is about it.
    pub fn of(lines: &'a [Line]) -> Option<Way<'a>> {
        let of_it: Vec<&Line> = lines.iter().filter(|line| line.is_of_a_request()).collect();
        let entry = of_it.iter().rev().copied().find(|line| line.event != event::RUN_FAILED);
        let last = entry.or_else(|| of_it.last().copied())?;
        let took = last.number("took_ms").unwrap_or(0) as Moment * 1_000;
        let told = entry.and_then(|entry| entry.text("attempts")).unwrap_or_default();
        Some(Way {
            entry,
            runs: of_it.into_iter().filter(|line| line.event == event::RUN_FAILED).collect(),
            tries: told.split("; ").filter_map(Try::read).collect(),
            began: last.at - took,
            ended: last.at,
        })
    }

    /// What became of it.
    pub fn kind(&self) -> &str {
        self.entry.and_then(|entry| entry.text("kind")).unwrap_or("answered")
    }

    /// When an attempt was under way.
    pub fn span(&self, one: &Try) -> (Moment, Moment) {
        let began = self.began + one.at as Moment * 1_000;
        let ended = one.took.map_or(self.ended, |took| began + took as Moment * 1_000);
        (began, ended)
    }
}
