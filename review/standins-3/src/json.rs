//! Reads JSON, and base64 in both directions, as far as the store's calls need them.

/// A JSON value. Objects keep the order of their fields.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `Null` if it is not JSON.
    pub fn parse(text: &[u8]) -> Json {
        Parser { text, at: 0 }.value().unwrap_or(Json::Null)
    }

    /// The field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        let Json::Object(fields) = self else { return &Json::Null };
        fields.iter().find(|(field, _)| field == name).map_or(&Json::Null, |(_, value)| value)
    }

    /// The items of a list; none if it is not one.
    pub fn items(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    /// The text; empty if it is not one.
    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    /// The number; 0 if it is not one.
    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool),
            b'f' => self.word("false", Json::Bool),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        while self.peek()? != b'}' {
            if !fields.is_empty() {
                self.take(b',')?;
                self.peek()?;
            }
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
        }
        self.take(b'}')?;
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            if !items.is_empty() {
                self.take(b',')?;
            }
            items.push(self.value()?);
        }
        self.take(b']')?;
        Some(Json::List(items))
    }

    /// A string; of the escapes those that the instances use.
    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.text.get(self.at)?);
                    self.at += 1;
                }
                other => bytes.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[begin..self.at]).ok()?.parse().ok().map(Json::Number)
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
