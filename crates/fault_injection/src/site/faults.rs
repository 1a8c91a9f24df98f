//! What is done to a site: each kind of fault, from its begin to its end.

use super::*;

impl Site {
    /// All ordered pairs between two sides, there and, if so, back.
    fn pairs(&self, from: &str, to: &str, back: bool, quality: Quality) -> Pairs {
        let side = |who: &str| -> Vec<(&String, Party)> {
            // All of a zone against all: clients are in no zone, so that they are cut off only by name.
            let named = self.parties.iter().filter(|(name, _)| is(who, name));
            named.filter(|(name, _)| who == "load" || *name != "load").map(|(n, p)| (n, *p)).collect()
        };
        let mut pairs = Pairs::new();
        for (_, a) in side(from) {
            for (_, b) in side(to) {
                if a != b {
                    pairs.push(((a, b), quality));
                    if back {
                        pairs.push(((b, a), quality));
                    }
                }
            }
        }
        pairs
    }

    /// Programs whose clients may miss an answer while these links are spoilt, and whether sends may arrive late.
    fn spoilt(&self, pairs: &Pairs) -> (Vec<String>, bool) {
        let load = self.parties["load"];
        let programs = self.members.len();
        let loans = programs..programs + self.loans.len();
        let mut hits = Vec::new();
        let mut late = false;
        for ((a, b), _) in pairs {
            for (one, two) in [(*a, *b), (*b, *a)] {
                if one == load && two < programs {
                    hits.push(self.members[two].name.clone());
                }
                late |= one < programs && loans.contains(&two);
            }
        }
        hits.sort();
        hits.dedup();
        (hits, late)
    }

    /// Begins this fault, holds it until `end` returns, and ends it. False where other faults have its programs.
    pub fn play(&self, number: usize, kind: &FaultKind, end: &dyn Fn()) -> Result<bool, String> {
        let id = number as u64;
        let link = |pairs: Pairs| {
            let (hits, late) = self.spoilt(&pairs);
            self.noted(number, kind, hits, late, || {
                self.network.spoil(id, pairs);
                end();
                self.network.heal(id);
                Ok(())
            })
        };
        let cut = Quality { cut: true, ..Quality::default() };
        match kind {
            FaultKind::Cut { from, to, one_way } => link(self.pairs(from, to, !one_way, cut)),
            FaultKind::Closed { from, to } => {
                link(self.pairs(from, to, true, Quality { closed: true, ..Quality::default() }))
            }
            FaultKind::Degraded {
                from,
                to,
                reset,
                loss,
                duplicate: repeat,
                reorder,
                delay_ms,
                jitter_ms,
                bytes_per_s,
            } => {
                let quality = Quality {
                    reset: *reset,
                    loss: *loss,
                    repeat: *repeat,
                    reorder: *reorder,
                    delay: Duration::from_millis(*delay_ms),
                    jitter: Duration::from_millis(*jitter_ms),
                    rate: *bytes_per_s,
                    ..Quality::default()
                };
                link(self.pairs(from, to, true, quality))
            }
            FaultKind::Flapping { from, to, period_ms } => {
                let pairs = self.pairs(from, to, true, cut);
                let (hits, late) = self.spoilt(&pairs);
                self.noted(number, kind, hits, late, || {
                    let over = AtomicBool::new(false);
                    thread::scope(|scope| {
                        scope.spawn(|| {
                            while !over.load(Ordering::Relaxed) {
                                self.network.spoil(id, pairs.clone());
                                thread::sleep(Duration::from_millis(*period_ms));
                                self.network.heal(id);
                                thread::sleep(Duration::from_millis(*period_ms));
                            }
                        });
                        end();
                        over.store(true, Ordering::Relaxed);
                    });
                    Ok(())
                })
            }
            FaultKind::Consul { target: who, mode: how } => {
                let fault = match how {
                    FailureMode::Silent => ConsulFault::Silence,
                    FailureMode::Slow => ConsulFault::Delay(Duration::from_millis(200)),
                    FailureMode::Error => ConsulFault::Status(500),
                    FailureMode::ResponseLost => ConsulFault::Lost,
                    FailureMode::ResponseTruncated => ConsulFault::Cut,
                    FailureMode::Closed => ConsulFault::Closed,
                    FailureMode::RestartedEmpty => ConsulFault::None,
                };
                self.noted(number, kind, Vec::new(), false, || {
                    if *how == FailureMode::RestartedEmpty {
                        self.consul.restart_empty();
                    }
                    let agents = || self.programs(who).into_iter().flat_map(|i| &self.doors[i]);
                    agents().for_each(|door| door.fail(fault));
                    end();
                    agents().for_each(|door| door.fail(ConsulFault::None));
                    Ok(())
                })
            }
            FaultKind::Counter { mode: how } => self.noted(number, kind, Vec::new(), false, || {
                if *how == FailureMode::RestartedEmpty {
                    self.counter.empty();
                }
                failing([&self.counter.failing], *how, end);
                Ok(())
            }),
            FaultKind::Backends { target: who, mode: how } => {
                self.noted(number, kind, Vec::new(), false, || {
                    failing(self.loans(who).iter().map(|l| &l.failing), *how, end);
                    Ok(())
                })
            }
            FaultKind::Drained { target: who } => self.noted(number, kind, Vec::new(), false, || {
                self.mark(who, true);
                end();
                self.mark(who, false);
                Ok(())
            }),
            FaultKind::VersionProposed { target: who, units_per_second: rate } => {
                self.noted(number, kind, Vec::new(), false, || {
                    let done = self.programs(who).into_iter().try_for_each(|i| self.propose(i, *rate));
                    end();
                    done
                })
            }
            FaultKind::KeyRotation { target: who } => {
                let first = self.programs(who);
                self.noted(number, kind, Vec::new(), false, || self.change_keys(&first, end))
            }
            FaultKind::Killed { target: who }
            | FaultKind::ShutDown { target: who }
            | FaultKind::Suspended { target: who }
            | FaultKind::Throttled { target: who }
            | FaultKind::ClockOffset { target: who, .. }
            | FaultKind::NameConflict { target: who, .. }
            | FaultKind::JobsChanged { target: who, .. }
            | FaultKind::Disk { target: who, .. }
            | FaultKind::Upgrade { target: who, .. } => self.play_on(number, kind, who, end),
        }
    }

    fn noted(
        &self,
        number: usize,
        kind: &FaultKind,
        hits: Vec<String>,
        late: bool,
        act: impl FnOnce() -> Result<(), String>,
    ) -> Result<bool, String> {
        let note = |begins| {
            let (kind, hits) = (kind.name(), hits.clone());
            self.recorder.record(Observation::Fault {
                index: number,
                kind,
                begins,
                affected: hits,
                delays_attempts: late,
            });
        };
        note(true);
        let done = act();
        note(false);
        done.map(|()| true)
    }

    /// Marks loan servers in the catalogue and in the list.
    fn mark(&self, who: &str, drains: bool) {
        let named: Vec<String> = self.loans(who).iter().map(|l| l.name.clone()).collect();
        named.iter().for_each(|name| self.discovery.drain(name, drains));
        let index = self.consul_index.fetch_add(1, Ordering::Relaxed) + 1;
        self.consul.change(|state| {
            for service in state.services.get_mut(SERVICE).into_iter().flatten() {
                if named.contains(&service.id) {
                    service.status = if drains { Status::Critical } else { Status::Passing };
                }
            }
            state.services_index = index;
        });
    }

    /// A fault of programs.
    fn play_on(&self, number: usize, kind: &FaultKind, who: &str, end: &dyn Fn()) -> Result<bool, String> {
        let mine: Vec<usize> = self.programs(who);
        let mine: Vec<usize> = mine
            .into_iter()
            .filter(|&i| {
                let mut running = held(&self.members[i].running);
                !std::mem::replace(&mut running.busy, true)
            })
            .collect();
        if mine.is_empty() {
            return Ok(false);
        }
        // An orderly end, a full disk and an upgrade that goes well take nobody's answer away.
        let whole = matches!(kind, FaultKind::ShutDown { .. })
            || matches!(
                kind,
                FaultKind::Disk { fault: DiskFault::Full | DiskFault::Lost | DiskFault::ReadOnly, .. }
            )
            || matches!(kind, FaultKind::ClockOffset { running: true, .. } | FaultKind::JobsChanged { .. })
            || matches!(kind, FaultKind::Upgrade { new_dies_after_us: None, old_dies_after_us: None, .. });
        let names: Vec<String> = mine.iter().map(|&i| self.members[i].name.clone()).collect();
        let hits = if whole { Vec::new() } else { names };
        let done = self.noted(number, kind, hits, false, || self.act_on(kind, &mine, end));
        mine.iter().for_each(|&i| held(&self.members[i].running).busy = false);
        done
    }

    pub(super) fn each(&self, mine: &[usize], act: impl Fn(&Process)) {
        mine.iter().for_each(|&i| held(&self.members[i].running).process.iter().for_each(&act));
    }

    /// Starts these anew and waits until they serve.
    fn again(&self, mine: &[usize]) -> Result<(), String> {
        for &i in mine {
            self.begin(i)?;
        }
        mine.iter().try_for_each(|&i| {
            let serves = self.serves(i);
            serves.then_some(()).ok_or_else(|| format!("{} does not serve again", self.members[i].name))
        })
    }

    fn act_on(&self, kind: &FaultKind, mine: &[usize], end: &dyn Fn()) -> Result<(), String> {
        match kind {
            FaultKind::Killed { .. } => {
                self.each(mine, Process::kill);
                end();
                self.again(mine)
            }
            FaultKind::ShutDown { .. } => {
                self.each(mine, Process::end);
                end();
                self.each(mine, Process::has_ended_in_order);
                self.again(mine)
            }
            FaultKind::Suspended { .. } => {
                self.each(mine, Process::stop);
                end();
                self.each(mine, Process::go_on);
                Ok(())
            }
            FaultKind::Throttled { .. } => {
                self.each(mine, Process::slow_down);
                end();
                self.each(mine, Process::go_on);
                Ok(())
            }
            FaultKind::ClockOffset { offset_ms: ms, running: true, .. } => {
                self.reload(mine, |running| running.clock = *ms)?;
                end();
                self.reload(mine, |running| running.clock = 0)
            }
            FaultKind::JobsChanged { first_job: first, job_count: count, .. } => {
                self.reload(mine, |running| running.duties = Some(*first..*first + *count))?;
                end();
                self.reload(mine, |running| running.duties = None)
            }
            FaultKind::NameConflict { name, .. } => {
                let set = |name: Option<&String>| {
                    self.each(mine, Process::kill);
                    mine.iter().for_each(|&i| held(&self.members[i].running).name = name.cloned());
                    self.again(mine)
                };
                set(Some(name))?;
                end();
                set(None)
            }
            FaultKind::ClockOffset { offset_ms: ms, .. } => {
                let set = |ms: i64| {
                    self.each(mine, Process::kill);
                    mine.iter().for_each(|&i| held(&self.members[i].running).clock = ms);
                    self.again(mine)
                };
                set(*ms)?;
                end();
                set(0)
            }
            FaultKind::Disk { fault: how, .. } => self.spoil_disk(*how, mine, end),
            FaultKind::Upgrade { new_dies_after_us, old_dies_after_us, .. } => {
                self.upgrade(mine, *new_dies_after_us, *old_dies_after_us, end)
            }
            _ => Ok(()),
        }
    }

    fn spoil_disk(&self, how: DiskFault, mine: &[usize], end: &dyn Fn()) -> Result<(), String> {
        let folder = |i: usize| self.members[i].folder.join("list");
        match how {
            DiskFault::Torn(part) => {
                self.each(mine, Process::kill);
                for &i in mine {
                    let file = folder(i).join("loans.list");
                    if let Ok(bytes) = std::fs::read(&file) {
                        let most = bytes.len() * part.min(1_000) as usize / 1_000;
                        std::fs::write(&file, &bytes[..most]).map_err(|e| e.to_string())?;
                    }
                }
                self.again(mine)?;
                end();
                Ok(())
            }
            DiskFault::Lost | DiskFault::ReadOnly => {
                let aside = |i: usize| self.members[i].folder.join("list.aside");
                let text = |e: std::io::Error| e.to_string();
                for &i in mine {
                    std::fs::rename(folder(i), aside(i)).map_err(text)?;
                    if how == DiskFault::ReadOnly {
                        // A file system that takes no new file from anybody.
                        std::os::unix::fs::symlink("/proc", folder(i)).map_err(text)?;
                    }
                }
                end();
                for &i in mine {
                    if how == DiskFault::ReadOnly {
                        std::fs::remove_file(folder(i)).map_err(text)?;
                    }
                    std::fs::rename(aside(i), folder(i)).map_err(text)?;
                }
                Ok(())
            }
            DiskFault::Full => {
                let over = AtomicBool::new(false);
                thread::scope(|scope| {
                    scope.spawn(|| {
                        while !over.load(Ordering::Relaxed) {
                            for &i in mine {
                                let number =
                                    held(&self.members[i].running).process.as_ref().map(Process::number);
                                // What the program writes beside its list goes where nothing can be written.
                                let beside = number.map(|n| folder(i).join(format!("loans.{n}.new")));
                                let _ = beside.map(|b| std::os::unix::fs::symlink("/dev/full", b));
                            }
                            thread::sleep(Duration::from_millis(5));
                        }
                    });
                    end();
                    over.store(true, Ordering::Relaxed);
                });
                Ok(())
            }
        }
    }

    fn upgrade(
        &self,
        mine: &[usize],
        new_dies: Option<u64>,
        old_dies: Option<u64>,
        end: &dyn Fn(),
    ) -> Result<(), String> {
        let after = |us: u64| thread::sleep(Duration::from_micros(us));
        for &i in mine {
            let mut running = held(&self.members[i].running);
            running.next = Some(self.spawn(i, &mut running)?);
        }
        if let Some(us) = new_dies {
            after(us);
            for &i in mine {
                let mut running = held(&self.members[i].running);
                // Its door is the one to call again.
                running.starts -= 1;
                drop(running.next.take());
            }
            end();
            return Ok(());
        }
        if let Some(us) = old_dies {
            after(us);
            self.each(mine, Process::kill);
        } else if !mine.iter().all(|&i| until(LONG, LOOK, || self.ready(i))) {
            return Err("the new program of an upgrade is not ready".into());
        }
        end();
        self.each(mine, Process::end);
        self.each(mine, Process::has_ended_in_order);
        for &i in mine {
            let mut running = held(&self.members[i].running);
            running.process = running.next.take();
        }
        let serve = mine.iter().all(|&i| self.serves(i) && until(LONG, LOOK, || self.ready(i)));
        serve.then_some(()).ok_or_else(|| "the new program of an upgrade does not serve".into())
    }

    /// Staff proposes a version from the folder of this program.
    fn propose(&self, i: usize, rate: f64) -> Result<(), String> {
        let member = &self.members[i];
        let rules = member.folder.join(format!("rules-{rate}.toml"));
        let burst = 2.0 * rate;
        let text = format!("[[plan]]\nname = \"basic\"\nunits_per_second = {rate:?}\nburst = {burst:?}\n");
        std::fs::write(&rules, text).map_err(|e| e.to_string())?;
        let file = member.folder.join(&self.texts[i].0).display().to_string();
        let (code, said) = self.run(i, &["settings", "propose", &file, &rules.display().to_string()])?;
        self.recorder.record(Observation::VersionProposed {
            gatekeeper: member.name.clone(),
            exit_code: code,
            output: said,
        });
        Ok(())
    }

    /// Gives these other files and tells them to take them; waits a while until they have.
    fn reload(&self, mine: &[usize], change: impl Fn(&mut Running)) -> Result<(), String> {
        const TAKEN: &str = "reload: ";
        let mut waits = Vec::new();
        for &i in mine {
            let mut running = held(&self.members[i].running);
            change(&mut running);
            self.write(i, &running).map_err(|e| e.to_string())?;
            if let Some(process) = &running.process {
                waits.push((process.listens(), process.listens().count(TAKEN)));
                process.reload();
            }
        }
        // One that is stopped or has ended takes them later, or at its start.
        for (log, before) in waits {
            until(Duration::from_secs(1), LOOK, || log.count(TAKEN) > before);
        }
        Ok(())
    }

    /// Changes the gossip's key in all without a gap; in these first, in the others at the fault's end.
    fn change_keys(&self, first: &[usize], end: &dyn Fn()) -> Result<(), String> {
        let mut key = held(&self.key);
        let (old, new) = (*key, *key + 1);
        let all: Vec<usize> = (0..self.members.len()).collect();
        let rest: Vec<usize> = all.iter().copied().filter(|i| !first.contains(i)).collect();
        self.reload(&all, |running| running.keys = vec![old, new])?;
        self.reload(first, |running| running.keys = vec![new, old])?;
        end();
        self.reload(&rest, |running| running.keys = vec![new, old])?;
        self.reload(&all, |running| running.keys = vec![new])?;
        *key = new;
        Ok(())
    }
}

/// These fail for as long as `end` takes.
fn failing<'a>(them: impl IntoIterator<Item = &'a Failing> + Clone, how: FailureMode, end: &dyn Fn()) {
    them.clone().into_iter().for_each(|f| *held(f) = Some(how));
    end();
    them.into_iter().for_each(|f| *held(f) = None);
}
