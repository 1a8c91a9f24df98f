//! The seeded faults and the rule that each of them breaks.

/// A deliberate fault in a test build of the gatekeeper.
#[derive(Clone, Copy)]
pub(crate) struct SeededFault {
    /// The value of the environment variable with which a gatekeeper enables the fault.
    pub(crate) name: &'static str,
    /// The rule that the fault breaks and that a checker has to report.
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
