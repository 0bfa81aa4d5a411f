//! The types that nearly every module uses.

pub use crate::findings::Finding;
pub use crate::findings::Findings;
pub use std::sync::Arc;

/// An immutable name that is shared instead of copied.
pub type Name = Arc<str>;

/// The position of a record in a stream of the platform's log.
pub type Offset = u64;
