//! Long-lived actors of a daemon and their supervisor, [`root::Root`].

pub mod distribution;
pub mod follower;
pub mod gossip;
mod leaving;
mod operator;
pub mod quota;
mod rewrite;
pub mod root;
mod seeds;
mod warmth;
mod worker;

pub use worker::Stop;
