//! Checks the keys of customers at the entry.

use super::{Entry, call::PreparedCall};
use config::{KnownCustomer, Route, RouteTable, hash_key};
use errors::ErrorKind;
use http::Request;
use std::sync::Arc;

/// Scheme of the header field with the key.
const KEY_SCHEME: &str = "Bearer";

/// The customer that a call is sent for, and the key that shows it.
pub(crate) struct Credential {
    pub(crate) customer: Arc<KnownCustomer>,
    pub(crate) key_hash: [u8; 32],
}

impl Entry {
    /// Checks the key of a request and removes it, together with what the caller sent as the
    /// customer's name. The result is `None` on public routes and if the configuration has no
    /// customers, in which case the request is unchanged.
    pub(super) fn authenticate(
        &self,
        table: &RouteTable,
        route: &Route,
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
        if route.is_public {
            return Ok(None);
        }
        let key_hash = key_hash.ok_or(ErrorKind::UnknownKey)?;
        let customer = customers.find(&key_hash).ok_or(ErrorKind::UnknownKey)?;
        Ok(Some(Credential {
            customer: Arc::clone(customer),
            key_hash,
        }))
    }
}

impl Entry {
    /// Checks a call again before it is sent: its key may have been taken back since it arrived.
    pub(super) fn check_key(&self, call: &PreparedCall) -> Result<(), ErrorKind> {
        let Some(key_hash) = &call.key_hash else {
            return Ok(());
        };
        let Some(table) = self.context.kernel.profiles.routes() else {
            return Ok(());
        };
        let Some(customers) = table.customers() else {
            return Ok(());
        };
        match customers.find(key_hash) {
            Some(customer) if call.customer.as_ref() == Some(&customer.name) => Ok(()),
            _ => Err(ErrorKind::UnknownKey),
        }
    }
}

/// Hash of the key in the header field; `None` without the field or with another scheme.
fn key_hash(request: &Request, name: &str) -> Result<Option<[u8; 32]>, ErrorKind> {
    let mut values = request.headers.get_all(name);
    let value = values.next();
    if values.next().is_some() {
        return Err(ErrorKind::AmbiguousKey);
    }
    let Some((scheme, key)) = value.and_then(|value| value.trim().split_once(' ')) else {
        return Ok(None);
    };
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME);
    Ok(is_key.then(|| hash_key(key.trim().as_bytes())))
}
