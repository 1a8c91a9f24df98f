//! What drives the agreed versions of [`agreed`]: one thread that owns the state of this instance, the disk of a voter
//! ([`disk`]), and sealed words over TCP. All queues are bounded; what finds no room is dropped and said again.
//!
//! [`Quorum::start`] begins it; [`View`] is what it tells whenever this gatekeeper is to act on something else.

pub mod disk;
mod net;

pub use agreed::{Ask, Change, Outcome, Stage, Version, Word};
pub use net::call;

use agreed::{Asker, Voter};
use disk::Disk;
use membership::authentication::Keyring;
use net::Seal;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Events that may wait for the thread.
const MOST_EVENTS: usize = 1_024;
/// Questions in a span of T.
const QUESTIONS: u64 = 6;
/// ms between two looks of the thread that ends leases, where none is to end.
const LOOK: u64 = 500;
/// In front of the number of a connection where it stands for who is on it.
const ON: &str = "on ";

/// A voter as the file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Named {
    /// Its name.
    pub name: String,
    /// Where this instance reaches it.
    pub address: SocketAddr,
}

/// How this instance takes part.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, unlike all others'.
    pub name: String,
    /// Where it takes words in, if it is a voter.
    pub listen: Option<SocketAddr>,
    /// The voters, in the same order everywhere.
    pub voters: Vec<Named>,
    /// The keys that seal the words.
    pub keys: Keyring,
    /// The log of a voter.
    pub log: PathBuf,
    /// T, in ms.
    pub span: u64,
}

/// What this gatekeeper is to act on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The version in force, if there was ever one.
    pub in_force: Option<Version>,
    /// The one that is proposed to follow it.
    pub proposed: Option<Version>,
    /// It holds a lease on this. Without one it does not know what it has missed.
    pub leased: bool,
}

/// Whether a text can be used; the error says why not.
pub type Check = Box<dyn Fn(&str) -> Result<(), String> + Send>;
/// Is told what to act on, whenever that changes.
pub type OnView = Box<dyn Fn(&View) + Send>;

pub(crate) enum Event {
    /// A connection came, with the queue of what is to be written to it.
    Came(u64, SyncSender<Word>),
    Gone(u64),
    /// A word, and the connection that it came by, if that was made by the other side.
    Said(Option<u64>, Word),
    Report(SyncSender<String>),
}

/// The instance's part, as its owner sees it.
pub struct Quorum {
    events: SyncSender<Event>,
    seal: Seal,
}

impl Quorum {
    /// Starts taking part. A voter whose log cannot be used says so in the log, and asks like any other without voting.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or there is no thread.
    pub fn start(config: Config, check: Check, on_view: OnView) -> std::io::Result<Self> {
        let (events, inbox) = sync_channel(MOST_EVENTS);
        let seal = Seal::new(config.keys.clone());
        if let Some(at) = config.listen {
            net::listen(TcpListener::bind(at)?, seal.clone(), events.clone())?;
        }
        let ways = config
            .voters
            .iter()
            .map(|voter| match voter.name == config.name {
                true => Ok(None),
                false => net::way_to(voter.address, seal.clone(), events.clone()).map(Some),
            })
            .collect::<std::io::Result<Vec<_>>>()?;
        let driver = Driver::new(config, ways, check, on_view);
        // Before anything is served: nothing is known yet.
        {
            let shown = held(&driver.shown);
            (shown.on_view)(&shown.view);
        }
        let (watched, since) = (Arc::downgrade(&driver.shown), driver.start);
        thread::Builder::new().name("agreed-lease".into()).spawn(move || watch(watched, since))?;
        thread::Builder::new().name("agreed".into()).spawn(move || driver.run(&inbox))?;
        Ok(Self { events, seal })
    }

    /// Takes other keys.
    pub fn set_keys(&self, keys: Keyring) {
        self.seal.set(keys);
    }

    /// Asks for what the console shows; it comes a moment later, or never.
    pub fn ask_report(&self) -> Receiver<String> {
        let (tell, told) = sync_channel(1);
        let _ = self.events.try_send(Event::Report(tell));
        told
    }
}

/// What is acted on, and until when. A thread of its own ends a lease: the one that owns the state may stand for as long as its
/// disk does, and a lease must not.
struct Shown {
    name: String,
    view: View,
    /// What is known, lease or no lease.
    texts: (Option<Version>, Option<Version>),
    until: u64,
    on_view: OnView,
}

impl Shown {
    /// Tells what to act on, if that has changed.
    fn look(&mut self, now: u64) {
        let ignored = weakened::breaks("lease") && self.until > 0;
        let (in_force, proposed) = self.texts.clone();
        let view = View { in_force, proposed, leased: now < self.until || ignored };
        if view == self.view {
            return;
        }
        let (version, proposed) = (number(&view.in_force), number(&view.proposed));
        (self.on_view)(&view);
        let (leased, name) = (view.leased, &self.name);
        match (leased, proposed) {
            (false, _) => {
                tracing::warn!(
                    name,
                    version,
                    proposed,
                    leased,
                    "agreed: no lease; acting apart by version {version}"
                )
            }
            (true, 0) => {
                tracing::info!(name, version, proposed, leased, "agreed: version {version} is in force")
            }
            (true, _) => tracing::info!(
                name,
                version,
                proposed,
                leased,
                "agreed: version {proposed} is proposed; the stricter of it and {version} counts"
            ),
        }
        self.view = view;
    }
}

fn number(version: &Option<Version>) -> u64 {
    version.as_ref().map_or(0, |v| v.number)
}

type Shared = Arc<(Mutex<Shown>, Condvar)>;

fn held(shared: &Shared) -> MutexGuard<'_, Shown> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends the lease when its time is over, for as long as anybody can give another.
fn watch(shared: Weak<(Mutex<Shown>, Condvar)>, start: Instant) {
    while let Some(shared) = shared.upgrade() {
        let now = start.elapsed().as_millis() as u64;
        let mut shown = held(&shared);
        shown.look(now);
        let left = if shown.view.leased { shown.until.saturating_sub(now).max(1) } else { LOOK };
        drop(shared.1.wait_timeout(shown, Duration::from_millis(left.min(LOOK))));
    }
}

/// The thread's state.
struct Driver {
    config: Config,
    start: Instant,
    ways: Vec<Option<SyncSender<Word>>>,
    voter: Option<(Voter, Disk)>,
    asker: Asker,
    asks_at: u64,
    shown: Shared,
    /// Connections that others have made, and by which of them a gatekeeper asked last.
    open: HashMap<u64, SyncSender<Word>>,
    routes: HashMap<String, u64>,
    check: Check,
    /// The term that this voter has told of leading in.
    led: u64,
}

impl Driver {
    fn new(config: Config, ways: Vec<Option<SyncSender<Word>>>, check: Check, on_view: OnView) -> Self {
        // Greater than any that an earlier life has used, but for a clock that was set back by more than that life.
        let first = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let asker = Asker::new(config.span, first);
        let shown = Shown {
            name: config.name.clone(),
            view: View::default(),
            texts: (None, None),
            until: 0,
            on_view,
        };
        let mut driver = Self {
            start: Instant::now(),
            ways,
            voter: None,
            asker,
            asks_at: 0,
            shown: Arc::new((Mutex::new(shown), Condvar::new())),
            open: HashMap::new(),
            routes: HashMap::new(),
            check,
            led: 0,
            config,
        };
        driver.wake();
        driver
    }

    fn number(&self) -> Option<u64> {
        self.config.voters.iter().position(|v| v.name == self.config.name).map(|i| i as u64 + 1)
    }

    /// Reads the log, if this is a voter.
    fn wake(&mut self) {
        let Some(number) = self.number() else { return };
        let voters: Vec<u64> = (1..=self.config.voters.len() as u64).collect();
        let opened = Disk::open(&self.config.log).and_then(|disk| {
            let kept = disk.kept().clone();
            Ok((Voter::new(number, &voters, kept, self.config.span, self.now())?, disk))
        });
        match opened {
            Ok(voter) => self.voter = Some(voter),
            Err(why) => {
                let path = self.config.log.display();
                tracing::warn!("agreed: the log {path} is not used ({why}); this voter does not vote");
            }
        }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn run(mut self, inbox: &Receiver<Event>) {
        loop {
            let now = self.now();
            self.tick(now);
            let voter = self.voter.as_ref().map_or(u64::MAX, |v| v.0.next_due());
            let due = self.asks_at.min(voter).saturating_sub(self.now()).clamp(1, 1_000);
            match inbox.recv_timeout(Duration::from_millis(due)) {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in inbox.try_iter().take(64) {
                self.take(event);
            }
        }
    }

    fn tick(&mut self, now: u64) {
        if let Some((voter, _)) = &mut self.voter {
            voter.tick(now);
        }
        self.carry();
        if now >= self.asks_at {
            self.asks_at = now + self.config.span / QUESTIONS;
            let has = {
                let shown = held(&self.shown);
                (number(&shown.texts.0), number(&shown.texts.1))
            };
            let knew = self.asker.known().map_or(0, |k| k.0);
            let (question, to) = self.asker.ask(now, self.ways.len());
            let ask = Ask { who: self.config.name.clone(), question, leases: true, knew, has };
            match &self.ways[to] {
                Some(way) => offer(way, Word::Ask(ask)),
                None => self.asked(ask),
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Came(number, queue) => drop(self.open.insert(number, queue)),
            Event::Gone(number) => {
                self.open.remove(&number);
                self.routes.retain(|_, on| *on != number);
            }
            Event::Said(by, word) => self.said(by, word),
            Event::Report(tell) => drop(tell.try_send(self.report())),
        }
        self.carry();
    }

    fn said(&mut self, by: Option<u64>, word: Word) {
        let now = self.now();
        match word {
            Word::Voters(between) => {
                if let Some((voter, _)) = &mut self.voter {
                    voter.hear(now, *between);
                }
            }
            Word::Ask(ask) => {
                if let Some(by) = by {
                    self.routes.insert(ask.who.clone(), by);
                }
                self.asked(ask);
            }
            Word::Propose(change) => {
                let Some(by) = by else { return };
                let (who, id) = (format!("{ON}{by}"), change.id);
                let fits = (self.check)(&change.text);
                match &mut self.voter {
                    Some((voter, _)) if fits.is_ok() => voter.propose(now, &who, change),
                    Some(_) => {
                        let why = fits.err().unwrap_or_default();
                        self.tell(&who, Word::Proposed(id, Outcome::Refused(why)));
                    }
                    None => self.tell(&who, Word::NotHere(id, None)),
                }
            }
            Word::Answer(answer, texts) => {
                let before = self.asker.known();
                if self.asker.answered(answer) {
                    if self.asker.known() != before {
                        // What is new to this one is said by asking again.
                        self.asks_at = now;
                    }
                    self.read(answer.version, answer.stage, *texts);
                }
            }
            Word::Elsewhere(question, leads) => {
                if self.asker.elsewhere(question, leads.and_then(|n| (n as usize).checked_sub(1))) {
                    self.asks_at = now;
                }
            }
            Word::Changed(_) => self.asks_at = now,
            Word::Proposed(..) | Word::NotHere(..) => {}
        }
    }

    fn asked(&mut self, ask: Ask) {
        let now = self.now();
        match &mut self.voter {
            Some((voter, _)) => voter.ask(now, ask),
            None => {
                let word = Word::Elsewhere(ask.question, None);
                self.tell(&ask.who.clone(), word);
            }
        }
    }

    /// Acts on what an answer names from now on.
    fn read(&mut self, version: u64, stage: Stage, new: (Option<Version>, Option<Version>)) {
        let (in_force, proposed) = match stage {
            Stage::InForce => (version, 0),
            Stage::Proposed => (version.saturating_sub(1), version),
        };
        let now = self.now();
        let mut shown = held(&self.shown);
        let (old, open) = std::mem::take(&mut shown.texts);
        let mut all: Vec<Version> = [new.0, new.1, old, open].into_iter().flatten().collect();
        let mut pick = |number: u64| {
            let at = all.iter().position(|v| v.number == number)?;
            Some(all.swap_remove(at))
        };
        shown.texts = (pick(in_force), pick(proposed));
        shown.until = self.asker.until();
        shown.look(now);
        self.shown.1.notify_all();
    }

    /// Writes and sends what the voter has to, in that order.
    fn carry(&mut self) {
        let Some((voter, disk)) = &mut self.voter else { return };
        let ready = voter.ready();
        if let Err(why) = disk.write(ready.writes) {
            tracing::warn!("agreed: the log could not be written ({why}); this voter does not vote any more");
            self.voter = None;
            return;
        }
        let (term, leads) = (voter.agreed().0, voter.leads());
        if leads == self.number() && term > self.led {
            self.led = term;
            tracing::info!(term, "agreed: this voter leads, term {term}");
        }
        for (to, word) in ready.voters {
            if let Some(Some(way)) = self.ways.get((to as usize).wrapping_sub(1)) {
                offer(way, word);
            }
        }
        for (who, word) in ready.others {
            self.tell(&who, word);
        }
    }

    fn tell(&mut self, who: &str, word: Word) {
        if who == self.config.name {
            return self.said(None, word);
        }
        let on = match who.strip_prefix(ON) {
            Some(number) => number.parse().ok(),
            None => self.routes.get(who).copied(),
        };
        if let Some(queue) = on.and_then(|number| self.open.get(&number)) {
            offer(queue, word);
        }
    }

    fn report(&self) -> String {
        let now = self.now();
        let known = held(&self.shown).texts.clone();
        let mut out = format!(
            "agreed\n  version {}  proposed {}  lease {} ms\n",
            number(&known.0),
            number(&known.1),
            self.asker.until().saturating_sub(now)
        );
        match &self.voter {
            Some((voter, _)) => {
                let (term, agreed) = voter.agreed();
                let leads = voter.leads().and_then(|n| self.config.voters.get((n as usize).wrapping_sub(1)));
                let leads = leads.map_or("nobody", |v| &v.name);
                out += &format!("  voter  term {term}  entries {agreed}  {leads} leads\n");
            }
            None if self.number().is_some() => out += "  voter without a log: it does not vote\n",
            None => {}
        }
        out
    }
}

fn offer(queue: &SyncSender<Word>, word: Word) {
    match queue.try_send(word) {
        Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::{Sender, channel};

    /// Longer than anything here may take.
    const LONG: Duration = Duration::from_secs(20);

    fn keys() -> Keyring {
        Keyring::parse(&"ab".repeat(32)).expect("a key")
    }

    struct Folder(PathBuf);

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    /// Three voters on free ports, each of which tells its views; a proposal is checked by `check`.
    fn three(
        folder: &Folder,
        span: u64,
        check: impl Fn(&str) -> Result<(), String> + Clone + Send + 'static,
    ) -> (Vec<Quorum>, Vec<Receiver<View>>, Vec<Named>) {
        let free: Vec<TcpListener> =
            (0..3).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let named = |(i, l): (usize, &TcpListener)| Named {
            name: format!("m{i}"),
            address: l.local_addr().expect("an address"),
        };
        let voters: Vec<Named> = free.iter().enumerate().map(named).collect();
        drop(free);
        let (mut all, mut views) = (Vec::new(), Vec::new());
        for voter in &voters {
            let log = folder.0.join(&voter.name);
            Disk::begin(&log).expect("it is begun");
            let (tell, told): (Sender<View>, _) = channel();
            let config = Config {
                name: voter.name.clone(),
                listen: Some(voter.address),
                voters: voters.clone(),
                keys: keys(),
                log,
                span,
            };
            let on_view = Box::new(move |view: &View| drop(tell.send(view.clone())));
            all.push(Quorum::start(config, Box::new(check.clone()), on_view).expect("its port is free"));
            views.push(told);
        }
        (all, views, voters)
    }

    fn wait(views: &Receiver<View>, so: impl Fn(&View) -> bool) -> View {
        loop {
            let view = views.recv_timeout(LONG).expect("it comes");
            if so(&view) {
                return view;
            }
        }
    }

    fn propose(to: &Named, id: u64) -> std::io::Result<Word> {
        let change = Change { id, by: "t".into(), expect: None, text: format!("text {id}") };
        call(to.address, &keys(), &Word::Propose(change), LONG, |_| true)
    }

    /// Guards against a lease that lasts for as long as the thread that would end it stands still, as it does while its disk
    /// does. Here the check of a proposal stands still in its place.
    #[test]
    fn a_lease_ends_in_time_though_the_thread_that_owns_the_state_stands_still() {
        let folder = Folder(std::env::temp_dir().join(format!("quorum-still-{}", std::process::id())));
        let (stand, stands): (Sender<()>, _) = channel();
        let (go, goes): (Sender<()>, _) = channel();
        let (stand, goes) = (Mutex::new(stand), Arc::new(Mutex::new(goes)));
        let stand = Arc::new(stand);
        let check = move |_: &str| {
            let _ = stand.lock().map(|s| s.send(()));
            let _ = goes.lock().map(|g| g.recv_timeout(LONG));
            Ok(())
        };
        let (_all, views, voters) = three(&folder, 800, check);
        views.iter().for_each(|view| drop(wait(view, |v| v.leased)));
        let asked = thread::spawn(move || propose(&voters[1], 1));
        stands.recv_timeout(LONG).expect("it is checked");
        // It stands still until the word below, and its lease runs out all the same.
        wait(&views[1], |v| !v.leased);
        go.send(()).expect("it waits");
        drop(asked.join());
        wait(&views[1], |v| v.leased);
    }

    #[test]
    fn what_is_proposed_comes_into_force_everywhere() {
        let folder = Folder(std::env::temp_dir().join(format!("quorum-force-{}", std::process::id())));
        let (_all, views, voters) = three(&folder, 800, |_| Ok(()));
        views.iter().for_each(|view| drop(wait(view, |v| v.leased)));
        let taken =
            voters.iter().any(|voter| matches!(propose(voter, 7), Ok(Word::Proposed(7, Outcome::Taken(1)))));
        assert!(taken, "one of them leads");
        for view in &views {
            let view = wait(view, |v| v.leased && v.proposed.is_none() && v.in_force.is_some());
            assert_eq!(view.in_force.map(|v| v.text), Some("text 7".into()));
        }
    }
}
