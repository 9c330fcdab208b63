//! Deployments that experiments and tests build, after the brief's sizes.

use std::time::Duration;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name for reports.
    pub name: String,
    /// Failure domains with their regions.
    pub domains: Vec<(String, String)>,
    /// Services, the first of which callers reach.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Longest time for a root request.
    pub timeout: Duration,
    /// Further attempts of a root request over its whole chain.
    pub retries: u8,
}

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, also the first segment of its path.
    pub name: String,
    /// Targets.
    pub upstreams: usize,
    /// Calls that a target runs at once.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Own time of one call.
    pub service_time: Duration,
    /// Services that it calls in turn.
    pub calls: Vec<String>,
}

/// A client account of a deployment.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: u32,
}

impl Shape {
    /// Mwakilema's deployment, its slots divided by `scale`.
    pub fn mwakilema(scale: u32) -> Self {
        let domains = [
            ("kariakoo", "dar-coast"),
            ("mbezi", "dar-coast"),
            ("njiro", "arusha-north"),
            ("sakina", "arusha-north"),
        ];
        let services = [
            ("status-desk", 50, 400),
            ("pickup-office", 50, 400),
            ("till", 50, 400),
            ("dispatch", 20, 200),
        ];
        Self::deployment("mwakilema", &domains, &services, scale)
    }

    /// The co-op's deployment, its slots divided by `scale`.
    pub fn cooperativa(scale: u32) -> Self {
        let domains = [
            ("queretaro-a", "centro"),
            ("queretaro-b", "centro"),
            ("monterrey-a", "norte"),
            ("monterrey-b", "norte"),
        ];
        let services = [
            ("catalogo", 250, 1_700),
            ("prestamos", 250, 1_700),
            ("traslados", 250, 1_700),
            ("conservacion", 40, 300),
        ];
        Self::deployment("cooperativa", &domains, &services, scale)
    }

    /// A chain of `depth` services with `upstreams` targets each, in one
    /// failure domain.
    pub fn chain(depth: usize, upstreams: usize, slots: u32, service_time: Duration) -> Self {
        let service = |place: usize| Service {
            name: format!("hop-{place}"),
            upstreams,
            slots,
            connections: slots * 8,
            service_time,
            calls: (place + 1 < depth)
                .then(|| format!("hop-{}", place + 1))
                .into_iter()
                .collect(),
        };
        Self {
            name: format!("chain-{depth}"),
            domains: vec![("here".to_owned(), "region".to_owned())],
            services: (0..depth).map(service).collect(),
            accounts: accounts(),
            timeout: Duration::from_secs(2),
            retries: 2,
        }
    }

    fn deployment(
        name: &str,
        domains: &[(&str, &str)],
        services: &[(&str, u32, u32)],
        scale: u32,
    ) -> Self {
        let owned = |(domain, region): &(&str, &str)| ((*domain).to_owned(), (*region).to_owned());
        let service = |place: usize| {
            let (name, slots, connections) = services[place];
            let next = services.get(place + 1).map(|next| next.0.to_owned());
            Service {
                name: name.to_owned(),
                upstreams: 4,
                slots: (slots / scale).max(1),
                connections: (connections / scale).max(1),
                service_time: Duration::from_millis(10),
                calls: next.into_iter().collect(),
            }
        };
        Self {
            name: name.to_owned(),
            domains: domains.iter().map(owned).collect(),
            services: (0..services.len()).map(service).collect(),
            accounts: accounts(),
            timeout: Duration::from_secs(2),
            retries: 2,
        }
    }

    /// Path that callers use.
    pub fn path(&self) -> String {
        format!("/{}", self.services[0].name)
    }

    /// Root requests a second that the narrowest service can run, counting
    /// that each call holds its slot while it waits for those below.
    pub fn capacity(&self) -> f64 {
        let mut below = 0.0;
        let mut capacity = f64::INFINITY;
        for service in self.services.iter().rev() {
            below += service.service_time.as_secs_f64();
            let slots = service.slots as usize * service.upstreams;
            capacity = f64::min(capacity, slots as f64 / below);
        }
        capacity
    }
}

/// Eight client accounts, a few of them large, with rates that bind nothing
/// in an experiment on overload.
fn accounts() -> Vec<Account> {
    let sizes = [8, 6, 4, 1, 1, 1, 1, 1];
    let account = |(place, size): (usize, &u32)| Account {
        name: format!("account-{place}"),
        rate: f64::from(*size) * 20_000.0,
        burst: *size * 10_000,
    };
    sizes.iter().enumerate().map(account).collect()
}
