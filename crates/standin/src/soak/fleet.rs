//! The VMs of a run, each with a daemon, a target and clients.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::client::Clients;
use super::ledger::Ledger;
use super::process::{Process, Site, Vm};
use super::target::{Place, Target};
use super::{ACCOUNTS, DOMAINS, KINDS, SERVICES, WORK};
use crate::platform::Platform;

/// Interval at which ended daemons are looked for.
const SUPERVISION: Duration = Duration::from_millis(50);
/// Delay after which a daemon that ended by itself is started again.
const RESTART: Duration = Duration::from_millis(300);

/// A daemon that is started again whenever it has ended.
#[derive(Debug)]
pub struct Supervised {
    process: RefCell<Process>,
    /// Time before which it is not started again; `None` if it never is.
    down_until: Cell<Option<Instant>>,
    /// Whether its end is expected.
    ending: Cell<bool>,
}

impl Supervised {
    /// Starts the daemon and its supervision, which ends with the task.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    fn start(mut process: Process, ledger: &Ledger) -> Result<Rc<Self>> {
        process.start()?;
        let supervised = Rc::new(Self {
            process: RefCell::new(process),
            down_until: Cell::new(Some(Instant::now())),
            ending: Cell::new(false),
        });
        let (daemon, ledger) = (Rc::clone(&supervised), ledger.clone());
        actix_rt::spawn(async move {
            while daemon.down_until.get().is_some() {
                sleep(SUPERVISION).await;
                daemon.supervise(&ledger);
            }
        });
        Ok(supervised)
    }

    /// Name of the daemon.
    pub fn name(&self) -> Rc<str> {
        Rc::clone(&self.process.borrow().vm().name)
    }

    /// Whether its end is expected and it has not started again.
    pub const fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Sends a signal if the process lives.
    pub fn signal(&self, signal: Signal) {
        self.process.borrow_mut().signal(signal);
    }

    /// Asks the daemon to stop; it is started again when it has.
    pub fn terminate(&self) {
        self.ending.set(true);
        self.signal(Signal::TERM);
    }

    /// Writes its settings anew and asks it to read them.
    pub fn reload(&self) {
        // A daemon keeps the settings that it has if they can't be written.
        let _ = self.process.borrow().write_settings();
        self.signal(Signal::HUP);
    }

    /// Kills the daemon; it is started again after this time.
    pub fn kill(&self, down: Duration) {
        self.ending.set(true);
        let until = self.down_until.get();
        self.down_until.set(until.map(|_| Instant::now() + down));
        self.process.borrow_mut().kill();
    }

    /// Kills the daemon for good.
    pub fn end(&self) {
        self.down_until.set(None);
        self.process.borrow_mut().kill();
    }

    fn supervise(&self, ledger: &Ledger) {
        let Some(down_until) = self.down_until.get() else {
            return;
        };
        let mut process = self.process.borrow_mut();
        if !process.has_ended() || Instant::now() < down_until {
            return;
        }
        let name = Rc::clone(&process.vm().name);
        if !self.ending.replace(false) {
            ledger.event(format!("{name} ended by itself"));
            self.down_until.set(Some(Instant::now() + RESTART));
            self.ending.set(true);
            return;
        }
        match process.start() {
            Ok(()) => ledger.event(format!("{name} starts")),
            Err(error) => ledger.event(format!("{name} does not start: {error:#}")),
        }
    }
}

/// The VMs of a run and what they share.
#[derive(Debug)]
pub struct Fleet {
    site: Rc<Site>,
    /// Store of the platform.
    pub platform: Rc<Platform>,
    /// Record of the run.
    pub ledger: Ledger,
    random: RefCell<StdRng>,
    /// Requests a second of the clients of one VM.
    rate: f64,
    /// Requests a second that each account may send.
    account_rate: f64,
    /// Newest version of the configuration.
    version: Cell<u64>,
    /// Time until which clients send; `None` before the first request.
    send_until: Cell<Option<Instant>>,
    /// VMs so far.
    count: Cell<u32>,
    daemons: RefCell<Vec<Rc<Supervised>>>,
    /// Targets, in the order of their daemons.
    targets: RefCell<Vec<Rc<Target>>>,
    /// Clients of all VMs, also of those that were replaced.
    clients: RefCell<Vec<Rc<Clients>>>,
}

impl Fleet {
    /// Creates a fleet without VMs.
    pub fn new(
        site: Rc<Site>,
        platform: Rc<Platform>,
        ledger: Ledger,
        seed: u64,
        rate: f64,
        account_rate: f64,
    ) -> Self {
        Self {
            site,
            platform,
            ledger,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            rate,
            account_rate,
            version: Cell::new(1),
            send_until: Cell::new(None),
            count: Cell::new(0),
            daemons: RefCell::default(),
            targets: RefCell::default(),
            clients: RefCell::default(),
        }
    }

    /// Daemons that run or are started again.
    pub fn daemons(&self) -> Ref<'_, Vec<Rc<Supervised>>> {
        self.daemons.borrow()
    }

    /// Targets beside them, in the same order.
    pub fn targets(&self) -> Ref<'_, Vec<Rc<Target>>> {
        self.targets.borrow()
    }

    /// Clients of all VMs, also of those that were replaced.
    pub fn clients(&self) -> Ref<'_, Vec<Rc<Clients>>> {
        self.clients.borrow()
    }

    /// Adds a VM, by the indices of its service and failure domain.
    ///
    /// # Errors
    ///
    /// If the daemon cannot be started.
    pub fn add_vm(&self, service: usize, domain: usize) -> Result<()> {
        let number = self.count.get();
        self.count.set(number + 1);
        let (service, slots) = SERVICES[service];
        let domain = DOMAINS[domain];
        let vm = Vm::new(&format!("{service}-{number}"), domain, service);
        let place = Place {
            service,
            vm: Rc::clone(&vm.name),
            domain: domain.0,
            address: vm.target,
            control: vm.control,
            outbound: vm.outbound,
            slots,
        };
        let draws = || StdRng::from_rng(&mut *self.random.borrow_mut());
        let target = Target::new(place, &WORK, self.ledger.clone(), draws());
        target.start();
        let process = Process::new(vm.clone(), Rc::clone(&self.site));
        let daemon = Supervised::start(process, &self.ledger)?;
        let key = Rc::from(super::key(number as usize % ACCOUNTS));
        let ledger = self.ledger.clone();
        let clients = Clients::new((number, vm), &KINDS, key, ledger, draws());
        actix_rt::spawn(Rc::clone(&clients).probe());
        if let Some(end) = self.send_until.get() {
            actix_rt::spawn(Rc::clone(&clients).run(self.rate, end));
        }
        self.targets.borrow_mut().push(target);
        self.daemons.borrow_mut().push(daemon);
        self.clients.borrow_mut().push(clients);
        Ok(())
    }

    /// Ends a VM for good, with its daemon and target. Returns the indices of its
    /// service and failure domain.
    pub fn remove_vm(&self, index: usize) -> (usize, usize) {
        let daemon = self.daemons.borrow_mut().remove(index);
        let target = self.targets.borrow_mut().remove(index);
        self.ledger.event(format!("{} is lost", daemon.name()));
        daemon.end();
        target.retire();
        let service = SERVICES
            .iter()
            .position(|(name, _)| *name == target.service());
        let domain = DOMAINS
            .iter()
            .position(|(name, _)| *name == target.domain());
        (service.unwrap_or(0), domain.unwrap_or(0))
    }

    /// Has the clients of all VMs send requests until `end`.
    pub fn send_until(&self, end: Instant) {
        self.send_until.set(Some(end));
        for clients in self.clients.borrow().iter() {
            actix_rt::spawn(Rc::clone(clients).run(self.rate, end));
        }
    }

    /// Writes the next version of the configuration and returns it.
    pub fn configure(&self) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        super::configure(&self.platform, version, self.account_rate);
        version
    }

    /// Kills all daemons for good.
    pub fn end(&self) {
        for daemon in self.daemons.borrow().iter() {
            daemon.end();
        }
    }
}
