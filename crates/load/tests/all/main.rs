//! Tests of the load generator, one file per feature.

mod response_outcomes;
