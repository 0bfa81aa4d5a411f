//! State that a stand-in's handle and its tasks share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// A value behind a lock that is never held over an await.
#[derive(Debug, Default)]
pub struct Shared<T> {
    value: Arc<Mutex<T>>,
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
        }
    }
}

impl<T> Shared<T> {
    /// Makes a shared value.
    pub fn new(value: T) -> Self {
        Self {
            value: Arc::new(Mutex::new(value)),
        }
    }

    /// Calls `f` with the value while the lock is held.
    pub fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let mut value = self.value.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut value)
    }
}
