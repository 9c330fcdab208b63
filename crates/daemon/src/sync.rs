//! Locking of mutexes without poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning. Every holder in this crate changes the
/// value by calls that either complete or panic before they change anything, so
/// a value behind a poisoned lock is consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
