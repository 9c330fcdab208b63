//! Seeded schedule of faults that come in series and overlap.

use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::fleet::{Fleet, Supervised};
use super::target::Faults;
use crate::platform::Faults as PlatformFaults;

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

/// Class of faults that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Daemons are suspended with SIGSTOP.
    Pause,
    /// Daemons are killed, some or all at once.
    Kill,
    /// VMs are lost with their daemons and targets, and others take their place.
    Replace,
    /// Daemons get SIGTERM and start again, or SIGHUP.
    Terminate,
    /// Targets reject requests.
    Reject,
    /// Targets send responses twice, the second time late.
    Copy,
    /// Targets lose or spoil responses, fail, hang, slow down or crash.
    Target,
    /// Targets answer 503 without the mark to requests that ran.
    Unmarked,
    /// The platform is down, slow or loses answers, and configurations change.
    Platform,
}

impl Group {
    /// All groups by name.
    pub const ALL: [(&str, Self); 9] = [
        ("pause", Self::Pause),
        ("kill", Self::Kill),
        ("terminate", Self::Terminate),
        ("replace", Self::Replace),
        ("reject", Self::Reject),
        ("copy", Self::Copy),
        ("target", Self::Target),
        ("unmarked", Self::Unmarked),
        ("platform", Self::Platform),
    ];

    /// Parses names that are separated by commas.
    ///
    /// # Errors
    ///
    /// If a name is not known.
    pub fn parse(names: &str) -> Result<Vec<Self>> {
        let mut groups = Vec::new();
        for name in names.split(',').filter(|name| !name.is_empty()) {
            let mut known = Self::ALL.iter();
            match known.find(|(other, _)| *other == name) {
                Some((_, group)) => groups.push(*group),
                None => bail!("unknown group of faults `{name}`"),
            }
        }
        Ok(groups)
    }
}

/// Draws and applies faults until `end`; each reverts by itself.
pub async fn run(fleet: Rc<Fleet>, groups: Vec<Group>, seed: u64, end: Instant) {
    if groups.is_empty() {
        return;
    }
    let mut random = StdRng::seed_from_u64(seed);
    // A loss of all daemons leaves little else to observe for some seconds.
    let mut losses_left = 2;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(100..900))).await;
        let group = groups[random.random_range(0..groups.len())];
        let for_ms = random.random_range(300..4_500);
        let duration =
            Duration::from_millis(for_ms).min(end.saturating_duration_since(Instant::now()));
        let task = match group {
            Group::Pause => pause(&fleet, &mut random, duration),
            Group::Kill => kill(&fleet, &mut random, duration, &mut losses_left),
            Group::Terminate => terminate(&fleet, &mut random),
            Group::Replace => replace(&fleet, &mut random, duration),
            Group::Reject | Group::Copy | Group::Target | Group::Unmarked => {
                misbehave(&fleet, &mut random, group, duration)
            }
            Group::Platform => disturb_platform(&fleet, &mut random, duration),
        };
        actix_rt::spawn(task);
    }
}

/// What a fault does over time, from its start to the end of its effect.
type Task = std::pin::Pin<Box<dyn Future<Output = ()>>>;

/// Up to `most` different elements.
fn pick<T>(random: &mut StdRng, from: &[Rc<T>], most: usize) -> Vec<Rc<T>> {
    let count = random.random_range(1..=most.min(from.len()));
    let chosen = rand::seq::index::sample(random, from.len(), count);
    chosen.iter().map(|index| Rc::clone(&from[index])).collect()
}

fn names(daemons: &[Rc<Supervised>]) -> String {
    let names = daemons.iter().map(|daemon| daemon.name().to_string());
    names.collect::<Vec<_>>().join(" ")
}

fn pause(fleet: &Rc<Fleet>, random: &mut StdRng, duration: Duration) -> Task {
    let chosen = pick(random, &fleet.daemons(), 4);
    fleet.ledger.event(format!(
        "pause for {} ms: {}",
        duration.as_millis(),
        names(&chosen)
    ));
    Box::pin(async move {
        for daemon in &chosen {
            daemon.signal(Signal::STOP);
        }
        sleep(duration).await;
        for daemon in &chosen {
            daemon.signal(Signal::CONT);
        }
    })
}

fn kill(fleet: &Rc<Fleet>, random: &mut StdRng, duration: Duration, losses_left: &mut u32) -> Task {
    let all = *losses_left > 0 && random.random_bool(0.15);
    let chosen = if all {
        *losses_left -= 1;
        fleet.daemons().clone()
    } else {
        pick(random, &fleet.daemons(), 4)
    };
    let down = duration / 2;
    let text = if all {
        "all daemons".to_owned()
    } else {
        names(&chosen)
    };
    fleet
        .ledger
        .event(format!("kill for {} ms: {text}", down.as_millis()));
    for daemon in &chosen {
        daemon.kill(down);
    }
    Box::pin(async {})
}

fn terminate(fleet: &Rc<Fleet>, random: &mut StdRng) -> Task {
    let chosen = pick(random, &fleet.daemons(), 4);
    if random.random_bool(0.2) {
        fleet.ledger.event(format!("SIGHUP: {}", names(&chosen)));
        for daemon in &chosen {
            daemon.reload();
        }
        return Box::pin(async {});
    }
    fleet.ledger.event(format!("SIGTERM: {}", names(&chosen)));
    Box::pin(async move {
        for daemon in &chosen {
            daemon.terminate();
        }
        sleep(GRACE).await;
        // Those that have started again in the meantime are not known here, so only
        // processes that still end are killed.
        for daemon in &chosen {
            if daemon.is_ending() {
                daemon.kill(Duration::ZERO);
            }
        }
    })
}

fn replace(fleet: &Rc<Fleet>, random: &mut StdRng, duration: Duration) -> Task {
    let count = random.random_range(1..=2);
    let lost = (0..count).map(|_| {
        let index = random.random_range(0..fleet.daemons().len());
        fleet.remove_vm(index)
    });
    let lost = lost.collect::<Vec<_>>();
    let fleet = Rc::clone(fleet);
    Box::pin(async move {
        sleep(duration / 2).await;
        for (service, domain) in lost {
            if let Err(error) = fleet.add_vm(service, domain) {
                fleet.ledger.event(format!("no VM added: {error:#}"));
            }
        }
    })
}

/// Changes one kind of fault of some targets of one service for a while.
fn misbehave(fleet: &Rc<Fleet>, random: &mut StdRng, group: Group, duration: Duration) -> Task {
    let targets = fleet.targets();
    let service = targets[random.random_range(0..targets.len())].service();
    let of_service = targets.iter().filter(|target| target.service() == service);
    let of_service = of_service.cloned().collect::<Vec<_>>();
    drop(targets);
    let chosen = if random.random_bool(0.5) {
        of_service
    } else {
        pick(random, &of_service, of_service.len())
    };
    let crashes = group == Group::Target && random.random_bool(0.15);
    if crashes {
        let target = Rc::clone(&chosen[0]);
        fleet
            .ledger
            .event(format!("target crashes: {}", target.vm()));
        target.crash();
        return Box::pin(async move {
            sleep(duration).await;
            if !target.is_up() {
                target.start();
            }
        });
    }
    let (name, change) = draw_fault(random, group);
    fleet.ledger.event(format!(
        "{name} for {} ms: {} of {service}",
        duration.as_millis(),
        chosen.len()
    ));
    Box::pin(async move {
        for target in &chosen {
            let mut faults = target.faults();
            change.apply(&mut faults);
            target.set_faults(faults);
        }
        sleep(duration).await;
        for target in &chosen {
            let mut faults = target.faults();
            change.revert(&mut faults);
            target.set_faults(faults);
        }
    })
}

/// Change of one field of a target's faults.
#[derive(Clone, Copy, Debug)]
struct FaultChange {
    set: fn(&mut Faults, f64),
    /// Value while the change is in force; zero stands for no fault.
    value: f64,
}

impl FaultChange {
    fn apply(self, faults: &mut Faults) {
        (self.set)(faults, self.value);
    }

    fn revert(self, faults: &mut Faults) {
        (self.set)(faults, 0.0);
    }
}

/// Idle time, in seconds, after which targets that forget connections close them.
const FORGET_AFTER_S: f64 = 0.32;

fn draw_fault(random: &mut StdRng, group: Group) -> (&'static str, FaultChange) {
    let strength: f64 = random.random_range(0.1..1.0);
    let (name, set, value): (_, fn(&mut Faults, f64), _) = match group {
        Group::Reject => (
            "reject",
            |faults, value| faults.reject = value,
            strength * 0.6,
        ),
        Group::Copy => ("copy", |faults, value| faults.copy = value, strength * 0.3),
        Group::Unmarked => (
            "unmarked",
            |faults, value| faults.unmarked = value,
            strength * 0.3,
        ),
        _ => match random.random_range(0..7) {
            0 => ("lose", |faults, value| faults.lose = value, strength * 0.4),
            1 => (
                "reset",
                |faults, value| faults.reset = value,
                strength * 0.4,
            ),
            2 => (
                "truncate",
                |faults, value| faults.truncate = value,
                strength * 0.1,
            ),
            3 => ("fail", |faults, value| faults.fail = value, strength * 0.4),
            4 => ("hang", |faults, value| faults.hang = value, strength * 0.1),
            5 => (
                "slow",
                |faults, value| faults.slow = value,
                1.0 + strength * 7.0,
            ),
            _ => (
                "forget",
                |faults, value| faults.forget = Duration::from_secs_f64(value),
                FORGET_AFTER_S,
            ),
        },
    };
    (name, FaultChange { set, value })
}

fn disturb_platform(fleet: &Rc<Fleet>, random: &mut StdRng, duration: Duration) -> Task {
    let (platform, ledger) = (Rc::clone(&fleet.platform), &fleet.ledger);
    let faults = match random.random_range(0..5) {
        0 => PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        },
        1 => PlatformFaults {
            delay: Duration::from_millis(250),
            ..PlatformFaults::default()
        },
        2 => PlatformFaults {
            lose_answers: 0.3,
            ..PlatformFaults::default()
        },
        3 => {
            ledger.event("the platform drops its history".to_owned());
            platform.clear_history();
            return Box::pin(async {});
        }
        _ => {
            let version = fleet.configure();
            ledger.event(format!("configuration {version}"));
            return Box::pin(async {});
        }
    };
    ledger.event(format!(
        "platform for {} ms: {faults:?}",
        duration.as_millis()
    ));
    platform.set_faults(faults);
    Box::pin(async move {
        sleep(duration).await;
        platform.set_faults(PlatformFaults::default());
    })
}
