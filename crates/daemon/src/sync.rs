//! Locks whose holders never leave them in a half-changed state.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. Every holder in this crate changes the value by calls that
/// complete or panic before they change anything, so the value behind a
/// poisoned lock is whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
