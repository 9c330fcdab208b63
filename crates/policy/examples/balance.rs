//! Spread, waits and refusals with many choosers and stale reports of load.
//!
//! Prints the tables of `docs/design/balancing.md`. The first argument is the seed.

#[path = "../tests/play/mod.rs"]
mod play;

use std::time::Duration;

use cardamomshed_policy::gate::Load;
use cardamomshed_policy::route::{Balancer, Outcome, Tier};
use cardamomshed_policy::{Moment, TargetKey};
use play::{Chooser, Figures, Play, Setup};
use rand::Rng;
use rand::rngs::StdRng;

/// Age at which a report counts for 1/e of its difference from the usual load.
const MEMORY: Duration = Duration::from_millis(100);

#[derive(Clone, Copy)]
struct View {
    tier: Tier,
    load: Load,
    reported_at: Moment,
    in_flight: u32,
    sent: u32,
    usual: f64,
}

impl View {
    fn new(tier: Tier, slots: u32) -> Self {
        let load = Load {
            limit: slots,
            ..Load::default()
        };
        Self {
            tier,
            load,
            reported_at: Moment::ZERO,
            in_flight: 0,
            sent: 0,
            usual: 0.0,
        }
    }
}

/// A choice with some of the options that were weighed, among targets that neither fail
/// nor reject calls. `RANDOM` targets are sampled and `RECENT` of the last reports
/// compared with them. `OWN` adds the calls sent since the report, `AGED` returns to the
/// usual load as a report ages, and `SLOTS` ranks by free slots and then by wait instead
/// of load times service time. With two samples and none of the options it is the choice
/// of version f1c308d.
#[derive(Default)]
struct Trial<
    const RANDOM: usize,
    const RECENT: usize,
    const OWN: bool,
    const AGED: bool,
    const SLOTS: bool,
> {
    views: Vec<View>,
    recent: Vec<usize>,
}

type Baseline = Trial<2, 0, false, false, false>;

impl<const RANDOM: usize, const RECENT: usize, const OWN: bool, const AGED: bool, const SLOTS: bool>
    Trial<RANDOM, RECENT, OWN, AGED, SLOTS>
{
    fn load(&self, index: usize, now: Moment) -> f64 {
        let view = &self.views[index];
        let reported = f64::from(view.load.running + view.load.waiting);
        let age = now.since(view.reported_at);
        let weight = if AGED {
            (-age.div_duration_f64(MEMORY)).exp()
        } else {
            1.0
        };
        let estimate = view.usual + (reported - view.usual) * weight;
        let sent = if OWN { f64::from(view.sent) } else { 0.0 };
        ((estimate + sent).max(f64::from(view.in_flight)) + 1.0) / f64::from(view.load.limit)
    }

    fn rank(&self, index: usize, now: Moment) -> f64 {
        let load = self.load(index, now);
        let time = self.views[index].load.service_time.as_secs_f64();
        if SLOTS {
            load.min(1.0) + (load - 1.0).max(0.0) * time / 0.06
        } else {
            load * time
        }
    }

    fn best(
        &self,
        tier: Tier,
        exclude: &[TargetKey],
        random: &mut StdRng,
        now: Moment,
    ) -> Option<usize> {
        let sampled = (0..RANDOM).filter_map(|_| {
            let mut indices = (0..20).map(|_| random.random_range(0..self.views.len()));
            indices.find(|index| {
                self.views[*index].tier == tier && !exclude.contains(&TargetKey(*index as u32))
            })
        });
        let sampled = sampled.collect::<Vec<_>>();
        let recent = self.recent.iter().copied().filter(|index| {
            self.views[*index].tier == tier && !exclude.contains(&TargetKey(*index as u32))
        });
        let all = sampled.into_iter().chain(recent);
        all.min_by(|one, other| self.rank(*one, now).total_cmp(&self.rank(*other, now)))
    }
}

impl<const RANDOM: usize, const RECENT: usize, const OWN: bool, const AGED: bool, const SLOTS: bool>
    Chooser for Trial<RANDOM, RECENT, OWN, AGED, SLOTS>
{
    fn insert(&mut self, tier: Tier, slots: u32, _: Moment) -> TargetKey {
        self.views.push(View::new(tier, slots));
        TargetKey(self.views.len() as u32 - 1)
    }

    fn replace(&mut self, key: TargetKey, tier: Tier, slots: u32, _: Moment) {
        self.views[key.0 as usize] = View::new(tier, slots);
    }

    fn start(&mut self, exclude: &[TargetKey], random: &mut StdRng, now: Moment) -> TargetKey {
        let mut chosen = self.best(Tier::Domain, exclude, random, now).unwrap_or(0);
        if self.load(chosen, now) > 4.0 {
            let far = self.best(Tier::Remote, exclude, random, now);
            chosen = far
                .filter(|far| self.load(*far, now) < 0.8)
                .unwrap_or(chosen);
        }
        self.views[chosen].in_flight += 1;
        self.views[chosen].sent += 1;
        TargetKey(chosen as u32)
    }

    fn end(&mut self, key: TargetKey, _: Outcome, report: (Load, f64), now: Moment) {
        let index = key.0 as usize;
        let view = &mut self.views[index];
        view.load = report.0;
        view.reported_at = now;
        view.in_flight = view.in_flight.saturating_sub(1);
        view.sent = 0;
        view.usual += 0.1 * (f64::from(report.0.running + report.0.waiting) - view.usual);
        self.recent.retain(|known| *known != index);
        self.recent.insert(0, index);
        self.recent.truncate(RECENT);
    }
}

fn share(count: u64, figures: &Figures) -> f64 {
    count as f64 / figures.calls as f64
}

fn millis(figures: &Figures, quantile: f64) -> f64 {
    figures.waits.value_at_quantile(quantile) as f64 / 1_000.0
}

fn even<C: Chooser>(name: &str, reported: bool, seed: u64) {
    for (demand, phases) in [
        (&[0.6], false),
        (&[0.8], false),
        (&[0.95], false),
        (&[0.6], true),
        (&[0.8], true),
        (&[0.95], true),
    ] {
        let mut setup = Setup::new(seed, demand);
        setup.phases = phases;
        setup.reported = reported;
        let figures = Play::<C>::run(setup);
        println!(
            "| {name} | {:.2} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.4} |",
            demand[0],
            if phases { "yes" } else { "no" },
            figures.utilization.0 - figures.utilization.1,
            figures.spread,
            millis(&figures, 0.5),
            millis(&figures, 0.99),
            figures.totals.value_at_quantile(0.99) as f64 / 1_000.0,
            share(figures.refused, &figures),
        );
    }
}

fn regions<C: Chooser>(name: &str, seed: u64) {
    for demand in [&[1.3, 0.5], &[0.8, 0.5], &[0.9, 0.9], &[1.1, 1.1]] {
        let mut setup = Setup::new(seed, demand);
        setup.priced = true;
        region::<C>(name, setup);
    }
}

/// Short calls behind windows: the price of a call is too low to move any.
fn windows<C: Chooser>(name: &str, seed: u64) {
    for demand in [
        &[1.3, 0.5],
        &[1.3, 0.7],
        &[1.3, 0.1],
        &[0.8, 0.5],
        &[0.8, 0.8],
        &[0.9, 0.5],
        &[0.9, 0.9],
        &[1.1, 1.1],
        &[1.3, 1.3],
    ] {
        region::<C>(name, Setup::windowed(seed, demand));
    }
}

fn region<C: Chooser>(name: &str, mut setup: Setup) {
    setup.warm_up = setup.length / 2;
    let figures = Play::<C>::run(setup);
    let settled = setup.warm_up.div_duration_f64(play::WINDOW) as usize;
    let windows = figures.windows[settled..].iter();
    let shares = windows.map(|(calls, far)| f64::from(*far) / f64::from(*calls));
    let shares = shares.collect::<Vec<_>>();
    println!(
        "| {name} | {:.1}, {:.1} | {:.3} | {:.4} | {:.1} | {:.1} | {:.3} | {:.3} to {:.3} |",
        setup.demand[0],
        setup.demand[1],
        share(figures.priced_out, &figures),
        share(figures.refused + figures.late, &figures),
        millis(&figures, 0.5),
        millis(&figures, 0.99),
        shares.iter().sum::<f64>() / shares.len() as f64,
        shares.iter().copied().fold(1.0, f64::min),
        shares.iter().copied().fold(0.0, f64::max),
    );
}

fn restart<C: Chooser>(name: &str, seed: u64) {
    let mut setup = Setup::new(seed, &[0.8]);
    setup.restart = Some(Duration::from_secs(10));
    let loads = Play::<C>::run(setup).restarted;
    let ticks = |seconds: f64| (seconds / play::TICK.as_secs_f64()) as usize;
    let peak = loads[..ticks(1.0)].iter().copied().fold(0.0, f64::max);
    let settled = &loads[ticks(2.0)..ticks(5.0)];
    let mean = settled.iter().sum::<f64>() / settled.len() as f64;
    println!("| {name} | {peak:.2} | {mean:.2} |");
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("| choice | demand | phases | use | spread | p50 | p99 | p99 to the end | refused |");
    even::<Baseline>("f1c308d", false, seed);
    even::<Trial<2, 0, true, false, false>>("own calls added", false, seed);
    even::<Trial<2, 0, true, true, false>>("and corrected by age", false, seed);
    even::<Trial<2, 0, true, true, true>>("and by free slots", false, seed);
    even::<Trial<6, 0, true, true, true>>("and six samples", false, seed);
    even::<Trial<2, 4, true, true, true>>("two samples, last reports", false, seed);
    even::<Balancer>("policy::route", false, seed);
    even::<Balancer>("and the fourth figure", true, seed);
    println!("| choice | demand | by price | by gates or late | p50 | p99 | over the link |");
    regions::<Baseline>("f1c308d", seed);
    regions::<Balancer>("policy::route", seed);
    println!("| choice | demand | by price | by gates or late | p50 | p99 | over the link |");
    windows::<Baseline>("f1c308d", seed);
    windows::<Balancer>("policy::route", seed);
    println!("| choice | most calls per slot in 1 s at a new target | mean from 2 s to 5 s |");
    restart::<Baseline>("f1c308d", seed);
    restart::<Balancer>("policy::route", seed);
}
