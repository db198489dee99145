//! Checks the keys of customers at the entry.

use super::{
    Entry,
    call::{PreparedCall, find_route},
};
use config::{KnownCustomer, Route, RouteTable, hash_key};
use errors::ErrorKind;
use http::Request;
use std::sync::Arc;

/// Scheme of the header field with the key.
const KEY_SCHEME: &str = "Bearer";

/// Longest header field with a key in bytes, whatever the limit of the whole head is. Keys have at
/// most 1,024 bytes.
const MAX_KEY_FIELD_BYTES: usize = 16 << 10;

/// The customer that a call is sent for, and the key that shows it.
pub(crate) struct Credential {
    pub(crate) customer: Arc<KnownCustomer>,
    pub(crate) key_hash: [u8; 32],
}

impl Entry {
    /// Checks the key of a request and removes it, together with what the caller sent as the
    /// customer's name. The result is `None` on public routes and if the configuration has no
    /// customers, in which case the request is unchanged. `may_accept_keys` tells whether this node
    /// held a proof of strict revocation before it read the table; without one, an unknown key may
    /// be new just as a known one may be revoked.
    pub(super) fn authenticate(
        &self,
        table: &RouteTable,
        route: &Route,
        may_accept_keys: bool,
        request: &mut Request,
    ) -> Result<Option<Credential>, ErrorKind> {
        let Some(customers) = table.customers() else {
            return Ok(None);
        };
        let names = &self.context.kernel.node_settings().headers;
        let key_hash = match names.api_key {
            Some(name) => key_hash(request, name)?,
            None => None,
        };
        for name in [names.api_key, names.customer].into_iter().flatten() {
            request.headers.remove(name);
        }
        identify(route, may_accept_keys, key_hash, |key_hash| {
            let customer = Arc::clone(customers.find(&key_hash)?);
            Some(Credential { customer, key_hash })
        })
    }
}

impl Entry {
    /// Whether a request can be answered without a check of its key: the configuration is there, and
    /// the route is public or there is none.
    pub(super) fn needs_no_key(&self, request: &Request) -> bool {
        let Some(table) = self.context.kernel.profiles.routes() else {
            return false;
        };
        let matched = find_route(&table, request);
        matched.is_none_or(|matched| matched.route.is_public)
    }

    /// Checks a call again before it is sent: its key may have been taken back since it arrived.
    pub(super) fn check_key(&self, call: &PreparedCall) -> Result<(), ErrorKind> {
        let Some(key_hash) = &call.key_hash else {
            return Ok(());
        };
        let may_accept_keys = self.context.revocation.may_accept_keys();
        let Some(table) = self.context.kernel.profiles.routes() else {
            return Ok(());
        };
        let Some(customers) = table.customers() else {
            return Ok(());
        };
        if !may_accept_keys {
            return Err(ErrorKind::RevocationUnconfirmed);
        }
        match customers.find(key_hash) {
            Some(customer) if call.customer.as_ref() == Some(&customer.name) => Ok(()),
            _ => Err(ErrorKind::UnknownKey),
        }
    }
}

impl Entry {
    /// Logs that a request is refused before it becomes a call. Refusals for a key are sampled, since
    /// any caller can cause them.
    pub(super) fn log_refusal(&self, request_id: &str, kind: ErrorKind) {
        let more = match kind {
            ErrorKind::UnknownKey
            | ErrorKind::AmbiguousKey
            | ErrorKind::HeadTooLarge
            | ErrorKind::RevocationUnconfirmed => {
                let now_us = self.context.kernel.clock.now_us();
                let Some(suppressed) = self.key_refusals.take_turn(now_us, kind) else {
                    return;
                };
                format!("; {suppressed} more refusals since the last line")
            }
            _ => String::new(),
        };
        let version = self.configuration_version();
        let detail = self.key_detail(kind);
        log::info!(
            "entry: request {request_id} refused, {kind}{detail}; configuration version {version}{more}."
        );
    }

    /// The figures behind a refusal for its key, for the log.
    pub(super) fn key_detail(&self, kind: ErrorKind) -> String {
        if kind != ErrorKind::RevocationUnconfirmed {
            return String::new();
        }
        let revocation = &self.context.revocation;
        let bound_ms = revocation.bound_us() / 1_000;
        match revocation.age_ms() {
            Some(age_ms) => format!(", proof {age_ms} ms old, bound {bound_ms} ms"),
            None => format!(", no proof yet, bound {bound_ms} ms"),
        }
    }
}

/// Finds the customer of a call by what identifies it, where the configuration has customers; `None`
/// on public routes.
pub(super) fn identify<K, C>(
    route: &Route,
    may_accept_keys: bool,
    key: Option<K>,
    find: impl FnOnce(K) -> Option<C>,
) -> Result<Option<C>, ErrorKind> {
    if route.is_public {
        return Ok(None);
    }
    let key = key.ok_or(ErrorKind::UnknownKey)?;
    if !may_accept_keys {
        return Err(ErrorKind::RevocationUnconfirmed);
    }
    find(key).map(Some).ok_or(ErrorKind::UnknownKey)
}

/// Hash of the key in the header field; `None` without the field or with another scheme. Several
/// fields and one that is too long are refused.
fn key_hash(request: &Request, name: &str) -> Result<Option<[u8; 32]>, ErrorKind> {
    let mut values = request.headers.get_all(name);
    let value = values.next();
    if values.next().is_some() {
        return Err(ErrorKind::AmbiguousKey);
    }
    if value.is_some_and(|value| value.len() > MAX_KEY_FIELD_BYTES) {
        return Err(ErrorKind::HeadTooLarge);
    }
    let Some((scheme, key)) = value.and_then(|value| value.trim().split_once(' ')) else {
        return Ok(None);
    };
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME);
    Ok(is_key.then(|| hash_key(key.trim().as_bytes())))
}
