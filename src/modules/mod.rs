//! What carries out effects and brings events.
