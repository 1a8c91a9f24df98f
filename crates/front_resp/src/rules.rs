//! Validation of requests. A valid request may be forwarded and charged to the tenant that it names, so each value is checked
//! against the settings: a malformed amount or an impossible number of gatekeepers would corrupt that tenant's quota.

use exchange::{Request, TenantId};
use resp::RequestCommand;
use std::ops::Range;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Time by which the exchange's deadline precedes the client's deadline, to cover network latency and timer resolution.
const ANSWER_MARGIN_MICROS: u64 = 10_000;
/// Minimum time that a request has at the exchange, however short its client's deadline.
const MIN_TIME_LEFT_MICROS: u64 = 1_000;
const MICROS_PER_MILLISECOND: u64 = 1_000;
/// Exclusive upper bound of the tenant numbers in the protocol.
const TENANT_LIMIT: u64 = 1 << 33;
/// Hexadecimal digits of a tenant's number.
const TENANT_DIGITS: usize = 16;
/// Maximum bytes of a request's id.
const MAX_ID_BYTES: usize = 64;
/// A client's deadline is at most this many times the deadline of its class.
const MAX_DEADLINE_FACTOR: u64 = 4;
/// Number of arguments of a command without a body: command name, tenant, id and list of values.
const ARGUMENT_COUNT: usize = 4;

/// A request class as clients name it.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Name by which a request selects the class, in the value `c`.
    pub name: String,
    /// Number of the class in the policy's settings.
    pub number: u16,
    /// Whether requests of the class are idempotent. Clients send these as `SVC.QUERY`, and all others as `SVC.SUBMIT`.
    pub is_idempotent: bool,
    /// Deadline of the class in milliseconds. It bounds the deadline that a client may state.
    pub deadline_ms: u64,
}

/// A plan as clients name it.
#[derive(Clone, Debug)]
pub struct PlanRule {
    /// Name by which a request selects the plan, in the value `t`.
    pub name: String,
    /// Number of the plan in the policy's settings.
    pub number: u32,
}

/// The settings that requests are checked against.
#[derive(Clone, Debug)]
pub struct RequestRules {
    /// The request classes that clients may name.
    pub classes: Vec<ClassRule>,
    /// The plans that clients may name.
    pub plans: Vec<PlanRule>,
    /// Number of gatekeepers in the fleet: the upper bound of `spread` and `first` in a request.
    pub gatekeeper_count: u64,
    /// Maximum units of one request; `None` if the settings do not limit them.
    pub max_units: Option<f64>,
}

/// Why a command is not a valid request. The texts are part of the wire format.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The protocol has no such command.
    #[error("unknown command")]
    UnknownCommand,
    /// The command has too few or too many arguments.
    #[error("wrong number of words")]
    ArgumentCount,
    /// The tenant is not a number in the protocol's range.
    #[error("no such customer")]
    Tenant,
    /// The id is empty, too long, or not graphic ASCII.
    #[error("no usable id")]
    Id,
    /// The request's list of values is malformed or repeats a name.
    #[error("a malformed list of values")]
    Values,
    /// The class is not in the settings.
    #[error("no such class")]
    Class,
    /// Requests of this class must use the other command: `SVC.QUERY` or `SVC.SUBMIT`.
    #[error("the class has another command")]
    WrongCommand,
    /// The plan is not in the settings.
    #[error("no such plan")]
    Plan,
    /// The client's deadline is missing or out of range.
    #[error("d is out of range")]
    Deadline,
    /// The units are missing or out of range.
    #[error("units are out of range")]
    Units,
    /// The number of the tenant's gatekeepers is out of range.
    #[error("spread is out of range")]
    Spread,
    /// The number of the tenant's first gatekeeper is out of range.
    #[error("first is out of range")]
    First,
}

/// A valid request and the id that its client gave it.
#[derive(Debug)]
pub(crate) struct ValidRequest {
    pub(crate) request: Request<RequestCommand>,
    pub(crate) id: Vec<u8>,
    pub(crate) is_idempotent: bool,
}

/// The values in a request's list whose names the protocol defines.
#[derive(Default)]
struct RequestValues<'a> {
    class: Option<&'a str>,
    plan: Option<&'a str>,
    deadline: Option<&'a str>,
    units: Option<&'a str>,
    spread: Option<&'a str>,
    first: Option<&'a str>,
    retry: Option<&'a str>,
}

impl RequestRules {
    /// Validates a command as a request. `raw` holds the bytes of this command only, and `arguments` are ranges in it.
    pub(crate) fn validate(
        &self,
        raw: &[u8],
        arguments: &[Range<usize>],
    ) -> Result<ValidRequest, InvalidRequest> {
        let argument = |index: usize| arguments.get(index).map_or(&[][..], |argument| &raw[argument.clone()]);
        let is_query = match argument(0) {
            b"SVC.QUERY" => true,
            b"SVC.SUBMIT" => false,
            _ => return Err(InvalidRequest::UnknownCommand),
        };
        // Only `SVC.SUBMIT` may have a body.
        let max_arguments = if is_query { ARGUMENT_COUNT } else { ARGUMENT_COUNT + 1 };
        if !(ARGUMENT_COUNT..=max_arguments).contains(&arguments.len()) {
            return Err(InvalidRequest::ArgumentCount);
        }
        let tenant = parse_tenant(argument(1)).ok_or(InvalidRequest::Tenant)?;
        let id = argument(2);
        if !is_valid_id(id) {
            return Err(InvalidRequest::Id);
        }
        let list = arguments[3].clone();
        let values = RequestValues::parse(raw, list.clone()).ok_or(InvalidRequest::Values)?;
        let class = self.class(&values, is_query)?;
        let plan = self.plan(&values)?;
        let deadline_ms = values.deadline_ms(class)?;
        let units = self.units(&values)?;
        let tenant_gatekeepers = self.tenant_gatekeepers(&values)?;
        let request = Request {
            class: class.number,
            plan: plan.number,
            tenant,
            time_left: time_left(deadline_ms),
            tenant_gatekeepers,
            units,
            client_retry: values.retry == Some("1"),
            account: None,
            payload: RequestCommand::new(raw.to_vec(), list).ok_or(InvalidRequest::Deadline)?,
        };
        Ok(ValidRequest { request, id: id.to_vec(), is_idempotent: class.is_idempotent })
    }

    fn class(&self, values: &RequestValues<'_>, is_query: bool) -> Result<&ClassRule, InvalidRequest> {
        let class = self.classes.iter().find(|class| Some(class.name.as_str()) == values.class);
        let class = class.ok_or(InvalidRequest::Class)?;
        if class.is_idempotent == is_query { Ok(class) } else { Err(InvalidRequest::WrongCommand) }
    }

    fn plan(&self, values: &RequestValues<'_>) -> Result<&PlanRule, InvalidRequest> {
        let plan = self.plans.iter().find(|plan| Some(plan.name.as_str()) == values.plan);
        plan.ok_or(InvalidRequest::Plan)
    }

    fn units(&self, values: &RequestValues<'_>) -> Result<f64, InvalidRequest> {
        let units = values.units.and_then(|text| text.parse::<f64>().ok());
        let in_range =
            |units: &f64| units.is_finite() && *units > 0.0 && self.max_units.is_none_or(|max| *units <= max);
        units.filter(in_range).ok_or(InvalidRequest::Units)
    }

    /// Returns the number of gatekeepers that serve the tenant. 0 if the request does not state the number: the policy then
    /// assumes all gatekeepers.
    fn tenant_gatekeepers(&self, values: &RequestValues<'_>) -> Result<f64, InvalidRequest> {
        let in_range = |spread: &u64| (1..=self.gatekeeper_count).contains(spread);
        let spread = values.spread.map_or(Some(0), |text| parse_digits(text).filter(in_range));
        let spread = spread.ok_or(InvalidRequest::Spread)?;
        if values
            .first
            .is_some_and(|text| parse_digits(text).is_none_or(|first| first >= self.gatekeeper_count))
        {
            return Err(InvalidRequest::First);
        }
        Ok(spread as f64)
    }
}

impl<'a> RequestValues<'a> {
    /// Parses the list of values. Returns `None` if a known name is repeated, since two parsers could choose different values, or
    /// if a value is not UTF-8.
    fn parse(raw: &'a [u8], list: Range<usize>) -> Option<Self> {
        let mut values = Self::default();
        for (name, value) in resp::named_values(raw, list) {
            let field = match &raw[name] {
                b"c" => &mut values.class,
                b"t" => &mut values.plan,
                b"d" => &mut values.deadline,
                b"units" => &mut values.units,
                b"spread" => &mut values.spread,
                b"first" => &mut values.first,
                b"r" => &mut values.retry,
                _ => continue,
            };
            let text = std::str::from_utf8(&raw[value]).ok()?;
            if field.replace(text).is_some() {
                return None;
            }
        }
        Some(values)
    }

    fn deadline_ms(&self, class: &ClassRule) -> Result<u64, InvalidRequest> {
        let max_deadline = class.deadline_ms.saturating_mul(MAX_DEADLINE_FACTOR).max(1);
        let deadline = self.deadline.and_then(parse_digits);
        deadline.filter(|deadline| (1..=max_deadline).contains(deadline)).ok_or(InvalidRequest::Deadline)
    }
}

/// Converts a client's deadline to the time that the request has at the exchange, in microseconds.
fn time_left(deadline_ms: u64) -> u64 {
    (deadline_ms * MICROS_PER_MILLISECOND).saturating_sub(ANSWER_MARGIN_MICROS).max(MIN_TIME_LEFT_MICROS)
}

fn is_valid_id(id: &[u8]) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}

/// Parses a number that consists of decimal digits alone, without a sign.
fn parse_digits(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// Parses a tenant's number of 16 hexadecimal digits.
fn parse_tenant(argument: &[u8]) -> Option<TenantId> {
    let text = std::str::from_utf8(argument).ok().filter(|text| text.len() == TENANT_DIGITS)?;
    let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = is_hexadecimal.then(|| u64::from_str_radix(text, 16).ok())??;
    (number < TENANT_LIMIT).then_some(TenantId(number))
}
