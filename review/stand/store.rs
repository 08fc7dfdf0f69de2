//! The platform's metadata store. Each daemon has an address of its own, so that single ones can
//! be refused.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, quote};

/// How calls at one address are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    Open,
    /// Calls are refused with 503.
    Busy,
    /// Calls get no answer.
    Silent,
}

struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    doors: BTreeMap<SocketAddr, Door>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            quote(name),
            self.revision,
            self.created,
            self.spec.write()
        )
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> String {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(revision, |object| object.created);
        let object = Object { revision, created, spec };
        let text = object.text(name);
        self.objects.insert(key, object);
        self.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text: format!("{{\"object\":{text},\"tombstone\":false}}"),
        });
        text
    }
}

impl Store {
    pub fn new() -> Store {
        Store { state: Arc::new((Mutex::new(State { revision: 10, ..State::default() }), Condvar::new())) }
    }

    /// Opens an address.
    pub fn open(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        self.state.0.lock().unwrap().doors.insert(address, Door::Open);
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream, address).ok());
            }
        });
        Ok(())
    }

    /// Writes an object as the operator or another writer does, without a condition.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.state.0.lock().unwrap().put(kind, name, spec);
        self.state.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|object| object.spec.clone())
    }

    fn door(&self, address: SocketAddr) -> Door {
        self.state.0.lock().unwrap().doors[&address]
    }

    fn serve(&self, stream: TcpStream, address: SocketAddr) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader, false)? {
            match self.door(address) {
                Door::Open => {}
                Door::Busy => {
                    http::write(&mut out, "HTTP/1.1 503 Busy", &[], b"")?;
                    continue;
                }
                Door::Silent => {
                    // Nothing is ever answered on this connection.
                    std::thread::sleep(Duration::from_secs(120));
                    return Ok(());
                }
            }
            let (status, body) = self.answer(&request, address);
            if self.door(address) == Door::Silent {
                std::thread::sleep(Duration::from_secs(120));
                return Ok(());
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            http::write(&mut out, &format!("HTTP/1.1 {status} -"), &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, address: SocketAddr) -> (u16, String) {
        let (path, query) = request.first[1].split_once('?').unwrap_or((&request.first[1], ""));
        let query = |name: &str| {
            let found = query.split('&').filter_map(|part| part.split_once('='));
            found.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let Some(rest) = path.strip_prefix("/v1/objects/") else { return (404, String::new()) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        match (request.first[0].as_str(), name) {
            ("GET", "") => match query("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait), address)
                }
                None => self.list(kind, &query("after").unwrap_or_default()),
            },
            ("GET", name) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object.text(name)),
                    None => (404, String::new()),
                }
            }
            ("POST", _) | ("PUT", _) => self.write(kind, name, &request.text()),
            _ => (405, String::new()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|((found, name), _)| found == kind && name.as_str() > after);
        let items: Vec<String> = items.map(|((_, name), object)| object.text(name)).collect();
        let revision = state.revision;
        (200, format!("{{\"items\":[{}],\"has_more\":false,\"current_rev\":{revision}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, address: SocketAddr) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.doors[&address] == Door::Busy {
                return (503, String::new());
            }
            let events = state.events.iter().filter(|e| e.kind == kind && e.revision > after);
            let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, String::new()) };
        let metadata = body.get("metadata");
        let is_new = name.is_empty();
        let name = if is_new { metadata.get("name").text() } else { name };
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.0.lock().unwrap();
        let found = state.objects.get(&key);
        match found {
            Some(object) if is_new => return (409, object.text(name)),
            None if !is_new => return (404, String::new()),
            Some(object) => {
                let expected = metadata.get("revision").number();
                if expected.is_some_and(|expected| expected != object.revision) {
                    return (409, object.text(name));
                }
                if object.spec == *body.get("spec") {
                    return (200, object.text(name));
                }
            }
            None => {}
        }
        let text = state.put(kind, name, body.get("spec").clone());
        drop(state);
        self.state.1.notify_all();
        (200, text)
    }
}
