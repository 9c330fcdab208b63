//! Tests of the code crate, one file a feature.

mod catalogue_pages;
