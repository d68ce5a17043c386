//! Who is turned away and told what: when a refused caller may return, what is held of answers, what
//! a stopping instance still takes.
//!
//! Owns nothing. The tables of [`crate::decision`] say what each rule promises.

pub mod held_answers;
pub mod retry_after;
pub mod stop;
