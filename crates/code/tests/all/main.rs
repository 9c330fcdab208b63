//! Tests of the code crate, one file per feature.

mod catalogue_pages;
