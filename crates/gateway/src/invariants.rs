//! The invariants that hold for every RPC whatever fails, and counts of how often each was checked,
//! upheld by the guard, or violated. Operators and the soak test read the counts.

/// An invariant that no fault may violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Every RPC that was read gets exactly one final answer, before its connection or the process
    /// ends.
    OneAnswer,
    /// The answer comes at most half a second after the client's deadline, and before the process
    /// may be killed.
    AnswerInTime,
    /// Nothing is sent to a server for a client that has left.
    ClientPresent,
    /// Nothing is sent after the RPC's deadline, and a server is never given more time than is
    /// left.
    TimeLeft,
    /// An RPC that may have run is sent again only if its method allows it, and only within the
    /// window for retries.
    RepeatAllowed,
    /// New work goes only to servers that are listed as ready, at their current address and
    /// incarnation.
    ServerListed,
    /// A rejection promises that retrying is harmless, so it is given only where that is true.
    RefusalHarmless,
    /// No RPC is admitted that could not be answered before the process may be killed.
    AdmittedInTime,
}

impl Invariant {
    /// All invariants, in the order in which they are counted.
    pub const ALL: [Invariant; 8] = [
        Invariant::OneAnswer,
        Invariant::AnswerInTime,
        Invariant::ClientPresent,
        Invariant::TimeLeft,
        Invariant::RepeatAllowed,
        Invariant::ServerListed,
        Invariant::RefusalHarmless,
        Invariant::AdmittedInTime,
    ];

    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneAnswer => "one-answer",
            Invariant::AnswerInTime => "answer-in-time",
            Invariant::ClientPresent => "client-present",
            Invariant::TimeLeft => "time-left",
            Invariant::RepeatAllowed => "repeat-allowed",
            Invariant::ServerListed => "server-listed",
            Invariant::RefusalHarmless => "refusal-harmless",
            Invariant::AdmittedInTime => "begins-in-life",
        }
    }
}

/// The counts of one invariant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All checks.
    pub checked: u64,
    /// Checks where the guard withheld an action that would have violated the invariant.
    pub withheld: u64,
    /// Checks that found the invariant violated.
    pub violated: u64,
}

/// The counts of all invariants in one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts([Count; Invariant::ALL.len()]);

impl Counts {
    /// Records that an invariant was checked and holds.
    pub fn record_held(&mut self, invariant: Invariant) {
        self.0[invariant as usize].checked += 1;
    }

    /// Records that the guard withheld an action that would have violated the invariant.
    pub fn record_withheld(&mut self, invariant: Invariant) {
        let count = &mut self.0[invariant as usize];
        count.checked += 1;
        count.withheld += 1;
    }

    /// Records a violation.
    pub fn record_violated(&mut self, invariant: Invariant) {
        let count = &mut self.0[invariant as usize];
        count.checked += 1;
        count.violated += 1;
    }

    /// The counts of one invariant.
    pub fn of(&self, invariant: Invariant) -> Count {
        self.0[invariant as usize]
    }

    /// The sum over all invariants.
    pub fn total(&self) -> Count {
        self.0.iter().fold(Count::default(), |sum, count| Count {
            checked: sum.checked + count.checked,
            withheld: sum.withheld + count.withheld,
            violated: sum.violated + count.violated,
        })
    }

    /// The sum as text, for a header line and the log.
    pub fn summary(&self) -> String {
        let Count { checked, withheld, violated } = self.total();
        format!("checked={checked}, withheld={withheld}, violated={violated}")
    }

    /// The violated invariants by name with their counts; empty if there is none.
    pub fn violations(&self) -> String {
        let violated = Invariant::ALL.iter().filter(|invariant| self.of(**invariant).violated > 0);
        let entries =
            violated.map(|invariant| format!("{}={}", invariant.name(), self.of(*invariant).violated));
        entries.collect::<Vec<_>>().join(", ")
    }
}
