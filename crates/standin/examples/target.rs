//! Runs a stand-in target: `target SERVICE DAEMON [CALLED-PATH]...`, where DAEMON
//! is the address of the daemon's target listener.

use std::time::Duration;

use cardamomshed_standin::target::{Behaviour, Config, Target};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let usage = "usage: target SERVICE DAEMON [CALLED-PATH]...";
    let service = arguments.next().expect(usage);
    let daemon = arguments.next().expect(usage);
    let target = Target::start(Config {
        service,
        slots: 50,
        connections: 400,
        daemon: daemon.parse().expect("DAEMON is an address and port"),
        behaviour: Behaviour {
            service_time: Duration::from_millis(10),
            calls: arguments.collect(),
            ..Behaviour::default()
        },
        announces: true,
    });
    println!("target: {}", target.address());
    loop {
        std::thread::park();
    }
}
