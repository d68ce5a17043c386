//! What a command prints: sentences for a person, or JSON for a program.

use super::error::CommandError;
use serde::Serialize;

/// The result of a command, in both forms.
pub struct Output {
    /// For a person; each line ends with a line break.
    pub text: String,
    /// For a program.
    pub json: serde_json::Value,
}

impl Output {
    /// A value, and the text that says the same.
    ///
    /// # Errors
    /// Never for plain data: [`CommandError::BadAnswer`] for a value that has no form
    /// in JSON.
    pub fn new<T: Serialize>(value: &T, text: String) -> Result<Self, CommandError> {
        let json = serde_json::to_value(value).map_err(|error| CommandError::BadAnswer(error.to_string()))?;
        Ok(Self { text, json })
    }

    /// Prints the form that was asked for.
    pub fn print(&self, as_json: bool) {
        match as_json {
            true => println!("{}", self.json),
            false => print!("{}", self.text),
        }
    }
}
