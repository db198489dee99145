//! Validates a caller's request and resolves its service, profile, deadline and idempotency key.

use super::{Entry, customers::Credential};
use calls::{KeyHash, MAX_KEYED_CALL_MS, ParentCall};
use config::{MatchedRoute, RouteTable};
use errors::ErrorKind;
use http::{Request, strip_hop_by_hop};
use model::{CallId, Fingerprint, Priority, Profile, ServiceName};
use settings::CallHeaders;
use std::sync::Arc;
use suspects::Verdict;
use wire::HttpMessage;

/// Longest deadline that a caller may ask for, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Header with the caller's request id, unless the settings name another one.
const DEFAULT_REQUEST_ID_HEADER: &str = "x-request-id";
/// Characters of the caller's request id that are logged.
const MAX_LOGGED_ID_CHARS: usize = 64;
/// Longest idempotency key in characters.
const MAX_KEY_CHARS: usize = 255;

/// A validated call that is ready to be routed.
pub(crate) struct PreparedCall {
    pub(crate) call: CallId,
    /// The caller's own id of its request; empty if it sent none.
    pub(crate) request_id: String,
    /// Version of the configuration that routed the call; 0 without one.
    pub(crate) configuration: u64,
    pub(crate) service: ServiceName,
    /// Name of the customer that the call is sent for; `None` on public routes and without customers.
    pub(crate) customer: Option<Arc<str>>,
    /// Hash of the key with which the call was accepted.
    pub(crate) key_hash: Option<[u8; 32]>,
    pub(crate) profile: Profile,
    pub(crate) deadline_us: u64,
    /// Latency target of the route as a point in time; `u64::MAX` if there is none.
    pub(crate) target_us: u64,
    pub(crate) key: Option<KeyHash>,
    /// Hash of the request, to find another one with the same idempotency key.
    pub(crate) fingerprint: Fingerprint,
    /// Hash of the request and of who sends it, by which it is known as a crash suspect.
    pub(crate) identity: Fingerprint,
    /// How the request is treated as a crash suspect; suspects and trials run once at most.
    pub(crate) verdict: Verdict,
    pub(crate) request: HttpMessage,
    /// Running call of the local instance that this one is made for.
    pub(crate) parent: Option<ParentCall>,
}

/// Service, profile and latency target that apply to a request.
struct CallTarget {
    service: ServiceName,
    profile: Profile,
    latency_target_ms: Option<u64>,
    credential: Option<Credential>,
    /// Version of the configuration that routed the request; 0 without one.
    version: u64,
}

/// A refused request: its service, if known, and the reason.
type Refusal = (Option<ServiceName>, ErrorKind);

impl Entry {
    /// Validates a request against the routes, the directory, the profiles and the header limits.
    pub(crate) fn prepare(
        &self,
        mut request: Request,
        now_us: u64,
    ) -> Result<PreparedCall, Refusal> {
        let kernel = &self.context.kernel;
        let CallTarget {
            service,
            profile,
            latency_target_ms,
            credential,
            version,
        } = self.resolve_target(&mut request)?;
        let refuse = |kind| (Some(service.clone()), kind);
        let headers = &kernel.node_settings().headers;
        let key = idempotency_key(headers, &request, &service, &profile, credential.as_ref())
            .map_err(refuse)?;
        let longest_ms = if key.is_some() {
            MAX_KEYED_CALL_MS
        } else {
            MAX_DEADLINE_MS
        };
        let deadline_ms = deadline_ms(headers.deadline_ms, &request, &profile)
            .map_err(refuse)?
            .min(longest_ms);
        let fingerprint = fingerprint(&service, &request);
        let identity = sender_identity(
            headers,
            &fingerprint,
            &request,
            credential.as_ref().map(|c| c.customer.name.as_ref()),
        );
        let verdict = self.context.verdict(now_us, &identity);
        if verdict.is_refusal() {
            let evidence = self.context.count_refused(now_us, &identity);
            log::info!(
                "entry: request {} is a crash suspect, {evidence}.",
                self.request_id(&request)
            );
            return Err(refuse(match verdict {
                Verdict::Hold => ErrorKind::CrashHold,
                _ => ErrorKind::CrashSuspect,
            }));
        }
        let parent = self.parent_of(&request);
        let inherited_us = parent.as_ref().map_or(u64::MAX, |p| p.deadline_us);
        let priority = parent
            .as_ref()
            .map_or(profile.priority, |p| p.priority.max(profile.priority));
        Ok(PreparedCall {
            call: self.next_call_id(),
            request_id: self.request_id(&request),
            configuration: version,
            deadline_us: (now_us + deadline_ms * 1000).min(inherited_us),
            target_us: latency_target_ms.map_or(u64::MAX, |target_ms| {
                now_us.saturating_add(target_ms.saturating_mul(1_000))
            }),
            key,
            fingerprint,
            identity,
            verdict,
            request: self.http_message(request, credential.as_ref()),
            key_hash: credential.as_ref().map(|credential| credential.key_hash),
            customer: credential.map(|credential| Arc::clone(&credential.customer.name)),
            service,
            profile: Profile {
                priority,
                ..profile
            },
            parent,
        })
    }
}

impl Entry {
    /// The running call of the local instance that a request is made for.
    pub(super) fn parent_of(&self, request: &Request) -> Option<ParentCall> {
        let name = self.context.kernel.node_settings().headers.request_id?;
        self.context.parent_of(request.headers.get(name)?)
    }

    /// Deadline of a request that is not prepared yet, as far as it is known: the caller's, and the
    /// route's if there is a configuration.
    pub(super) fn known_deadline_us(&self, request: &Request, arrived_us: u64) -> Option<u64> {
        let kernel = &self.context.kernel;
        let header = kernel.node_settings().headers.deadline_ms;
        // One that can't be read is refused when the request is prepared.
        let caller_ms = caller_deadline_ms(header, request).ok().flatten();
        let table = kernel.profiles.routes();
        let matched = table.as_ref().and_then(|table| find_route(table, request));
        let route_ms = matched.map(|matched| u64::from(matched.profile.deadline_ms));
        let known_ms = caller_ms.into_iter().chain(route_ms).min()?;
        Some(arrived_us + known_ms * 1_000)
    }

    /// Resolves the target by the configuration's routes, or without a configuration by the
    /// request's service name and that service's announced rules.
    fn resolve_target(&self, request: &mut Request) -> Result<CallTarget, Refusal> {
        let kernel = &self.context.kernel;
        let path = request.target.split('?').next().unwrap_or("/").to_owned();
        // Before the table: one that was read earlier may be older than the proof.
        let may_accept_keys = self.context.revocation.may_accept_keys();
        if let Some(table) = kernel.profiles.routes() {
            let matched = find_route(&table, request).ok_or((None, ErrorKind::NoRoute))?;
            let credential = self
                .authenticate(&table, &matched.route, may_accept_keys, request)
                .map_err(|kind| (None, kind))?;
            let service = matched
                .next_service()
                .ok_or((None, ErrorKind::NoUpstream))?;
            return Ok(CallTarget {
                service,
                profile: self.route_profile(
                    matched,
                    credential.as_ref().and_then(|c| c.customer.priority),
                ),
                credential,
                latency_target_ms: Some(matched.route.latency_target_ms.to_u64()),
                version: table.configuration().version,
            });
        }
        if kernel.node_settings().require_configuration {
            return Err((None, ErrorKind::NotConfigured));
        }
        let service = requested_service(request).ok_or((None, ErrorKind::UnknownService))?;
        let profile = self
            .announced_profile(&service, &request.method, &path)
            .map_err(|kind| (Some(service.clone()), kind))?;
        Ok(CallTarget {
            service,
            profile,
            latency_target_ms: None,
            credential: None,
            version: 0,
        })
    }

    /// Profile of the calls of a route; the priority of the customer takes precedence.
    pub(super) fn route_profile(
        &self,
        matched: &MatchedRoute,
        priority: Option<Priority>,
    ) -> Profile {
        Profile {
            zone_preference: self.context.kernel.node_settings().route_zone_preference,
            priority: priority.unwrap_or(matched.profile.priority),
            ..matched.profile.clone()
        }
    }

    /// Profile of a call by the rules that the service announced, without a configuration.
    pub(super) fn announced_profile(
        &self,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Result<Profile, ErrorKind> {
        let kernel = &self.context.kernel;
        let name = kernel.directory.profile_for(service, method, path);
        let name = name.ok_or_else(|| match self.knows_service(service) {
            true => ErrorKind::NoUpstream,
            false => ErrorKind::UnknownService,
        })?;
        let profile = kernel.profiles.resolve(&name);
        profile.ok_or(ErrorKind::UnknownProfile)
    }

    /// Whether a service that has no upstream now may have one when its calls are sent again: its last
    /// one is gone, or the local instance is not announced yet.
    fn knows_service(&self, service: &ServiceName) -> bool {
        let context = &self.context;
        context.kernel.directory.had_upstream(service)
            || context.local.service().as_ref() == Some(service)
    }

    /// The caller's request id, cut to the length that is logged.
    pub(super) fn request_id(&self, request: &Request) -> String {
        let names = &self.context.kernel.node_settings().headers;
        let name = names.request_id.unwrap_or(DEFAULT_REQUEST_ID_HEADER);
        let id = request.headers.get(name).unwrap_or_default();
        id.chars().take(MAX_LOGGED_ID_CHARS).collect()
    }

    /// The request as it is sent to an owner: without hop-by-hop headers, and with this node's own
    /// values of the headers that callers must not set.
    fn http_message(&self, mut request: Request, credential: Option<&Credential>) -> HttpMessage {
        strip_hop_by_hop(&mut request.headers);
        let names = &self.context.kernel.node_settings().headers;
        // After the hop-by-hop fields, so that the caller's `connection` can't remove it.
        if let (Some(name), Some(credential)) = (names.customer, credential) {
            let customer: &str = &credential.customer.name;
            request.headers.set(name, customer);
        }
        if let Some(name) = names.caller_service {
            request.headers.remove(name);
            if let Some(service) = self.context.local.service() {
                request.headers.set(name, service.as_str());
            }
        }
        if let Some(name) = names.expected_upstream {
            request.headers.remove(name);
        }
        HttpMessage {
            start_line: (request.method, request.target),
            headers: request
                .headers
                .iter()
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect(),
            body: request.body,
        }
    }
}

/// The service from `x-gyard-service` or from the first label of `Host`.
pub(super) fn requested_service(request: &Request) -> Option<ServiceName> {
    if let Some(name) = request.headers.get("x-gyard-service") {
        return ServiceName::parse(name.trim()).ok();
    }
    let host = request.headers.get("host")?.trim();
    let label = host.split(['.', ':']).next()?;
    ServiceName::parse(label.to_ascii_lowercase()).ok()
}

/// The route of a request in this table.
pub(super) fn find_route<'a>(table: &'a RouteTable, request: &Request) -> Option<&'a MatchedRoute> {
    let host = request.headers.get("host").unwrap_or_default();
    let path = request.target.split('?').next().unwrap_or("/");
    table.find(host.trim(), path).map(AsRef::as_ref)
}

/// The profile's deadline, or the caller's if that is shorter.
fn deadline_ms(header: &str, request: &Request, profile: &Profile) -> Result<u64, ErrorKind> {
    let longest_ms = u64::from(profile.deadline_ms);
    let caller_ms = caller_deadline_ms(header, request)?;
    Ok(caller_ms.map_or(longest_ms, |ms| ms.min(longest_ms)))
}

/// The deadline that the caller asks for, if it does.
fn caller_deadline_ms(header: &str, request: &Request) -> Result<Option<u64>, ErrorKind> {
    let Some(text) = request.headers.get(header) else {
        return Ok(None);
    };
    match text.trim().parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Some(ms)),
        _ => Err(ErrorKind::BadDeadline),
    }
}

/// Hash of the idempotency key. `None` if there is none or the profile allows calls to be repeated
/// anyway.
fn idempotency_key(
    headers: &CallHeaders,
    request: &Request,
    service: &ServiceName,
    profile: &Profile,
    credential: Option<&Credential>,
) -> Result<Option<KeyHash>, ErrorKind> {
    let name = headers.idempotency_key;
    let Some(text) = name.and_then(|name| request.headers.get(name)) else {
        return Ok(None);
    };
    let text = text.trim();
    let is_visible = text.bytes().all(|b| (0x21..0x7f).contains(&b));
    if text.is_empty() || text.len() > MAX_KEY_CHARS || !is_visible {
        return Err(ErrorKind::BadKey);
    }
    if profile.idempotent {
        return Ok(None);
    }
    let mut parts = vec![&b"key"[..], service.as_str().as_bytes(), text.as_bytes()];
    // Customers may choose equal keys; one must not get the answer to another's call.
    parts.extend(credential.map(|credential| credential.customer.name.as_bytes()));
    Ok(Some(short_hash(&parts)))
}

/// Hash that identifies equal requests.
pub(super) fn fingerprint(service: &ServiceName, request: &Request) -> Fingerprint {
    Fingerprint(short_hash(&[
        b"request",
        service.as_str().as_bytes(),
        request.method.as_bytes(),
        request.target.as_bytes(),
        request.headers.get("content-type").unwrap_or("").as_bytes(),
        &request.body,
    ]))
}

/// Hash that identifies equal requests of one sender. Upstreams often treat senders differently, so
/// that the runs of one say nothing about those of another. A customer counts as one sender, whatever
/// key it uses. Ids and times that change with each
/// request are left out: a request that crashes upstreams must be known when it comes again.
pub(super) fn sender_identity(
    headers: &CallHeaders,
    fingerprint: &Fingerprint,
    request: &Request,
    customer: Option<&str>,
) -> Fingerprint {
    let value = |name: &&str| match customer {
        Some(customer) if headers.api_key == Some(*name) => customer.as_bytes(),
        _ => request.headers.get(name).unwrap_or_default().as_bytes(),
    };
    let mut parts: Vec<&[u8]> = vec![b"sender", &fingerprint.0];
    parts.extend(headers.identity.iter().map(value));
    Fingerprint(short_hash(&parts))
}

/// The first 16 bytes of a BLAKE3 hash over the parts, each preceded by its length.
fn short_hash(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut short = [0; 16];
    hasher.finalize_xof().fill(&mut short);
    short
}
