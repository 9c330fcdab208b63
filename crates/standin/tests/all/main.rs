//! Tests of the stand-ins and of the page generated from experiment results.

mod capacity_page;
mod platform_rows;
