//! Numbers and messages of log events.

macro_rules! events {
    ($($variant:ident = $number:literal, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $text] $variant,)*
        }

        impl Event {
            /// All events in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Number in the `event` field of log lines; never reassigned.
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// Message of the log line.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

events! {
    DaemonStarted = 100, "daemon started";
    DaemonLeaving = 101, "daemon is leaving; new requests are refused";
    DaemonStopped = 102, "daemon stopped";
    ActorRestarted = 103, "a supervised actor was restarted";
    CertificateLoaded = 104, "certificate loaded";
    CertificateRejected = 105, "new certificate rejected; the previous one remains in use";
    ListenerFailed = 106, "a connection could not be accepted";
    SettingsRead = 107, "settings reloaded; those that can change at run time are in force";
    SettingsRejected = 108, "changed settings rejected; the previous ones remain in force";
    LinesDropped = 109, "log lines dropped";
    ReaderClosed = 120, "connection of a caller that reads its responses too slowly closed";
    ConnectionReplaced = 121, "connection limit reached; the longest idle one closed";
    ConnectionRefused = 122, "connection limit reached; the new one closed";
    RequestAccepted = 200, "request accepted at the ingress";
    RequestRefused = 201, "request refused at the ingress";
    RequestAnswered = 202, "request answered";
    TargetSelected = 210, "target selected for a call";
    TargetUnavailable = 211, "no target available for a call";
    CallRetried = 212, "call retried on another target";
    CallResumed = 213, "call resumed on a new link";
    CallStarted = 220, "call started on the target";
    CallShed = 222, "call shed at the target's daemon";
    CallFinished = 223, "call finished on the target";
    CallCancelled = 224, "call cancelled; the target is notified";
    WindowChanged = 225, "limit on calls that use a congested downstream route set or removed";
    ResponseBroken = 226, "broken response of the target; nothing of it is passed on";
    ClaimMade = 230, "idempotency key claimed";
    ClaimReplayed = 231, "idempotency key already claimed; the first response is replayed";
    ClaimRefused = 232, "idempotency key could not be claimed";
    ClaimsRewritten = 233, "claims that the store lost by returning from a copy are written again";
    ClaimReplaced = 234, "lost claim not written again; another daemon has claimed the key";
    LinkOpened = 300, "peer link opened";
    LinkClosed = 301, "peer link closed";
    LinkTimedOut = 302, "peer link timed out and is replaced";
    LinkRejected = 303, "peer link rejected";
    TargetAnnounced = 310, "target registered";
    TargetLeaving = 311, "target is leaving";
    TargetExpired = 312, "target registration expired";
    TargetEjected = 313, "target ejected after failures";
    TargetRestored = 314, "ejected target readmitted";
    HeartbeatRejected = 315, "registration call rejected; it identifies no target of this daemon";
    DepartureNotStored = 316, "target deregistration could not be stored or read back";
    TargetUnidentified = 317, "target did not report its identity; the daemon waits for its heartbeat";
    DepartureReturned = 318, "departure of the target received back from a peer";
    MemberJoined = 320, "member joined";
    MemberSuspected = 321, "member suspected";
    MemberFailed = 322, "member failed";
    MemberLeft = 323, "member left";
    FleetCounted = 324, "size of the fleet received for the first time since the start";
    EvacuationBegun = 330, "evacuation of a failure domain begun; its targets receive no new requests";
    EvacuationEnded = 331, "evacuation of a failure domain ended";
    EvacuationIgnored = 332, "evacuation of an unknown failure domain ignored";
    TargetCold = 340, "target cold, or possibly so; its calls are limited";
    TargetWarm = 341, "target warm; its calls are no longer limited";
    NoteInForce = 400, "release note in force";
    NoteRejected = 401, "release note from the platform could not be applied";
    ConfigInForce = 402, "configuration in force";
    ConfigRejected = 403, "configuration from the platform could not be read";
    ConfigConfirmed = 404, "configuration confirmed as the newest for the first time since the start";
    PlatformUnreachable = 410, "platform unreachable";
    PlatformReachable = 411, "platform reachable again";
    StoreReturned = 412, "the platform's store returned from a copy; own rows are written again";
    ShareLeased = 420, "quota share leased";
    ShareExpired = 421, "quota share lease expired";
    ShareReturned = 422, "quota share returned";
    ShareResized = 423, "fraction of each account's quota granted by this lender changed";
}
