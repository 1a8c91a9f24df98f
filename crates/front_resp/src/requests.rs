//! Which requests can be used. What passes here may be sent on and counted, so each value is held to the settings: an
//! amount that is no number, or a set that does not exist, would spoil a usual customer's quota.

use exchange::{Request, TenantId};
use resp::Query;
use std::ops::Range;

/// us; an answer leaves this long before its client gives up, for the way back and the timers' grain.
const MARGIN: u64 = 10_000;
/// Customers are numbers below this (the protocol).
const CUSTOMERS: u64 = 1 << 33;
/// The most bytes of a request's id.
const LONGEST_ID: usize = 64;
/// A client may wait for so many times the deadline of its class, at the most.
const LONGEST_WAIT: u64 = 4;

/// A class as clients name it.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// Its number.
    pub number: u16,
    /// It is safe to repeat, and so served by `SVC.QUERY`; others come as `SVC.SUBMIT`.
    pub repeatable: bool,
    /// ms; its deadline.
    pub deadline_ms: u64,
}

/// What requests are held to.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The classes.
    pub classes: Vec<ClassRule>,
    /// Names and numbers of the plans.
    pub plans: Vec<(String, u32)>,
    /// How many gatekeepers there are.
    pub gatekeepers: u64,
    /// The most units of one request, where the settings name them.
    pub largest: Option<f64>,
}

/// The values of a request's list.
#[derive(Default)]
struct Values<'a> {
    class: Option<&'a str>,
    plan: Option<&'a str>,
    wait: Option<&'a str>,
    units: Option<&'a str>,
    spread: Option<&'a str>,
    first: Option<&'a str>,
    repeat: Option<&'a str>,
}

impl Rules {
    /// The operation that a command asks for, and the request's id. The error is for the client.
    pub(crate) fn operation(
        &self,
        raw: &[u8],
        words: &[Range<usize>],
    ) -> Result<(Request<Query>, Vec<u8>), &'static str> {
        let word = |i: usize| words.get(i).map_or(&[][..], |w| &raw[w.clone()]);
        let repeatable = match word(0) {
            b"SVC.QUERY" => true,
            b"SVC.SUBMIT" => false,
            _ => return Err("unknown command"),
        };
        // Only what is submitted has a body.
        if words.len() < 4 || words.len() > if repeatable { 4 } else { 5 } {
            return Err("wrong number of words");
        }
        let customer = customer(word(1)).ok_or("no such customer")?;
        let id = word(2);
        if id.is_empty() || id.len() > LONGEST_ID || !id.iter().all(u8::is_ascii_graphic) {
            return Err("no usable id");
        }
        let list = words[3].clone();
        let values = Values::read(raw, list.clone()).ok_or("a malformed list of values")?;
        let rule = self.classes.iter().find(|c| Some(c.name.as_str()) == values.class);
        let rule = rule.ok_or("no such class")?;
        if rule.repeatable != repeatable {
            return Err("the class has another command");
        }
        let plan = self.plans.iter().find(|p| Some(p.0.as_str()) == values.plan).ok_or("no such plan")?;
        let longest = rule.deadline_ms.saturating_mul(LONGEST_WAIT).max(1);
        let wait_ms = values.wait.and_then(whole).filter(|d| (1..=longest).contains(d));
        let wait_ms = wait_ms.ok_or("d is out of range")?;
        let units = values.units.and_then(|u| u.parse::<f64>().ok());
        let units = units.filter(|u| u.is_finite() && *u > 0.0 && self.largest.is_none_or(|most| *u <= most));
        let units = units.ok_or("units are out of range")?;
        // Where a request does not tell its set, the module thinks of all gatekeepers.
        let spread =
            values.spread.map_or(Some(0), |s| whole(s).filter(|s| (1..=self.gatekeepers).contains(s)));
        let spread = spread.ok_or("spread is out of range")?;
        if values.first.is_some_and(|f| whole(f).is_none_or(|f| f >= self.gatekeepers)) {
            return Err("first is out of range");
        }
        let operation = Request {
            class: rule.number,
            plan: plan.1,
            tenant: TenantId(customer),
            time_left: (wait_ms * 1000).saturating_sub(MARGIN).max(1000),
            tenant_gatekeepers: spread as f64,
            units,
            client_retry: values.repeat == Some("1"),
            account: None,
            payload: Query::new(raw.to_vec(), list).ok_or("d is out of range")?,
        };
        Ok((operation, id.to_vec()))
    }
}

impl<'a> Values<'a> {
    /// The values that are used; `None` where one stands twice, so that all who read the list find the same.
    fn read(raw: &'a [u8], list: Range<usize>) -> Option<Self> {
        let mut values = Self::default();
        for (name, value) in resp::fields(raw, list) {
            let place = match &raw[name] {
                b"c" => &mut values.class,
                b"t" => &mut values.plan,
                b"d" => &mut values.wait,
                b"units" => &mut values.units,
                b"spread" => &mut values.spread,
                b"first" => &mut values.first,
                b"r" => &mut values.repeat,
                _ => continue,
            };
            let text = std::str::from_utf8(&raw[value]).ok()?;
            if place.replace(text).is_some() {
                return None;
            }
        }
        Some(values)
    }
}

/// A number of digits only; a sign or a blank is none.
fn whole(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?
}

/// 16 hexadecimal digits, a number in the protocol's range.
fn customer(word: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(word).ok().filter(|t| t.len() == 16)?;
    let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok())?.filter(|&c| c < CUSTOMERS)
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "c=lookup,t=team,d=480,units=2,spread=3,first=1";

    fn ask(words: &[&str]) -> Result<Request<Query>, &'static str> {
        let class = |name: &str, number, repeatable| {
            let (name, deadline_ms) = (name.into(), 2500);
            ClassRule { name, number, repeatable, deadline_ms }
        };
        let rules = Rules {
            classes: vec![class("lookup", 0, true), class("notice", 1, false)],
            plans: vec![("team".into(), 0)],
            gatekeepers: 4,
            largest: Some(8.0),
        };
        let mut raw = Vec::new();
        resp::put_command(&mut raw, &words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>());
        let command = resp::command(&raw, 0).expect("a command").expect("a whole one");
        rules.operation(&raw, &command.words).map(|(operation, _)| operation)
    }

    #[test]
    fn what_the_protocol_allows_becomes_an_operation() {
        let operation = ask(&["SVC.QUERY", "00000001ffffffff", "9b1f", GOOD]).expect("it is good");
        assert_eq!((operation.class, operation.plan, operation.tenant), (0, 0, TenantId(0x1_ffff_ffff)));
        assert_eq!((operation.units, operation.tenant_gatekeepers, operation.time_left), (2.0, 3.0, 470_000));
        let list = GOOD.replace("lookup", "notice");
        assert!(ask(&["SVC.SUBMIT", "00000000b4d65521", "1", &list, "body"]).is_ok());
    }

    /// Guards usual customers: an amount or a set that is none would be booked on whoever is named.
    #[test]
    fn what_is_out_of_range_or_missing_is_refused() {
        let customer = "00000000b4d65521";
        for words in [
            &["SVC.QUERY", customer, "1"][..],
            &["SVC.QUERY", customer, "1", GOOD, "body"],
            &["SVC.SUBMIT", customer, "1", GOOD],
            &["SVC.QUERY", customer, "", GOOD],
            &["SVC.QUERY", customer, "a b", GOOD],
            &["SVC.QUERY", "0000000200000000", "1", GOOD],
            &["SVC.QUERY", "b4d65521", "1", GOOD],
            &["SVC.QUERY", "+0000000b4d65521", "1", GOOD],
        ] {
            assert!(ask(words).is_err(), "{words:?}");
        }
        for (good, bad) in [
            ("c=lookup", &["c=lookups", "c=notice", "c=", "c=lookup,c=lookup"][..]),
            ("t=team", &["t=nobody", "t="]),
            (
                "d=480",
                &["d=", "d=0", "d=-5", "d=+480", "d=nan", "d=1e3", "d=10001", "d=99999999999999999999999"],
            ),
            (
                "units=2",
                &["units=", "units=0", "units=-40", "units=nan", "units=inf", "units=1e12", "units=9"],
            ),
            ("spread=3", &["spread=0", "spread=5", "spread=2.5", "spread=", "spread=99999999999999999999"]),
            ("first=1", &["first=4", "first=-1", "first=2.5", "first="]),
        ] {
            for bad in bad {
                let list = GOOD.replace(good, bad);
                assert!(ask(&["SVC.QUERY", customer, "1", &list]).is_err(), "{list}");
            }
        }
    }
}
