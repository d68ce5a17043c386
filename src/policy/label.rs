//! Interned labels: the names and values that a document's selectors contain are replaced
//! by small numbers, so that the labels of a request are compared as integers.

use std::collections::{BTreeMap, HashMap};

/// Labels as an operator writes them: name to value.
pub type RawLabels = BTreeMap<String, String>;

/// Maximum number of label names in the selectors of one document: as many as a [`LabelKey`]
/// can number.
pub const MAX_LABEL_NAMES: usize = u16::MAX as usize + 1;

/// An interned label name: its position in each [`LabelSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LabelKey(pub u16);

/// An interned label value. [`Symbol::NONE`] stands for an absent label,
/// [`Symbol::OTHER`] for a value that no selector contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Symbol(pub u32);

impl Symbol {
    /// The label is absent.
    pub const NONE: Symbol = Symbol(0);
    /// The label is present with a value that no selector contains.
    pub const OTHER: Symbol = Symbol(1);
    /// Number of the first interned value, after the two above.
    const FIRST: u32 = 2;
}

/// The label names and values in the selectors of one document.
#[derive(Clone, Debug, Default)]
pub struct Interner {
    keys: HashMap<String, LabelKey>,
    values: HashMap<String, Symbol>,
}

impl Interner {
    /// The key of label `name`, which is added if it is new.
    ///
    /// # Panics
    /// Beyond [`MAX_LABEL_NAMES`] names; the check of a document rejects these first.
    pub fn intern_key(&mut self, name: &str) -> LabelKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = LabelKey(u16::try_from(self.keys.len()).expect("the check limits the number of label names"));
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The symbol of `value`, which is added if it is new.
    pub fn intern_value(&mut self, value: &str) -> Symbol {
        if let Some(symbol) = self.values.get(value) {
            return *symbol;
        }
        let symbol = Symbol(self.values.len() as u32 + Symbol::FIRST);
        self.values.insert(value.to_owned(), symbol);
        symbol
    }

    /// The key of label `name`; `None` if no selector contains it.
    pub fn key(&self, name: &str) -> Option<LabelKey> {
        self.keys.get(name).copied()
    }

    /// The symbol of `value`; [`Symbol::OTHER`] if no selector contains it.
    pub fn value(&self, value: &str) -> Symbol {
        self.values.get(value).copied().unwrap_or(Symbol::OTHER)
    }

    /// Number of interned label names.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

/// The labels of a target or request: one value for each [`LabelKey`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LabelSet {
    values: Vec<Symbol>,
}

impl LabelSet {
    /// A set of `key_count` absent labels.
    pub fn empty(key_count: usize) -> Self {
        Self { values: vec![Symbol::NONE; key_count] }
    }

    /// The value of a label; [`Symbol::NONE`] if it is absent.
    pub fn get(&self, key: LabelKey) -> Symbol {
        self.values.get(usize::from(key.0)).copied().unwrap_or(Symbol::NONE)
    }

    /// Sets the value of a label.
    pub fn set(&mut self, key: LabelKey, value: Symbol) {
        let index = usize::from(key.0);
        if self.values.len() <= index {
            self.values.resize(index + 1, Symbol::NONE);
        }
        self.values[index] = value;
    }
}
