//! Tables of `docs/CAPACITY.md`, computed from measured slopes.
//!
//! The example `capacity` writes the tables into the page, and a test compares
//! the page with the committed results. No figure of the tables is edited by
//! hand.

use std::collections::HashMap;
use std::fmt::Write as _;

use serde::Deserialize;

/// Daemons in the fleet at the target size.
const MEMBERS: f64 = 9_900.0;
/// Calls per second over the whole fleet.
const CALLS: f64 = 1_900_000.0;
/// Mean number of calls per root request. Chains are up to 16 deep; the mean is
/// assumed to be half of that.
const CALLS_PER_ROOT: f64 = 8.0;
/// Client accounts, each with one key.
const ACCOUNTS: f64 = 10_000.0;
/// Configuration changes per second: 19,000 per day.
const CHANGES: f64 = 19_000.0 / 86_400.0;
/// Changes of member records per second: 51 failures and 2,700 replacements per
/// day, each of which ends one record and begins another.
const MEMBER_CHANGES: f64 = 2.0 * 2_751.0 / 86_400.0;
/// Failure domains.
const DOMAINS: f64 = 6.0;
/// Note pollers per failure domain.
const POLLERS: f64 = 3.0;
/// Lender slots per failure domain, one per 16 daemons (`lender_slots`).
const LENDER_SLOTS: f64 = 103.0;
/// Services.
const SERVICES: f64 = 1_100.0;
/// Share of root requests with an idempotency key.
const CLAIM_SHARE: f64 = 0.05;
/// Times that each daemon gossips a change of a member: four per doubling of the
/// fleet size.
const TRANSMISSIONS: f64 = 4.0 * 14.0;
/// Limit of control traffic per daemon, in bytes per second.
const LIMIT_BYTES_PER_S: f64 = 14_000.0;
/// Limit of processor time for control per daemon, in per cent of a core.
const LIMIT_CPU_PERCENT: f64 = 1.9;
/// Limit of memory for control per daemon, in MB.
const LIMIT_MEMORY_MB: f64 = 128.0;
/// Limit of writes per second that the platform accepts.
const LIMIT_WRITES_PER_S: f64 = 300.0;
/// Limit of reads per second that the platform accepts.
const LIMIT_READS_PER_S: f64 = 2_000.0;

/// Marker before the generated part of the page.
pub const BEGIN: &str = "<!-- made from docs/experiments/slopes.json -->";
/// Marker after the generated part of the page.
pub const END: &str = "<!-- end -->";

/// Measured figures by the name of their measure.
#[derive(Debug)]
pub struct Slopes {
    figures: HashMap<String, f64>,
}

#[derive(Deserialize)]
struct File {
    measures: Vec<Measure>,
}

#[derive(Deserialize)]
struct Measure {
    name: String,
    ours: f64,
}

/// Row of a table.
struct Line {
    role: &'static str,
    what: &'static str,
    formula: String,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
    mechanism: &'static str,
}

impl Slopes {
    /// Parses a result file of the bench `slopes`.
    ///
    /// # Errors
    ///
    /// Returns the error of the parser if the file is not valid JSON or lacks a
    /// field.
    pub fn parse(json: &str) -> Result<Self, serde_json::Error> {
        let file: File = serde_json::from_str(json)?;
        let figures = file.measures.into_iter();
        Ok(Self {
            figures: figures
                .map(|measure| (measure.name, measure.ours))
                .collect(),
        })
    }

    /// Figure of the measure `name`.
    ///
    /// # Panics
    ///
    /// Panics if the results lack the measure; the test of the page fails then.
    fn get(&self, name: &str) -> f64 {
        *self
            .figures
            .get(name)
            .unwrap_or_else(|| panic!("the results have no `{name}`"))
    }

    /// Value of a fitted line at a size, and its formula as text.
    fn line(&self, what: &str, per: &str, size: f64) -> (f64, String) {
        let slope = self.get(&format!("{what}: per {per}"));
        let base = self.get(&format!("{what}: at zero"));
        let value = slope * size + base;
        (value, format!("{base:.3} + {slope:.5} x {size} ({per})"))
    }

    fn memory(&self) -> Vec<Line> {
        let megabytes = 1e-6;
        let (members, members_of) = self.line("member records, memory", "member", MEMBERS);
        let (config, config_of) =
            self.line("configuration, memory", "account with a key", ACCOUNTS);
        let (quota, quota_of) =
            self.line("quota, memory of lender and wallet", "account", ACCOUNTS);
        let targets_near = MEMBERS / SERVICES / DOMAINS;
        let links = SERVICES * targets_near;
        let per_link = self.get("peer link, memory of both ends: per link");
        let line = |role, what, formula, value, mechanism| Line {
            role,
            what,
            formula,
            value: value * megabytes,
            unit: "MB",
            limit: Some(LIMIT_MEMORY_MB),
            mechanism,
        };
        vec![
            line(
                "gossip member",
                "records",
                members_of,
                members,
                "`policy::member`, one record each",
            ),
            line(
                "note relay",
                "configuration",
                config_of,
                config,
                "`note::Config`, `note::Lookup`",
            ),
            line(
                "quota lender and ingress",
                "buckets, wallets",
                quota_of,
                quota,
                "`policy::quota`",
            ),
            line(
                "ingress, peer link end",
                "links if it calls every service, own failure domain",
                format!("{per_link:.0} x {links:.0} links / 2 ends"),
                per_link * links / 2.0,
                "`daemon::link`, idle links closed after `timing.idle`",
            ),
            line(
                "explainer",
                "recent decisions",
                "32768 x 300 bytes".to_owned(),
                32_768.0 * 300.0,
                "`daemon::trace`, a ring",
            ),
        ]
    }

    fn traffic(&self) -> Vec<Line> {
        let (probes, probes_of) =
            self.line("gossip probes, bytes sent a second", "member", MEMBERS);
        let record = self.get("gossip, bytes of one record");
        let member_changes = MEMBER_CHANGES * TRANSMISSIONS * record;
        let note = self.get("one change, bytes");
        let config_changes = CHANGES * (4.0 * 2.0 * record + 2.0 * note);
        let root_rate = CALLS / CALLS_PER_ROOT / MEMBERS;
        let asks = root_rate * 2.0 * 160.0;
        let line = |role, what, formula, value, mechanism| Line {
            role,
            what,
            formula,
            value,
            unit: "B/s",
            limit: Some(LIMIT_BYTES_PER_S),
            mechanism,
        };
        vec![
            line(
                "gossip member",
                "probes and answers",
                probes_of,
                probes,
                "one probe a second, whatever the size",
            ),
            line(
                "gossip member",
                "changes of members",
                format!("{MEMBER_CHANGES:.3}/s x {TRANSMISSIONS} x {record:.0} bytes"),
                member_changes,
                "`member::updates`, a bounded number of times",
            ),
            line(
                "note relay",
                "changes of the configuration",
                format!("{CHANGES:.2}/s x (8 x {record:.0} + 2 x {note:.0} bytes)"),
                config_changes,
                "push to 4 members, notes over links",
            ),
            line(
                "ingress",
                "quota asks, one a root request at worst",
                format!("{root_rate:.0}/s x 2 x 160 bytes"),
                asks,
                "`quota::Wallet` asks for 150 ms at a time",
            ),
            line(
                "quota lender",
                "all asks of its failure domain",
                format!(
                    "{root_rate:.0}/s x {MEMBERS} / {} slots x 2 x 160 bytes",
                    DOMAINS * LENDER_SLOTS
                ),
                asks * MEMBERS / (DOMAINS * LENDER_SLOTS),
                "`quota::holders`, spread over `lender_slots`",
            ),
        ]
    }

    fn work(&self) -> Vec<Line> {
        let per_second = 1e-4;
        let (gossip, gossip_of) = self.line("gossip, processor time a second", "member", MEMBERS);
        let (change, change_of) = self.line(
            "one change in force, processor time",
            "account with a key",
            ACCOUNTS,
        );
        let idle = self.get("idle daemon and its target, processor time: at zero");
        let idle_slope = self.get("idle daemon and its target, processor time: per daemon");
        let loan = self.line("quota, time of one loan", "account", ACCOUNTS).0;
        let root_rate = CALLS / CALLS_PER_ROOT;
        let loans = root_rate / (DOMAINS * LENDER_SLOTS);
        let line = |role, what, formula, value, mechanism| Line {
            role,
            what,
            formula,
            value,
            unit: "% of a core",
            limit: Some(LIMIT_CPU_PERCENT),
            mechanism,
        };
        vec![
            line(
                "every daemon",
                "idle, with its target's announcements",
                format!(
                    "{idle:.4} + {idle_slope:.6} x size (8 to 64 measured; gossip's growth below)"
                ),
                idle.max(0.0),
                "timers of `daemon::actor`",
            ),
            line(
                "gossip member",
                "ticks",
                format!("({gossip_of}) us/s"),
                gossip * per_second,
                "`member::Fleet::tick`",
            ),
            line(
                "note relay",
                "changes in force",
                format!("{CHANGES:.2}/s x ({change_of}) us"),
                change * CHANGES * per_second,
                "`note::Config::apply`, whole copy",
            ),
            line(
                "quota lender",
                "loans",
                format!("{loans:.0}/s x {loan:.3} us"),
                loans * loan * per_second,
                "`quota::Lender::lend`; messages beside",
            ),
        ]
    }

    fn platform() -> Vec<Line> {
        let pollers = DOMAINS * POLLERS;
        let reads = pollers * (2.0 + 0.5 + 0.2);
        let leases = DOMAINS * LENDER_SLOTS / 15.0;
        let root_rate = CALLS / CALLS_PER_ROOT;
        let claims = root_rate * CLAIM_SHARE;
        let batches = claims.min(MEMBERS * 2.0 * claims / MEMBERS);
        let write = |role, what, formula, value, mechanism| Line {
            role,
            what,
            formula,
            value,
            unit: "1/s",
            limit: Some(LIMIT_WRITES_PER_S),
            mechanism,
        };
        vec![
            Line {
                role: "note poller",
                what: "reads of notes, leases, seeds",
                formula: format!("{pollers} pollers x (2 + 0.5 + 0.2)"),
                value: reads,
                unit: "1/s",
                limit: Some(LIMIT_READS_PER_S),
                mechanism: "three pollers a failure domain",
            },
            write(
                "quota lender",
                "renewals",
                format!("{} slots / 15 s", DOMAINS * LENDER_SLOTS),
                leases,
                "`actor::quota`, one row a slot",
            ),
            write(
                "operators",
                "release notes",
                format!("{CHANGES:.2}/s"),
                CHANGES,
                "one row a note",
            ),
            write(
                "claim maker",
                "transactions, two a claimed request",
                format!("{root_rate:.0}/s x {CLAIM_SHARE} x 2"),
                batches * 2.0,
                "see below: misses",
            ),
        ]
    }

    /// Generated part of the page, with its markers.
    pub fn tables(&self) -> String {
        let mut page = format!("{BEGIN}\n\n");
        for (title, lines) in [
            ("Memory for control, a daemon", self.memory()),
            ("Traffic for control, a daemon", self.traffic()),
            ("Work for control, a daemon", self.work()),
            ("The platform's services, the whole fleet", Self::platform()),
        ] {
            let _ = writeln!(page, "### {title}\n");
            page.push_str("| role | what | formula | value | limit | holds | mechanism |\n");
            page.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
            for line in lines {
                let limit = line
                    .limit
                    .map_or_else(String::new, |limit| format!("{limit}"));
                let holds = line
                    .limit
                    .map_or("", |limit| if line.value <= limit { "yes" } else { "NO" });
                let _ = writeln!(
                    page,
                    "| {} | {} | {} | {:.3} {} | {limit} | {holds} | {} |",
                    line.role, line.what, line.formula, line.value, line.unit, line.mechanism
                );
            }
            page.push('\n');
        }
        page.push_str(END);
        page
    }
}
