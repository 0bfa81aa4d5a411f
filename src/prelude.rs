//! Types that nearly every module uses.

pub use crate::findings::Finding;
pub use crate::findings::Findings;
pub use std::sync::Arc;

/// An immutable, reference-counted name; cloning it does not copy the text.
pub type Name = Arc<str>;

/// The offset of a record in a stream of the platform's log.
pub type Offset = u64;
