//! Tests of the HTTP client, one file per feature.

mod whole_responses;
