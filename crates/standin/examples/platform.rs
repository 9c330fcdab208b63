//! Runs the stand-in platform: prints its base URL and serves until the process
//! is terminated.

use cardamomshed_standin::platform::{Capacity, Platform};

fn main() {
    let platform = Platform::start(Capacity::default());
    println!("platform: {}", platform.base());
    loop {
        std::thread::park();
    }
}
