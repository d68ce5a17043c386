//! Labels, interned so that a request's labels compare as integers.

use std::collections::{BTreeMap, HashMap};

/// Labels as an operator writes them.
pub type RawLabels = BTreeMap<String, String>;

/// A label name, as a position in every [`LabelSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LabelKey(pub u16);

/// A label value. [`Symbol::NONE`] stands for "no such label" and
/// [`Symbol::OTHER`] for a value that no declaration mentions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Symbol(pub u32);

impl Symbol {
    /// The label is absent.
    pub const NONE: Symbol = Symbol(0);
    /// The label is present with a value that nothing in the declaration names.
    pub const OTHER: Symbol = Symbol(1);
}

/// The names and values that one declaration mentions.
#[derive(Clone, Debug, Default)]
pub struct Interner {
    keys: HashMap<String, LabelKey>,
    names: Vec<String>,
    values: HashMap<String, Symbol>,
    texts: Vec<String>,
}

impl Interner {
    /// The key of label `name`, made if new.
    pub fn intern_key(&mut self, name: &str) -> LabelKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = LabelKey(u16::try_from(self.names.len()).expect("fewer than 65,536 label names"));
        self.keys.insert(name.to_owned(), key);
        self.names.push(name.to_owned());
        key
    }

    /// The symbol of `value`, made if new.
    pub fn intern_value(&mut self, value: &str) -> Symbol {
        if let Some(symbol) = self.values.get(value) {
            return *symbol;
        }
        let symbol = Symbol(self.texts.len() as u32 + 2);
        self.values.insert(value.to_owned(), symbol);
        self.texts.push(value.to_owned());
        symbol
    }

    /// The key of label `name`, if any selector or item mentions it.
    pub fn key(&self, name: &str) -> Option<LabelKey> {
        self.keys.get(name).copied()
    }

    /// The symbol of `value`, [`Symbol::OTHER`] where nothing mentions it.
    pub fn value(&self, value: &str) -> Symbol {
        self.values.get(value).copied().unwrap_or(Symbol::OTHER)
    }

    /// The number of label names.
    pub fn width(&self) -> usize {
        self.names.len()
    }

    /// A readable form of a set: `name=value` pairs.
    pub fn describe(&self, set: &LabelSet) -> RawLabels {
        let mut labels = RawLabels::new();
        for (i, symbol) in set.values.iter().enumerate() {
            let text = match *symbol {
                Symbol::NONE => continue,
                Symbol::OTHER => "(unlisted)",
                Symbol(n) => &self.texts[n as usize - 2],
            };
            labels.insert(self.names[i].clone(), text.to_owned());
        }
        labels
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
        let i = usize::from(key.0);
        if self.values.len() <= i {
            self.values.resize(i + 1, Symbol::NONE);
        }
        self.values[i] = value;
    }

    /// Interns `labels` over what is set already.
    pub fn extend(&mut self, interner: &mut Interner, labels: &RawLabels) {
        for (name, value) in labels {
            let key = interner.intern_key(name);
            let symbol = interner.intern_value(value);
            self.set(key, symbol);
        }
    }

    /// Overlays every present label of `other`.
    pub fn overlay(&mut self, other: &LabelSet) {
        for (i, symbol) in other.values.iter().enumerate() {
            if *symbol != Symbol::NONE {
                self.set(LabelKey(i as u16), *symbol);
            }
        }
    }
}
