//! Log events.

macro_rules! events {
    ($($variant:ident = $number:literal, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $text] $variant,)*
        }

        impl Event {
            /// Every event, in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The number that log lines carry.
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// The message of the log line.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

events! {
    DaemonStarted = 100, "daemon started";
    DaemonLeaving = 101, "daemon is leaving; new requests are refused";
    DaemonStopped = 102, "daemon stopped; no request is open";
    ActorRestarted = 103, "a supervised actor was restarted";
    CertificateLoaded = 104, "certificate loaded";
    CertificateRejected = 105, "new certificate rejected; the earlier one stays in use";
    ListenerFailed = 106, "a connection could not be accepted";
    SettingsRead = 107, "settings read again; what can change while running is in force";
    SettingsRejected = 108, "changed settings rejected; those in force stay";
    LinesDropped = 109, "log lines dropped";
    RequestAccepted = 200, "request accepted at the ingress";
    RequestRefused = 201, "request refused at the ingress";
    RequestAnswered = 202, "request answered";
    RouteChosen = 210, "target chosen for a call";
    RouteMissing = 211, "no target could be chosen for a call";
    CallRetried = 212, "call retried on another target";
    CallResumed = 213, "call resumed on a new link";
    CallStarted = 220, "call started on the target";
    CallShed = 222, "call shed beside the target";
    CallFinished = 223, "call finished on the target";
    CallCancelled = 224, "call cancelled; the target is told";
    ClaimMade = 230, "idempotency key claimed";
    ClaimRepeated = 231, "idempotency key known; the first answer is repeated";
    ClaimRefused = 232, "idempotency key could not be claimed";
    LinkOpened = 300, "peer link opened";
    LinkClosed = 301, "peer link closed";
    LinkSilent = 302, "peer link went silent and is replaced";
    LinkRejected = 303, "peer link rejected";
    TargetAnnounced = 310, "target announced itself";
    TargetLeaving = 311, "target is leaving";
    TargetLapsed = 312, "target stopped announcing itself";
    TargetEjected = 313, "target ejected after failures";
    TargetRestored = 314, "ejected target admitted again";
    HeartbeatRejected = 315, "registration call rejected; it names no target here";
    DepartureNotKept = 316, "that the target leaves could not be kept in the store";
    TargetUnknown = 317, "the target did not say who it is; its heartbeat will";
    MemberJoined = 320, "member joined";
    MemberSuspected = 321, "member suspected";
    MemberFailed = 322, "member failed";
    MemberLeft = 323, "member left";
    NoteInForce = 400, "release note in force";
    NoteRejected = 401, "release note from the platform could not be applied";
    ConfigInForce = 402, "configuration in force";
    ConfigRejected = 403, "configuration from the platform could not be read";
    PlatformLost = 410, "platform unreachable";
    PlatformFound = 411, "platform reachable again";
    ShareLeased = 420, "quota share leased";
    ShareLapsed = 421, "quota share lapsed";
    ShareReturned = 422, "quota share returned";
    ShareResized = 423, "part of each account's bound that this lender hands out";
}
