pub mod departure;
pub mod drill;
pub mod reader;

use crate::fleet::Place;

/// Four machines in two zones, two services with two upstreams each.
pub const PLACES: [Place; 4] = [
    Place {
        name: "sidecar-kariakoo-1",
        zone: "kariakoo",
        region: "dar-coast",
        service: "huvo11a",
    },
    Place {
        name: "sidecar-kariakoo-2",
        zone: "kariakoo",
        region: "dar-coast",
        service: "lovo22d",
    },
    Place {
        name: "sidecar-njiro-1",
        zone: "njiro",
        region: "arusha-north",
        service: "huvo11a",
    },
    Place {
        name: "sidecar-njiro-2",
        zone: "njiro",
        region: "arusha-north",
        service: "lovo22d",
    },
];

/// A desired state with these tenants.
pub fn desired(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":{{\
         \"r-a\":{{\"host\":\"hulo84.example\",\"prefix\":\"/a/\",\"kind\":\"non_idempotent\",\
         \"timeout\":\"1500ms\",\"target-latency\":\"500ms\",\"priority\":0,\
         \"service\":\"huvo11a\",\"max-attempts\":2,\"public\":false}},\
         \"r-b\":{{\"host\":\"hulo84.example\",\"prefix\":\"/b/\",\"kind\":\"idempotent\",\
         \"timeout\":\"1500ms\",\"target-latency\":\"500ms\",\"priority\":2,\
         \"service\":\"lovo22d\",\"max-attempts\":2,\"public\":false}},\
         \"r-c\":{{\"host\":\"hulo84.example\",\"prefix\":\"/c/\",\"kind\":\"non_idempotent\",\
         \"timeout\":\"8000ms\",\"target-latency\":\"2500ms\",\"priority\":0,\
         \"service\":\"lovo22d\",\"max-attempts\":2,\"public\":false}}}},\
         \"services\":{{\
         \"huvo11a\":{{\"health-path\":\"/health\",\"max-connections\":424,\"protocol\":\"h1\",\"tls\":false}},\
         \"lovo22d\":{{\"health-path\":\"/health\",\"max-connections\":424,\"protocol\":\"h1\",\"tls\":false}}}},\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
         \"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}},\
         \"tenants\":{{{tenants}}}}}"
    )
}
