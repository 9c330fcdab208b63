//! The platform's stand-in by hand: prints its address and serves until it is
//! ended.

use cardamomshed_standin::platform::{Capacity, Platform};

fn main() {
    let platform = Platform::start(Capacity::default());
    println!("platform: {}", platform.base());
    loop {
        std::thread::park();
    }
}
