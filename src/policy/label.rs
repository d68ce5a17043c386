//! Labels, interned: the names and values that the selectors of a document
//! mention become small numbers, so that a request's labels compare as integers.

use std::collections::{BTreeMap, HashMap};

/// Labels as an operator writes them.
pub type RawLabels = BTreeMap<String, String>;

/// Most label names that the selectors of one document test: a [`LabelKey`] counts so many.
/// Follows from the type.
pub const MAX_LABEL_NAMES: usize = u16::MAX as usize + 1;

/// A label name, as a position in every [`LabelSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LabelKey(pub u16);

/// A label value. [`Symbol::NONE`] stands for "no such label" and
/// [`Symbol::OTHER`] for a value that no selector mentions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Symbol(pub u32);

impl Symbol {
    /// The label is absent.
    pub const NONE: Symbol = Symbol(0);
    /// The label is present with a value that no selector mentions.
    pub const OTHER: Symbol = Symbol(1);
    /// The number of the first value that is interned, after the two above.
    const FIRST: u32 = 2;
}

/// The label names and values that the selectors of one document mention.
#[derive(Clone, Debug, Default)]
pub struct Interner {
    keys: HashMap<String, LabelKey>,
    values: HashMap<String, Symbol>,
}

impl Interner {
    /// The key of label `name`, made if new.
    ///
    /// # Panics
    /// At a name more than [`MAX_LABEL_NAMES`], which the check of a document refuses before.
    pub fn intern_key(&mut self, name: &str) -> LabelKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = LabelKey(u16::try_from(self.keys.len()).expect("the check bounds label names"));
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The symbol of `value`, made if new.
    pub fn intern_value(&mut self, value: &str) -> Symbol {
        if let Some(symbol) = self.values.get(value) {
            return *symbol;
        }
        let symbol = Symbol(self.values.len() as u32 + Symbol::FIRST);
        self.values.insert(value.to_owned(), symbol);
        symbol
    }

    /// The key of label `name`, if any selector mentions it.
    pub fn key(&self, name: &str) -> Option<LabelKey> {
        self.keys.get(name).copied()
    }

    /// The symbol of `value`, [`Symbol::OTHER`] where nothing mentions it.
    pub fn value(&self, value: &str) -> Symbol {
        self.values.get(value).copied().unwrap_or(Symbol::OTHER)
    }

    /// The number of label names.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

/// One value for each label name, dense by [`LabelKey`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LabelSet {
    values: Vec<Symbol>,
}

impl LabelSet {
    /// A set of `width` absent labels.
    pub fn empty(width: usize) -> Self {
        Self { values: vec![Symbol::NONE; width] }
    }

    /// The value of a label.
    pub fn get(&self, key: LabelKey) -> Symbol {
        self.values.get(usize::from(key.0)).copied().unwrap_or(Symbol::NONE)
    }

    /// Sets a label.
    pub fn set(&mut self, key: LabelKey, value: Symbol) {
        let index = usize::from(key.0);
        if self.values.len() <= index {
            self.values.resize(index + 1, Symbol::NONE);
        }
        self.values[index] = value;
    }
}
