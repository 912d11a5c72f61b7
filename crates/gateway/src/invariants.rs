//! What must hold of every RPC whatever fails, and how often it was looked at, kept by a guard, or broken. Operators and
//! the soak test read the counts.

/// A rule that no fault may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// What was read gets one final answer, before its connection or the process ends.
    OneAnswer,
    /// The answer comes no later than half a second after the client's time, and before the process may be killed.
    AnswerInTime,
    /// Nothing is sent for a client that has left.
    ClientPresent,
    /// Nothing is sent once the RPC's time is over, and a server is told no more time than is left.
    TimeLeft,
    /// What may have run is sent again only where its method allows it, and in the time for that.
    RepeatAllowed,
    /// New work goes only to servers that are listed as ready, where they are now.
    ServerListed,
    /// A refusal promises that trying again is harmless; it is given only where that is so.
    RefusalHarmless,
    /// No RPC begins that could not be answered before the process may be killed.
    AdmittedInTime,
}

impl Invariant {
    /// All of them, in the order in which they are counted.
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

    /// Its name in the log.
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

/// How often an invariant was looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// In all.
    pub checked: u64,
    /// The guard withheld something that would have broken it.
    pub withheld: u64,
    /// It was found broken.
    pub violated: u64,
}

/// The counts of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts([Count; Invariant::ALL.len()]);

impl Counts {
    /// Notes that an invariant was looked at and holds.
    pub fn record_held(&mut self, invariant: Invariant) {
        self.0[invariant as usize].checked += 1;
    }

    /// Notes that a guard kept it.
    pub fn record_withheld(&mut self, invariant: Invariant) {
        let count = &mut self.0[invariant as usize];
        count.checked += 1;
        count.withheld += 1;
    }

    /// Notes that it is broken.
    pub fn record_violated(&mut self, invariant: Invariant) {
        let count = &mut self.0[invariant as usize];
        count.checked += 1;
        count.violated += 1;
    }

    /// The counts of one invariant.
    pub fn of(&self, invariant: Invariant) -> Count {
        self.0[invariant as usize]
    }

    /// The sum over all.
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

    /// The broken ones by name with their counts; empty if none is.
    pub fn violations(&self) -> String {
        let broken = Invariant::ALL.iter().filter(|invariant| self.of(**invariant).violated > 0);
        let shown = broken.map(|invariant| format!("{}={}", invariant.name(), self.of(*invariant).violated));
        shown.collect::<Vec<_>>().join(", ")
    }
}
