//! Header fields that keep their order and letter case.

/// Hop-by-hop headers: they concern one connection and are never forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];

/// Header fields in order of arrival; lookup ignores letter case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// An empty list.
    pub fn new() -> Self {
        Headers::default()
    }

    /// The value of the first field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, v)| v)
    }

    /// The values of all fields of that name, in order.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    }

    /// Whether a field of that name is present.
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Adds a field after the others.
    pub fn append(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push((name.into(), value.into()));
    }

    /// Replaces all fields of that name with one.
    pub fn set(&mut self, name: impl Into<String>, value: impl Into<String>) {
        let name = name.into();
        self.remove(&name);
        self.append(name, value);
    }

    /// Removes all fields of that name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Name and value of each field, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }

    /// Number of fields.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a comma-separated field of that name has the token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

impl<N: Into<String>, V: Into<String>> FromIterator<(N, V)> for Headers {
    fn from_iter<T: IntoIterator<Item = (N, V)>>(fields: T) -> Self {
        Headers(
            fields
                .into_iter()
                .map(|(n, v)| (n.into(), v.into()))
                .collect(),
        )
    }
}

/// Removes the hop-by-hop fields and those that `connection` names.
///
/// `host` stays even if `connection` names it, because it selects the service.
pub fn strip_hop_by_hop(headers: &mut Headers) {
    let named: Vec<String> = headers
        .get_all("connection")
        .flat_map(|value| value.split(','))
        .map(|part| part.trim().to_owned())
        .filter(|name| !name.is_empty() && !name.eq_ignore_ascii_case("host"))
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
