//! The seeded faults, each with the rule that it breaks.

/// A seeded fault.
#[derive(Clone, Copy)]
pub(crate) struct SeededFault {
    /// The name that the gatekeeper reads from its environment.
    pub(crate) name: &'static str,
    /// The rule that its checker has to report.
    pub(crate) rule: &'static str,
}

pub(crate) const SEEDED_FAULTS: [SeededFault; 7] = [
    SeededFault { name: "answers", rule: "one final answer in time" },
    SeededFault { name: "ceilings", rule: "hard ceiling" },
    SeededFault { name: "drained", rule: "nothing new to who takes no work" },
    SeededFault { name: "rounds", rule: "no round twice" },
    SeededFault { name: "exits", rule: "no exit unasked" },
    SeededFault { name: "holds", rule: "bounded memory, descriptors and threads" },
    SeededFault { name: "agreed", rule: "all agree again" },
];
