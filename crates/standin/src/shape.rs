//! Descriptions of the deployments that experiments and tests start. The named
//! ones have the sizes that the specification states for them.

use std::time::Duration;

/// Size and structure of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name in reports.
    pub name: String,
    /// Failure domains, each with its region. Targets are spread over them in
    /// this order.
    pub domains: Vec<(String, String)>,
    /// Services; callers reach the first one.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Time-out of a root request.
    pub timeout: Duration,
    /// Retries allowed for a root request, over its whole chain of calls.
    pub retries: u8,
}

/// Service of a deployment.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name; also the first segment of its path.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// Calls that a target runs concurrently.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Mean service time of a call, without its further calls.
    pub service_time: Duration,
    /// Services that each call requests, one after another.
    pub calls: Vec<String>,
}

/// Client account of a deployment.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Quota in requests per second.
    pub rate: f64,
    /// Burst of the quota in requests.
    pub burst: u32,
}

impl Shape {
    /// Deployment of Mwakilema, with its slots and connections divided by
    /// `scale`.
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

    /// Deployment of the co-operative, with its slots and connections divided
    /// by `scale`.
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

    /// Chain of `depth` services with `targets` targets each, in one failure
    /// domain.
    pub fn chain(depth: usize, targets: usize, slots: u32, service_time: Duration) -> Self {
        let service = |index: usize| Service {
            name: format!("hop-{index}"),
            targets,
            slots,
            connections: slots * 8,
            service_time,
            calls: (index + 1 < depth)
                .then(|| format!("hop-{}", index + 1))
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
        let service = |index: usize| {
            let (name, slots, connections) = services[index];
            let next = services.get(index + 1).map(|next| next.0.to_owned());
            Service {
                name: name.to_owned(),
                targets: 4,
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

    /// Path of the first service, which callers request.
    pub fn path(&self) -> String {
        format!("/{}", self.services[0].name)
    }

    /// Nominal capacity in root requests per second, limited by the service that
    /// can run the fewest. A call occupies its slot while it waits for the
    /// services that it calls.
    pub fn capacity(&self) -> f64 {
        let mut time_per_call = 0.0;
        let mut capacity = f64::INFINITY;
        for service in self.services.iter().rev() {
            time_per_call += service.service_time.as_secs_f64();
            let slots = service.slots as usize * service.targets;
            capacity = f64::min(capacity, slots as f64 / time_per_call);
        }
        capacity
    }
}

/// Eight client accounts, three of them larger than the others. Their rates are
/// too high to limit anything in an experiment on overload.
fn accounts() -> Vec<Account> {
    let sizes = [8, 6, 4, 1, 1, 1, 1, 1];
    let account = |(index, size): (usize, &u32)| Account {
        name: format!("account-{index}"),
        rate: f64::from(*size) * 20_000.0,
        burst: *size * 10_000,
    };
    sizes.iter().enumerate().map(account).collect()
}
