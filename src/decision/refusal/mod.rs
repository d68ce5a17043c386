//! Who is turned away and told what: when a refused caller may return, what a stopping instance
//! still takes.
//!
//! Owns nothing. The tables of [`crate::decision`] say what each rule promises.

pub mod retry_after;
pub mod stop;
