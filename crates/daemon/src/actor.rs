//! The long-lived parts of a daemon, under one supervisor.

pub mod config;
pub mod follower;
pub mod gossip;
mod keeper;
mod operator;
pub mod quota;
pub mod root;
mod seeds;
mod worker;

pub use worker::Stop;
