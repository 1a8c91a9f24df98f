//! The HTTP side: a thread for each connection.

use crate::kv::{Entry, Operation};
use crate::{Door, Fault, Shared, State, locked};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a blocking query waits.
const LONGEST_WAIT: Duration = Duration::from_secs(600);

/// Milliseconds since the first call.
fn now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub(crate) fn run(listener: TcpListener, door: Door) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if locked(&door.shared.0).stopped {
                return;
            }
            let door = door.clone();
            thread::spawn(move || serve(&door, stream));
        }
    });
}

struct Asked {
    method: String,
    target: String,
    path: String,
    query: HashMap<String, String>,
    token: String,
    takes_gzip: bool,
    body: Vec<u8>,
}

struct Told {
    status: u16,
    index: u64,
    body: String,
}

/// What is said about the servers on every answer, and how.
#[derive(Clone, Copy, Default)]
struct Manner {
    last_contact: u64,
    leaderless: bool,
    gzip: bool,
}

impl Told {
    fn json(index: u64, value: &Value) -> Self {
        Self { status: 200, index, body: value.to_string() }
    }

    fn text(status: u16, text: &str) -> Self {
        Self { status, index: 0, body: text.to_owned() }
    }
}

fn serve(door: &Door, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(asked) = read(&mut stream, &mut buffer) {
        let writes = asked.method != "GET";
        let kind = asked.path.split('/').take(3).collect::<Vec<_>>().join("/");
        {
            let mut state = locked(&door.shared.0);
            if let Some(tell) = &state.asked {
                let _ = tell.send(format!("{} {}", asked.method, asked.target));
            }
            *state.counts.entry(format!("{} {kind}", asked.method)).or_default() += 1;
        }
        let fault = door.fault(writes);
        match fault {
            Fault::Closed => return,
            Fault::Silence => {
                // Until the other side gives up.
                let _ = stream.read(&mut [0]);
                return;
            }
            Fault::Status(status) => {
                let told = Told::text(status, "told to fail");
                if put(&mut stream, &told, Manner::default(), false).is_err() {
                    return;
                }
                continue;
            }
            Fault::None | Fault::Lost | Fault::Delay(_) | Fault::Cut => {}
        }
        let told = answer(door, &asked, fault);
        let manner = {
            let state = locked(&door.shared.0);
            let gzip = state.gzip && asked.takes_gzip;
            Manner { last_contact: state.last_contact, leaderless: state.leaderless, gzip }
        };
        let sent = match fault {
            Fault::Lost => {
                let _ = stream.read(&mut [0]);
                return;
            }
            Fault::Cut => {
                let _ = put(&mut stream, &told, manner, true);
                return;
            }
            Fault::Delay(span) => {
                thread::sleep(span);
                put(&mut stream, &told, manner, false)
            }
            _ => put(&mut stream, &told, manner, false),
        };
        if sent.is_err() {
            return;
        }
    }
}

fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Asked> {
    let mut piece = [0; 16 * 1024];
    loop {
        if let Some(head) = http::parse_request_head(buffer).ok()? {
            let text =
                |range: &std::ops::Range<usize>| String::from_utf8_lossy(&buffer[range.clone()]).into_owned();
            let (method, target) = (text(&head.method), text(&head.target));
            let field = |name: &str| {
                let value = http::header_values(buffer, &head.fields, name).next().unwrap_or_default();
                String::from_utf8_lossy(value).into_owned()
            };
            let (token, takes_gzip) = (field("x-consul-token"), field("accept-encoding").contains("gzip"));
            let mut body = http::BodyReader::new(head.framing, 1 << 20).ok()?;
            buffer.drain(..head.length);
            while !body.read_from(buffer).ok()? {
                let n = stream.read(&mut piece).ok().filter(|&n| n > 0)?;
                buffer.extend_from_slice(&piece[..n]);
            }
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let pair = |pair: &str| {
                let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
                (unescaped(name), unescaped(value))
            };
            let query = query.split('&').filter(|p| !p.is_empty()).map(pair).collect();
            let path = unescaped(path);
            return Some(Asked { method, path, query, body: body.bytes, target, token, takes_gzip });
        }
        let n = stream.read(&mut piece).ok().filter(|&n| n > 0)?;
        buffer.extend_from_slice(&piece[..n]);
    }
}

fn unescaped(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let mut digit = || bytes.next().and_then(|b| char::from(b).to_digit(16));
        match byte {
            b'%' => out.push(digit().zip(digit()).map_or(b'%', |(high, low)| (high * 16 + low) as u8)),
            b'+' => out.push(b' '),
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends an answer, or half of it.
fn put(stream: &mut TcpStream, told: &Told, manner: Manner, cut: bool) -> std::io::Result<()> {
    let index = if told.index > 0 { format!("X-Consul-Index: {}\r\n", told.index) } else { String::new() };
    let (body, coding) = if manner.gzip {
        let mut gzip = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
        gzip.write_all(told.body.as_bytes())?;
        (gzip.finish()?, "Content-Encoding: gzip\r\n")
    } else {
        (told.body.clone().into_bytes(), "")
    };
    let head = format!(
        "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nX-Consul-KnownLeader: {}\r\nX-Consul-LastContact: {}\r\n\
         {index}{coding}Content-Length: {}\r\n\r\n",
        told.status,
        !manner.leaderless,
        manner.last_contact,
        body.len()
    );
    let body = if cut { &body[..body.len() / 2] } else { &body[..] };
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Waits as a blocking query does, while `index` tells that nothing has changed.
fn block(door: &Door, asked: &Asked, fault: Fault, index: impl Fn(&State) -> u64) {
    let at: u64 = asked.query.get("index").and_then(|i| i.parse().ok()).unwrap_or(0);
    let wait =
        asked.query.get("wait").and_then(|w| span(w)).unwrap_or(Duration::from_secs(300)).min(LONGEST_WAIT);
    if at == 0 {
        return;
    }
    let shared: &Shared = &door.shared;
    let state = locked(&shared.0);
    let life = state.life;
    let waits = |state: &mut State| {
        !state.stopped && state.life == life && index(state) == at && door.fault(false) == fault
    };
    drop(shared.1.wait_timeout_while(state, wait, waits));
}

/// A span as Consul writes it.
fn span(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: f64 = digits.parse().ok()?;
    let unit = match &text[digits.len()..] {
        "ms" => 0.001,
        "s" | "" => 1.0,
        "m" => 60.0,
        _ => return None,
    };
    Some(Duration::from_secs_f64(number * unit))
}

fn answer(door: &Door, asked: &Asked, fault: Fault) -> Told {
    let parts: Vec<&str> = asked.path.trim_start_matches('/').splitn(3, '/').collect();
    if locked(&door.shared.0).token.as_ref().is_some_and(|token| *token != asked.token) {
        return Told::text(403, "Permission denied");
    }
    match (asked.method.as_str(), &parts[..]) {
        (_, ["v1", "status/leader"] | ["v1", "status", "leader"]) => Told::text(200, "\"127.0.0.1:8300\""),
        (_, ["v1", "kv", key]) => kv(door, asked, key, fault),
        ("PUT", ["v1", "txn"]) => transact(door, asked),
        ("PUT", ["v1", "session", rest]) => session(door, asked, rest),
        ("PUT", ["v1", "agent", rest]) => agent(door, asked, rest),
        ("GET", ["v1", "health", rest]) if rest.starts_with("service/") => {
            services(door, asked, &rest["service/".len()..], true, fault)
        }
        ("GET", ["v1", "catalog", rest]) if rest.starts_with("service/") => {
            services(door, asked, &rest["service/".len()..], false, fault)
        }
        _ => Told::text(404, "no such page here"),
    }
}

fn shown(key: &str, entry: &Entry, value: bool) -> Value {
    let mut shown = json!({
        "LockIndex": entry.lock_index, "Key": key, "Flags": entry.flags, "Value": Value::Null,
        "CreateIndex": entry.create_index, "ModifyIndex": entry.modify_index,
    });
    if value {
        shown["Value"] = STANDARD.encode(&entry.value).into();
    }
    if let Some(session) = &entry.session {
        shown["Session"] = session.clone().into();
    }
    shown
}

fn kv(door: &Door, asked: &Asked, key: &str, fault: Fault) -> Told {
    let recurse = asked.query.contains_key("recurse");
    let flags = asked.query.get("flags").and_then(|f| f.parse().ok()).unwrap_or(0);
    if asked.method == "GET" {
        let fits = |k: &str| if recurse { k.starts_with(key) } else { k == key };
        // A query on a key waits for that key; the store's index stands for keys that do not exist.
        block(door, asked, fault, |s| {
            s.store
                .keys
                .iter()
                .filter(|(k, _)| fits(k))
                .map(|(_, e)| e.modify_index)
                .max()
                .unwrap_or(s.store.index)
        });
        let mut state = locked(&door.shared.0);
        state.store.expire(now());
        let found: Vec<_> = state.store.keys.iter().filter(|(k, _)| fits(k)).collect();
        let index = found.iter().map(|(_, e)| e.modify_index).max().unwrap_or(state.store.index);
        if found.is_empty() {
            return Told { status: 404, index, body: String::new() };
        }
        let entries: Vec<Value> = found.into_iter().map(|(k, e)| shown(k, e, true)).collect();
        return Told::json(index, &entries.into());
    }
    let mut state = locked(&door.shared.0);
    let store = &mut state.store;
    store.expire(now());
    let value = asked.body.clone();
    let done = match asked.method.as_str() {
        "PUT" => match (asked.query.get("cas"), asked.query.get("acquire"), asked.query.get("release")) {
            (Some(index), None, None) => match index.parse() {
                Ok(index) => store.cas(key, value, flags, index),
                Err(_) => return Told::text(400, "cas is no index"),
            },
            (None, Some(session), None) => match store.acquire(now(), key, value, flags, session) {
                Some(done) => done,
                None => return Told::text(500, "invalid session"),
            },
            (None, None, Some(session)) => store.release(key, value, flags, session),
            (None, None, None) => store.set(key, value, flags),
            _ => return Told::text(400, "conflicting parameters"),
        },
        "DELETE" => {
            store.delete(key, recurse);
            true
        }
        _ => return Told::text(405, ""),
    };
    drop(state);
    door.shared.1.notify_all();
    Told::text(200, if done { "true" } else { "false" })
}

fn transact(door: &Door, asked: &Asked) -> Told {
    let Ok(Value::Array(list)) = serde_json::from_slice(&asked.body) else {
        return Told::text(400, "not a list of operations");
    };
    if list.len() > 64 {
        return Told::text(413, "more than 64 operations");
    }
    let operation = |value: &Value| -> Option<(String, Operation)> {
        let kv = value.get("KV")?;
        let bytes =
            || kv.get("Value").and_then(Value::as_str).map_or(Some(Vec::new()), |v| STANDARD.decode(v).ok());
        let flags = kv.get("Flags").and_then(Value::as_u64).unwrap_or(0);
        let index = kv.get("Index").and_then(Value::as_u64).unwrap_or(0);
        let session = || kv.get("Session").and_then(Value::as_str).map(str::to_owned);
        let operation = match kv.get("Verb")?.as_str()? {
            "cas" => Operation::Cas(bytes()?, flags, index),
            "set" => Operation::Set(bytes()?, flags),
            "get" => Operation::Get,
            "check-session" => Operation::CheckSession(session()?),
            "check-index" => Operation::CheckIndex(index),
            "delete" => Operation::Delete,
            "lock" => Operation::Lock(bytes()?, flags, session()?),
            _ => return None,
        };
        Some((kv.get("Key")?.as_str()?.to_owned(), operation))
    };
    let Some(operations) = list.iter().map(operation).collect::<Option<Vec<_>>>() else {
        return Told::text(400, "an operation that cannot be read");
    };
    let reads: Vec<bool> = operations.iter().map(|(_, o)| *o == Operation::Get).collect();
    let mut state = locked(&door.shared.0);
    state.store.expire(now());
    let done = state.store.transact(now(), operations);
    drop(state);
    door.shared.1.notify_all();
    match done {
        Ok(results) => {
            let results: Vec<Value> = results
                .iter()
                .enumerate()
                .map(|(i, (key, entry))| json!({"KV": shown(key, entry, reads.get(i).copied().unwrap_or(false))}))
                .collect();
            Told::json(0, &json!({"Results": results, "Errors": Value::Null}))
        }
        Err(errors) => {
            let errors: Vec<Value> =
                errors.iter().map(|(i, what)| json!({"OpIndex": i, "What": what})).collect();
            Told {
                status: 409,
                index: 0,
                body: json!({"Results": Value::Null, "Errors": errors}).to_string(),
            }
        }
    }
}

fn session(door: &Door, asked: &Asked, rest: &str) -> Told {
    let mut state = locked(&door.shared.0);
    let store = &mut state.store;
    store.expire(now());
    let told = match rest.split_once('/') {
        None if rest == "create" => {
            let options: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
            let text = |name: &str| options.get(name).and_then(Value::as_str);
            let ms = |text: &str| span(text).map(|s| s.as_millis() as u64);
            let ttl = text("TTL").filter(|t| !t.is_empty()).and_then(ms);
            if ttl.is_some_and(|t| t < store.least_ttl || t > 86_400_000) {
                return Told::text(400, "Invalid Session TTL");
            }
            let delay = text("LockDelay").and_then(ms).unwrap_or(15_000);
            let deletes = text("Behavior") == Some("delete");
            let id = store.create(now(), text("Name").unwrap_or_default(), ttl, delay, deletes);
            Told::json(0, &json!({"ID": id}))
        }
        Some(("renew", id)) if store.renew(now(), id) => {
            let session = &store.sessions[id];
            Told::json(0, &json!([{"ID": id, "Name": session.name, "CreateIndex": session.create_index}]))
        }
        Some(("renew", id)) => Told::text(404, &format!("Session id '{id}' not found")),
        Some(("destroy", id)) => {
            store.destroy(now(), id);
            Told::text(200, "true")
        }
        _ => Told::text(404, "no such page here"),
    };
    drop(state);
    door.shared.1.notify_all();
    told
}

fn services(door: &Door, asked: &Asked, name: &str, health: bool, fault: Fault) -> Told {
    block(door, asked, fault, |s| s.services_index);
    // A door that was told to fail meanwhile ends its open queries like this.
    if door.fault(false) != fault {
        return Told::text(500, "told to fail");
    }
    let state = locked(&door.shared.0);
    let passing = asked.query.contains_key("passing");
    let none = Vec::new();
    let instances = state.services.get(name).unwrap_or(&none);
    let tag = asked.query.get("tag");
    let entries: Vec<Value> = instances
        .iter()
        .filter(|i| (i.passes() || !passing) && tag.is_none_or(|t| i.tags.contains(t)))
        .map(|i| {
            let shown = door.shown(i.address);
            let (ip, port) = (shown.ip().to_string(), shown.port());
            if !health {
                return json!({"Node": "a", "Address": ip, "ServiceID": i.id, "ServiceAddress": "", "ServicePort": port});
            }
            let node = if i.node_well { "passing" } else { "critical" };
            let mut checks = vec![
                json!({"Node": "a", "CheckID": "serfHealth", "Status": node}),
                json!({"Node": "a", "CheckID": format!("service:{}", i.id), "Status": i.status.name()}),
            ];
            if i.maintenance {
                let id = format!("_service_maintenance:{}", i.id);
                checks.push(json!({"Node": "a", "CheckID": id, "Status": "critical"}));
            }
            json!({
                "Node": {"Node": "a", "Address": ip},
                "Service": {
                    "ID": i.id, "Service": name, "Address": "", "Port": port, "Tags": i.tags, "Meta": i.meta,
                    "Weights": {"Passing": i.weights.0, "Warning": i.weights.1},
                },
                "Checks": checks,
            })
        })
        .collect();
    Told::json(state.services_index, &entries.into())
}

/// The agent's own pages: a service with a TTL check.
fn agent(door: &Door, asked: &Asked, rest: &str) -> Told {
    let mut state = locked(&door.shared.0);
    let told = if rest == "service/register" {
        let Ok(body) = serde_json::from_slice::<Value>(&asked.body) else {
            return Told::text(400, "no JSON");
        };
        let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
        let id = if text("ID").is_empty() { text("Name") } else { text("ID") };
        if text("Name").is_empty() {
            return Told::text(400, "Missing service name");
        }
        let port = body.get("Port").and_then(Value::as_u64).and_then(|p| u16::try_from(p).ok()).unwrap_or(0);
        state.registered.insert(id, crate::Registered { name: text("Name"), port, passed: 0 });
        Told::text(200, "")
    } else if let Some(id) = rest.strip_prefix("service/deregister/") {
        match state.registered.remove(id) {
            Some(_) => Told::text(200, ""),
            None => Told::text(404, "Unknown service ID"),
        }
    } else if let Some(id) = rest.strip_prefix("check/pass/service:") {
        match state.registered.get_mut(id) {
            Some(registered) => {
                registered.passed += 1;
                Told::text(200, "")
            }
            None => Told::text(404, "Unknown check ID"),
        }
    } else {
        Told::text(404, "no such page here")
    };
    drop(state);
    door.shared.1.notify_all();
    told
}
