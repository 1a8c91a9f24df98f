//! Which requests are valid. What passes here may be forwarded and counted, so each value is checked against the settings: an amount
//! that is no number, or a set that does not exist, would spoil a usual tenant's quota.

use exchange::{Request, TenantId};
use resp::Query;
use std::ops::Range;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Microseconds that an answer leaves before its client gives up, for the way back and the timers' resolution.
const ANSWER_MARGIN: u64 = 10_000;
/// Tenants are numbers below this (the protocol).
const TENANTS: u64 = 1 << 33;
/// Digits of a tenant's number.
const TENANT_DIGITS: usize = 16;
/// The most bytes of a request's id.
const MAX_ID: usize = 64;
/// A client may wait for at most so many times the deadline of its class.
const MAX_DEADLINES: u64 = 4;
/// Words of a command without a body.
const ARGUMENTS: usize = 4;

/// A class as clients name it.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// Its number.
    pub number: u16,
    /// It is idempotent, and so served by `SVC.QUERY`; others come as `SVC.SUBMIT`.
    pub is_idempotent: bool,
    /// Its deadline in milliseconds.
    pub deadline_ms: u64,
}

/// A plan as clients name it.
#[derive(Clone, Debug)]
pub struct PlanRule {
    /// Its name.
    pub name: String,
    /// Its number.
    pub number: u32,
}

/// What requests are checked against.
#[derive(Clone, Debug)]
pub struct RequestRules {
    /// The classes.
    pub classes: Vec<ClassRule>,
    /// The plans.
    pub plans: Vec<PlanRule>,
    /// How many gatekeepers there are.
    pub gatekeepers: u64,
    /// The most units of one request, where the settings name them.
    pub max_units: Option<f64>,
}

/// Why a command is not a valid request, as its client is told.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The command is none of the protocol's.
    #[error("unknown command")]
    UnknownCommand,
    /// It has too few or too many arguments. The text is part of the wire.
    #[error("wrong number of words")]
    WordCount,
    /// The tenant is not a number in the protocol's range.
    #[error("no such customer")]
    Tenant,
    /// The id is empty, too long, or not graphic ASCII.
    #[error("no usable id")]
    Id,
    /// The list of values is malformed, or has a name twice.
    #[error("a malformed list of values")]
    Values,
    /// The class is not in the settings.
    #[error("no such class")]
    Class,
    /// The class is served by the other command.
    #[error("the class has another command")]
    OtherCommand,
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

/// A valid request.
#[derive(Debug)]
pub(crate) struct ValidRequest {
    pub(crate) request: Request<Query>,
    /// The id that its client gave it.
    pub(crate) id: Vec<u8>,
}

/// The values of a request's list.
#[derive(Default)]
struct Values<'a> {
    class: Option<&'a str>,
    plan: Option<&'a str>,
    deadline: Option<&'a str>,
    units: Option<&'a str>,
    spread: Option<&'a str>,
    first: Option<&'a str>,
    retry: Option<&'a str>,
}

impl RequestRules {
    /// The request of a command; `raw` is the command alone, and its arguments lie in it.
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
        // Only what is submitted has a body.
        let max_arguments = if is_query { ARGUMENTS } else { ARGUMENTS + 1 };
        if arguments.len() < ARGUMENTS || arguments.len() > max_arguments {
            return Err(InvalidRequest::WordCount);
        }
        let tenant = tenant(argument(1)).ok_or(InvalidRequest::Tenant)?;
        let id = argument(2);
        if id.is_empty() || id.len() > MAX_ID || !id.iter().all(u8::is_ascii_graphic) {
            return Err(InvalidRequest::Id);
        }
        let list = arguments[3].clone();
        let values = Values::parse(raw, list.clone()).ok_or(InvalidRequest::Values)?;
        let class = self.class(&values, is_query)?;
        let plan = self.plans.iter().find(|plan| Some(plan.name.as_str()) == values.plan);
        let plan = plan.ok_or(InvalidRequest::Plan)?;
        let deadline_ms = values.deadline_ms(class)?;
        let units = self.units(&values)?;
        let tenant_gatekeepers = self.tenant_gatekeepers(&values)?;
        let request = Request {
            class: class.number,
            plan: plan.number,
            tenant,
            time_left: (deadline_ms * 1000).saturating_sub(ANSWER_MARGIN).max(1000),
            tenant_gatekeepers,
            units,
            client_retry: values.retry == Some("1"),
            account: None,
            payload: Query::new(raw.to_vec(), list).ok_or(InvalidRequest::Deadline)?,
        };
        Ok(ValidRequest { request, id: id.to_vec() })
    }

    fn class(&self, values: &Values<'_>, is_query: bool) -> Result<&ClassRule, InvalidRequest> {
        let class = self.classes.iter().find(|class| Some(class.name.as_str()) == values.class);
        let class = class.ok_or(InvalidRequest::Class)?;
        if class.is_idempotent == is_query { Ok(class) } else { Err(InvalidRequest::OtherCommand) }
    }

    fn units(&self, values: &Values<'_>) -> Result<f64, InvalidRequest> {
        let units = values.units.and_then(|text| text.parse::<f64>().ok());
        let in_range =
            |units: &f64| units.is_finite() && *units > 0.0 && self.max_units.is_none_or(|max| *units <= max);
        units.filter(in_range).ok_or(InvalidRequest::Units)
    }

    /// 0 where a request does not tell its set: the policy assumes all gatekeepers then.
    fn tenant_gatekeepers(&self, values: &Values<'_>) -> Result<f64, InvalidRequest> {
        let in_range = |spread: &u64| (1..=self.gatekeepers).contains(spread);
        let spread = values.spread.map_or(Some(0), |text| digits(text).filter(in_range));
        let spread = spread.ok_or(InvalidRequest::Spread)?;
        if values.first.is_some_and(|text| digits(text).is_none_or(|first| first >= self.gatekeepers)) {
            return Err(InvalidRequest::First);
        }
        Ok(spread as f64)
    }
}

impl<'a> Values<'a> {
    /// The values that are used; `None` where one stands twice, so that all who parse the list find the same.
    fn parse(raw: &'a [u8], list: Range<usize>) -> Option<Self> {
        let mut values = Self::default();
        for (name, value) in resp::fields(raw, list) {
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
        let longest = class.deadline_ms.saturating_mul(MAX_DEADLINES).max(1);
        let deadline = self.deadline.and_then(digits);
        deadline.filter(|deadline| (1..=longest).contains(deadline)).ok_or(InvalidRequest::Deadline)
    }
}

/// A number of digits only; a sign or a blank is none.
fn digits(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// 16 hexadecimal digits, a number in the protocol's range.
fn tenant(word: &[u8]) -> Option<TenantId> {
    let text = std::str::from_utf8(word).ok().filter(|text| text.len() == TENANT_DIGITS)?;
    let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = is_hexadecimal.then(|| u64::from_str_radix(text, 16).ok())??;
    (number < TENANTS).then_some(TenantId(number))
}
