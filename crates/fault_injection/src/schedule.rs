//! A course of faults, as a file that people read and edit, and as it follows from a seed.

use serde::{Deserialize, Serialize};

/// Which form of the program is played.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// The appliance: HTTP, Consul, gossip and shared duties.
    #[default]
    Appliance,
    /// The platform's: RESP2, discovery, upgrades; the instances do not talk to each other.
    Platform,
}

/// How a stand-in fails.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// It takes all and says nothing.
    Silent,
    /// It answers after 0.2 s.
    Slow,
    /// It answers that it failed, and applies nothing.
    Error,
    /// It applies, and never answers.
    Lost,
    /// It applies, and its answers end in the middle.
    Cut,
    /// It closes connections at once.
    Closed,
    /// It comes back knowing nothing, at the fault's begin.
    Empty,
}

/// What is done to the file of the last good list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Disk {
    /// Its program is killed, it ends after these per mille of its bytes, and the program starts again.
    Torn(u32),
    /// Nothing can be written beside it.
    Full,
    /// Its folder is gone.
    Lost,
    /// Its folder takes no new file.
    ReadOnly,
}

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Nothing passes from these to those, nor back unless it says `one_way`.
    Cut {
        /// A party, `zone:NAME`, `region:NAME` or `*`.
        from: String,
        /// The same.
        to: String,
        /// Only that way.
        #[serde(default)]
        one_way: bool,
    },
    /// Connections between them end by resets, and new ones too.
    Closed {
        /// As with `cut`.
        from: String,
        /// As with `cut`.
        to: String,
    },
    /// What passes between them, both ways, is spoilt.
    Spoilt {
        /// As with `cut`.
        from: String,
        /// As with `cut`.
        to: String,
        /// The share of chunks of streams in whose middle the connection is reset.
        #[serde(default)]
        reset: f64,
        /// The share of datagrams that vanish, and of chunks that come late.
        #[serde(default)]
        loss: f64,
        /// The share of datagrams that come twice.
        #[serde(default)]
        repeat: f64,
        /// The share of datagrams that are overtaken.
        #[serde(default)]
        reorder: f64,
        /// How long all is on its way.
        #[serde(default)]
        delay_ms: u64,
        /// Up to this longer, by chance.
        #[serde(default)]
        jitter_ms: u64,
        /// Bytes a second; 0 means no bound.
        #[serde(default)]
        bytes_per_s: u64,
    },
    /// A cut that comes and goes: on for a period, off for a period.
    Flapping {
        /// As with `cut`.
        from: String,
        /// As with `cut`.
        to: String,
        /// ms
        period_ms: u64,
    },
    /// Killed, and started again at the fault's end.
    Killed {
        /// Programs, as with `cut`.
        who: String,
    },
    /// Told to end in order, and started again at the fault's end.
    Ended {
        /// Programs, as with `cut`.
        who: String,
    },
    /// Stopped, and continued at the fault's end.
    Stopped {
        /// Programs, as with `cut`.
        who: String,
    },
    /// Stopped nine tenths of the time.
    Slowed {
        /// Programs, as with `cut`.
        who: String,
    },
    /// Killed and started at once with a wall clock so far off; with the right one again at the fault's end.
    Clock {
        /// Programs, as with `cut`.
        who: String,
        /// Milliseconds ahead, or behind where below 0.
        ms: i64,
        /// It is set while they run.
        #[serde(default)]
        running: bool,
    },
    /// The gossip's key is changed in all: both are valid first, then these seal with the new one, at the fault's end the
    /// others too, and then the old one is gone.
    Keys {
        /// Programs, as with `cut`.
        who: String,
    },
    /// Staff proposes these units a second for the plan `basic`, from the folder of this program, and again until it hears what
    /// became of it.
    Propose {
        /// A program.
        who: String,
        /// Units a second.
        rate: f64,
    },
    /// By SIGHUP they have these duties, named by their numbers; the usual ones again at the fault's end.
    Duties {
        /// Programs, as with `cut`.
        who: String,
        /// The first.
        first: usize,
        /// How many.
        count: usize,
    },
    /// Started anew under another one's name beside it; under its own again at the fault's end.
    Renamed {
        /// Programs, as with `cut`.
        who: String,
        /// The name.
        name: String,
    },
    /// The agent of these programs fails.
    Consul {
        /// Programs, as with `cut`.
        who: String,
        /// How.
        how: How,
    },
    /// The counter fails.
    Counter {
        /// How.
        how: How,
    },
    /// These loan servers fail.
    Loans {
        /// Loan servers, as with `cut`.
        who: String,
        /// How.
        how: How,
    },
    /// The catalogue marks these loan servers as failing; well again at the fault's end.
    Drained {
        /// Loan servers, as with `cut`.
        who: String,
    },
    /// The file of the last good list is spoilt.
    Disk {
        /// Programs, as with `cut`.
        who: String,
        /// How.
        how: Disk,
    },
    /// Another program is started beside it to take its place. The old one is told to end at the fault's end.
    Upgrade {
        /// Programs, as with `cut`.
        who: String,
        /// The new one is killed so long after its start, and the old one goes on.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        new_dies_after_us: Option<u64>,
        /// The old one is killed so long after the new one's start.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        old_dies_after_us: Option<u64>,
    },
}

impl Kind {
    /// Its name in tables.
    pub fn name(&self) -> String {
        match self {
            Self::Cut { one_way: true, .. } => "cut one way".into(),
            Self::Cut { .. } => "cut".into(),
            Self::Closed { .. } => "closed".into(),
            Self::Spoilt { reset, loss, repeat, reorder, bytes_per_s, .. } => {
                let parts = [(*reset > 0.0, "resets"), (*loss > 0.0, "loss"), (*repeat > 0.0, "repeats")];
                let more = [(*reorder > 0.0, "reordering"), (*bytes_per_s > 0, "throttled")];
                parts.iter().chain(&more).find(|p| p.0).map_or("delay", |p| p.1).into()
            }
            Self::Flapping { .. } => "flapping".into(),
            Self::Killed { .. } => "killed".into(),
            Self::Ended { .. } => "ended in order".into(),
            Self::Stopped { .. } => "stopped".into(),
            Self::Slowed { .. } => "slowed".into(),
            Self::Clock { running: true, .. } => "clock set while it runs".into(),
            Self::Clock { .. } => "clock set".into(),
            Self::Keys { .. } => "keys changed".into(),
            Self::Duties { .. } => "duties changed".into(),
            Self::Propose { .. } => "version proposed".into(),
            Self::Renamed { .. } => "two of one name".into(),
            Self::Consul { how, .. } => format!("consul {how:?}").to_lowercase(),
            Self::Counter { how } => format!("counter {how:?}").to_lowercase(),
            Self::Loans { how, .. } => format!("loan server {how:?}").to_lowercase(),
            Self::Drained { .. } => "drained".into(),
            Self::Disk { how: Disk::Torn(_), .. } => "file torn".into(),
            Self::Disk { how: Disk::Full, .. } => "disk full".into(),
            Self::Disk { how: Disk::Lost, .. } => "folder lost".into(),
            Self::Disk { how: Disk::ReadOnly, .. } => "folder read-only".into(),
            Self::Upgrade { new_dies_after_us: Some(_), .. } => "upgrade, new one dies".into(),
            Self::Upgrade { old_dies_after_us: Some(_), .. } => "upgrade, old one dies".into(),
            Self::Upgrade { .. } => "upgrade".into(),
        }
    }
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Fault {
    /// It begins so long after all serve.
    pub at_ms: u64,
    /// It lasts so long.
    pub for_ms: u64,
    /// What it is.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What a site has beside programs and loan servers.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Has {
    /// Duties of the appliances.
    pub duties: usize,
    /// Programs that step in behind the first for a duty.
    pub standbys: usize,
    /// Agents of Consul for each program.
    pub agents: usize,
    /// Lenders ask for work all the time.
    pub load: bool,
    /// Appliances probe loan servers.
    pub probes: bool,
    /// Voters of agreed versions, the first programs; 0 for none.
    pub voters: usize,
}

impl Default for Has {
    fn default() -> Self {
        Self { duties: 4, standbys: 3, agents: 1, load: true, probes: true, voters: 0 }
    }
}

impl Has {
    fn is_usual(&self) -> bool {
        *self == Self::default()
    }
}

/// A course of faults.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// What it is called.
    pub name: String,
    /// For all that is random in the rig.
    pub seed: u64,
    /// The form of the program.
    pub form: Form,
    /// How many programs.
    pub programs: usize,
    /// How many loan servers.
    pub loans: usize,
    /// The load goes on for so long; then all must agree again.
    pub length_ms: u64,
    /// What else the site has.
    #[serde(default, skip_serializing_if = "Has::is_usual")]
    pub has: Has,
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The most programs and loan servers of a site.
pub const MOST: usize = 64;

impl Schedule {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The text says what cannot be used.
    pub fn parse(text: &str) -> Result<Self, String> {
        let schedule: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        if !(1..=MOST).contains(&schedule.programs) || !(1..=MOST).contains(&schedule.loans) {
            return Err(format!("programs and loans must be 1 to {MOST}"));
        }
        if let Some(late) =
            schedule.faults.iter().find(|f| f.at_ms.saturating_add(f.for_ms) > schedule.length_ms)
        {
            return Err(format!("a fault of {} ms ends after length_ms", late.at_ms));
        }
        Ok(schedule)
    }

    /// The file.
    ///
    /// # Panics
    ///
    /// Never: each field has a form in TOML.
    pub fn text(&self) -> String {
        toml::to_string(self).expect("a schedule has a form in TOML")
    }

    /// When the last fault ends, in ms.
    pub fn last_end(&self) -> u64 {
        self.faults.iter().map(|f| f.at_ms + f.for_ms).max().unwrap_or(0)
    }

    /// The same without the fault of this number.
    #[must_use]
    pub fn without(&self, number: usize) -> Self {
        let mut less = self.clone();
        less.faults.remove(number);
        less
    }

    /// What follows from this seed: two to five faults of any kind within `length_ms`, which may overlap.
    pub fn drawn(seed: u64, length_ms: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let form = if random.u32(0..3) == 0 { Form::Platform } else { Form::Appliance };
        let (programs, loans) = (random.usize(5..=12), random.usize(4..=8));
        let mut draw = Draw { random, form, programs, loans };
        let count = draw.random.usize(2..=5);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| {
                let at_ms = draw.random.u64(length_ms / 10..length_ms / 2);
                let for_ms = draw.random.u64(length_ms / 20..length_ms * 2 / 5);
                Fault { at_ms, for_ms, kind: draw.kind() }
            })
            .collect();
        faults.sort_by_key(|f| f.at_ms);
        let has = Has::default();
        Self { name: format!("seed {seed}"), seed, form, programs, loans, length_ms, has, faults }
    }
}

/// Draws kinds for a site.
struct Draw {
    random: fastrand::Rng,
    form: Form,
    programs: usize,
    loans: usize,
}

impl Draw {
    fn program(&mut self) -> String {
        format!("m{}", self.random.usize(0..self.programs))
    }

    fn loan(&mut self) -> String {
        format!("l{}", self.random.usize(0..self.loans))
    }

    /// A program, a zone, a region or all.
    fn programs(&mut self) -> String {
        match self.random.u32(0..8) {
            0 => format!("zone:{}", ["a", "b", "c"][self.random.usize(0..3)]),
            1 => "*".into(),
            _ => self.program(),
        }
    }

    /// The two sides of a link that matters to somebody.
    fn sides(&mut self) -> (String, String) {
        let appliance = self.form == Form::Appliance;
        let from = self.programs();
        let to = match self.random.u32(0..8) {
            0 if appliance => "consul".into(),
            0 => "discovery".into(),
            1 => "counter".into(),
            2 => self.loan(),
            3 => "load".into(),
            4 => return ("zone:a".into(), "zone:b".into()),
            5 => return ("region:north".into(), "region:south".into()),
            _ if appliance => self.program(),
            _ => self.loan(),
        };
        (from, to)
    }

    fn how(&mut self) -> How {
        let all = [How::Silent, How::Slow, How::Error, How::Lost, How::Cut, How::Closed, How::Empty];
        all[self.random.usize(0..all.len())]
    }

    fn kind(&mut self) -> Kind {
        let share = |random: &mut fastrand::Rng| random.u32(1..=4) as f64 / 10.0;
        match self.random.u32(0..16) {
            0 | 1 => {
                let ((from, to), one_way) = (self.sides(), self.random.bool());
                Kind::Cut { from, to, one_way }
            }
            2 => {
                let (from, to) = self.sides();
                Kind::Closed { from, to }
            }
            3 | 4 => {
                let (from, to) = self.sides();
                let which = self.random.u32(0..6);
                let some = share(&mut self.random);
                let when = |on: bool, value: f64| if on { value } else { 0.0 };
                Kind::Spoilt {
                    from,
                    to,
                    reset: when(which == 0, some / 4.0),
                    loss: when(which == 1, some),
                    repeat: when(which == 2, some),
                    reorder: when(which == 3, some),
                    delay_ms: if which == 4 { self.random.u64(5..60) } else { 0 },
                    jitter_ms: if which == 4 { self.random.u64(0..60) } else { 0 },
                    bytes_per_s: if which == 5 { self.random.u64(4_000..64_000) } else { 0 },
                }
            }
            5 => {
                let (from, to) = self.sides();
                Kind::Flapping { from, to, period_ms: self.random.u64(100..1_000) }
            }
            6 | 7 => Kind::Killed { who: self.programs() },
            8 => Kind::Ended { who: self.program() },
            9 => Kind::Stopped { who: self.programs() },
            10 => Kind::Slowed { who: self.program() },
            11 => Kind::Counter { how: self.how() },
            12 => Kind::Loans { who: self.loan(), how: self.how() },
            13 => Kind::Drained { who: self.loan() },
            14 if self.form == Form::Platform => self.upgrade(),
            14 => match self.random.u32(0..8) {
                0..3 => {
                    let (ms, running) = (self.random.i64(-140..140), self.random.bool());
                    Kind::Clock { who: self.program(), ms, running }
                }
                3 => Kind::Keys { who: self.programs() },
                4 => Kind::Renamed { who: self.program(), name: self.program() },
                _ => Kind::Consul { who: self.programs(), how: self.how() },
            },
            _ if self.form == Form::Platform => self.upgrade(),
            _ => {
                let how = match self.random.u32(0..4) {
                    0 => Disk::Torn(self.random.u32(0..1_000)),
                    1 => Disk::Full,
                    2 => Disk::ReadOnly,
                    _ => Disk::Lost,
                };
                Kind::Disk { who: self.program(), how }
            }
        }
    }

    /// A take-over lasts a few milliseconds: those who die are to die in it, before it, and after it.
    fn upgrade(&mut self) -> Kind {
        let who = self.program();
        let dies = 1_000 * self.random.u64(0..12) * self.random.u64(1..12) + self.random.u64(0..2_000);
        let (new, old) = match self.random.u32(0..3) {
            0 => (None, None),
            1 => (None, Some(dies)),
            _ => (Some(dies), None),
        };
        Kind::Upgrade { who, new_dies_after_us: new, old_dies_after_us: old }
    }
}

/// The courses that have a name of their own.
pub fn named() -> Vec<Schedule> {
    let text = |s: &str| s.to_owned();
    let fault = |at_ms, for_ms, kind| Fault { at_ms, for_ms, kind };
    let make = |name: &str, form, programs, length_ms, faults| Schedule {
        name: text(name),
        seed: 1,
        form,
        programs,
        loans: 6,
        length_ms,
        has: Has::default(),
        faults,
    };
    let killed = |who: &str, at, lasts| fault(at, lasts, Kind::Killed { who: text(who) });
    let cut = |from: &str, to: &str, one_way| Kind::Cut { from: text(from), to: text(to), one_way };
    let upgrade = |who: &str, new, old| Kind::Upgrade {
        who: text(who),
        new_dies_after_us: new,
        old_dies_after_us: old,
    };
    let half =
        |at: u64| vec![killed("m0", at, 3_000), killed("m2", at + 300, 3_000), killed("m4", at + 600, 3_000)];
    let all = |at: u64| (0..6).map(|i| killed(&format!("m{i}"), at + 300 * i, 200)).collect::<Vec<_>>();
    let (appliance, platform) = (Form::Appliance, Form::Platform);
    vec![
        make("half killed within a second", appliance, 6, 9_000, half(2_000)),
        make("half killed within a second, platform", platform, 6, 9_000, half(2_000)),
        make(
            "a split in the middle of an upgrade",
            platform,
            4,
            8_000,
            vec![
                fault(2_000, 3_000, upgrade("m1", None, None)),
                fault(1_990, 2_500, cut("region:north", "region:south", false)),
            ],
        ),
        make(
            "the new program of an upgrade dies unheard",
            platform,
            4,
            8_000,
            vec![fault(2_000, 2_000, upgrade("m1", Some(400_000), None))],
        ),
        make(
            "the old program of an upgrade dies unheard",
            platform,
            4,
            8_000,
            vec![fault(2_000, 2_000, upgrade("m1", None, Some(400_000)))],
        ),
        make(
            "a slow member that others wait for",
            appliance,
            6,
            9_000,
            vec![fault(2_000, 4_000, Kind::Slowed { who: text("m1") })],
        ),
        make(
            "the counter reachable from one zone only",
            appliance,
            6,
            10_000,
            vec![
                fault(2_000, 5_000, cut("zone:b", "counter", false)),
                fault(2_000, 5_000, cut("zone:c", "counter", false)),
            ],
        ),
        make("all restarted within two seconds", appliance, 6, 9_000, all(2_000)),
        make("all restarted within two seconds, platform", platform, 6, 9_000, all(2_000)),
        make(
            "a flapping link",
            appliance,
            5,
            60_000,
            vec![fault(1_000, 56_000, Kind::Flapping { from: text("m0"), to: text("*"), period_ms: 1_000 })],
        ),
        make(
            "two apart while a third reaches both",
            appliance,
            5,
            10_000,
            vec![fault(2_000, 6_000, cut("m0", "m1", false))],
        ),
        make(
            "a link that works one way only",
            appliance,
            5,
            10_000,
            vec![fault(2_000, 6_000, cut("m0", "m1", true))],
        ),
        make(
            "keys changed while split",
            appliance,
            6,
            10_000,
            vec![
                fault(2_000, 4_000, cut("region:north", "region:south", false)),
                fault(2_500, 2_500, Kind::Keys { who: text("region:north") }),
            ],
        ),
        make(
            "two members of one name",
            appliance,
            5,
            10_000,
            vec![fault(2_000, 4_000, Kind::Renamed { who: text("m1"), name: text("m2") })],
        ),
        make(
            "a clock set back while it runs",
            appliance,
            5,
            10_000,
            vec![
                fault(2_000, 3_000, Kind::Clock { who: text("m1"), ms: -140, running: true }),
                fault(2_500, 3_000, Kind::Clock { who: text("m2"), ms: 140, running: true }),
            ],
        ),
        make(
            "a member that was stopped for a minute",
            appliance,
            6,
            70_000,
            vec![fault(2_000, 60_000, Kind::Stopped { who: text("m1") })],
        ),
        make(
            "half of 24 killed within a second",
            appliance,
            24,
            14_000,
            (0..12).map(|i| killed(&format!("m{}", 2 * i), 3_000 + 80 * i, 4_000)).collect(),
        ),
        make(
            "a region cut off",
            appliance,
            6,
            10_000,
            vec![fault(2_000, 5_000, cut("region:north", "region:south", false))],
        ),
        make(
            "the list file torn while Consul is silent",
            appliance,
            5,
            10_000,
            vec![
                fault(2_000, 4_000, Kind::Consul { who: text("m1"), how: How::Silent }),
                fault(3_000, 300, Kind::Disk { who: text("m1"), how: Disk::Torn(500) }),
            ],
        ),
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_drawn_is_the_same_each_time_and_survives_its_file() {
        for seed in 0..500 {
            let schedule = Schedule::drawn(seed, 10_000);
            assert_eq!(schedule, Schedule::drawn(seed, 10_000));
            assert_eq!(Schedule::parse(&schedule.text()), Ok(schedule));
        }
        named().iter().for_each(|s| assert_eq!(Schedule::parse(&s.text()).as_ref(), Ok(s)));
    }

    #[test]
    fn seeds_reach_each_kind_of_fault() {
        let all: std::collections::BTreeSet<String> =
            (0..2_000).flat_map(|seed| Schedule::drawn(seed, 10_000).faults).map(|f| f.kind.name()).collect();
        // Five of links' qualities, cuts, a flap, programs, three stand-ins with seven faults each, disks, upgrades.
        assert!(all.len() >= 40, "{all:?}");
    }

    #[test]
    fn a_file_that_cannot_be_played_is_refused() {
        let good = Schedule::drawn(1, 10_000).text();
        for bad in
            [good.replace("programs = ", "programs = 9"), good.replace("length_ms = 10000", "length_ms = 1")]
        {
            assert!(Schedule::parse(&bad).is_err());
        }
        assert!(Schedule::parse("kind = 1").is_err());
    }
}
