//! Result codes of calls that a gate shed.

use cardamomshed_code::Code;
use cardamomshed_policy::gate::Shed;

/// Code for which a shed call is refused.
pub const fn code(shed: Shed) -> Code {
    match shed {
        Shed::Deadline => Code::DeadlineUnmet,
        Shed::Full => Code::QueueFull,
        Shed::Stalled => Code::TargetStalled,
        Shed::Closed => Code::Leaving,
    }
}
