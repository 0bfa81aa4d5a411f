//! State shared between a stand-in's handle and its tasks.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;

/// A value behind a mutex that is never held across an await.
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
    /// Wraps `value` in a new mutex.
    pub fn new(value: T) -> Self {
        Self {
            value: Arc::new(Mutex::new(value)),
        }
    }

    /// Returns a weak reference, which does not keep the value alive.
    pub fn downgrade(&self) -> WeakShared<T> {
        WeakShared {
            value: Arc::downgrade(&self.value),
        }
    }

    /// Calls `f` with the value while the lock is held.
    pub fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let mut value = self.value.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut value)
    }
}

/// A weak reference to a shared value.
#[derive(Debug)]
pub struct WeakShared<T> {
    value: Weak<Mutex<T>>,
}

impl<T> WeakShared<T> {
    /// Returns the shared value if a strong reference still exists.
    pub fn upgrade(&self) -> Option<Shared<T>> {
        let value = self.value.upgrade()?;
        Some(Shared { value })
    }
}
