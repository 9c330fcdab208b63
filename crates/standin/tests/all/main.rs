//! Tests of the stand-ins and of the page generated from experiment results.

mod capacity_page;
mod client_replies;
mod platform_rows;
mod soak_messages;
