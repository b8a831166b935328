//! Targets: they hold keys by grants, run requests, and check what the rules say of owners.

use crate::holds::{Hold, Keys, TargetState, Work, overlap};
use crate::http::{Message, Wire, response};
use crate::json::{Json, to_base64};
use crate::record::{Random, Record};
use crate::store::Store;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests that wait at a target.
const QUEUE: usize = 24;

/// How the targets of a service behave.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub slots: usize,
    /// Whether requests run only at the target that holds their key.
    pub is_keyed: bool,
    pub work_mean_ms: u64,
    pub work_max_ms: u64,
    /// Share of the grants that get no answer and are applied seconds later.
    pub delayed_grants_percent: u64,
}

/// All targets of one service divided by key, with one lock, so that the checks see one moment.
pub struct Service {
    pub name: String,
    pub behaviour: Behaviour,
    pub targets: Mutex<Vec<TargetState>>,
    pub changed: Condvar,
    pub random: Mutex<Random>,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
}

/// A target of a service, by its place.
#[derive(Clone)]
pub struct Target {
    pub place: usize,
    pub name: String,
    pub address: SocketAddr,
    pub born: u64,
}

impl Service {
    pub fn new(
        name: &str,
        behaviour: Behaviour,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let service = Arc::new(Self {
            name: name.to_owned(),
            behaviour,
            targets: Mutex::default(),
            changed: Condvar::new(),
            random: Mutex::new(Random::new(7)),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        let checked = Arc::clone(&service);
        thread::spawn(move || checked.watch_overlaps());
        service
    }

    pub fn lock(&self) -> MutexGuard<'_, Vec<TargetState>> {
        self.targets.lock().expect("targets")
    }

    /// Starts a target and writes its entry.
    pub fn start(self: &Arc<Self>, name: &str) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        self.start_at(name, listener)
    }

    /// Starts a target at an address and writes its entry.
    pub fn start_at(self: &Arc<Self>, name: &str, listener: TcpListener) -> Target {
        let address = listener.local_addr().expect("an address");
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock");
        let place = {
            let mut targets = self.lock();
            targets.push(TargetState {
                name: name.to_owned(),
                is_up: true,
                ..TargetState::default()
            });
            targets.len() - 1
        };
        let target = Target {
            place,
            name: name.to_owned(),
            address,
            born: since.as_millis() as u64,
        };
        let service = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut targets = service.lock();
                if !targets[place].is_up {
                    return;
                }
                targets[place].streams.extend(stream.try_clone());
                drop(targets);
                let service = Arc::clone(&service);
                thread::spawn(move || service.serve(place, Wire::new(stream)));
            }
        });
        self.record
            .line(&format!("target {name} starts at {address}"));
        self.register(&target, "ready");
        target
    }

    /// Writes the entry of a target.
    pub fn register(&self, target: &Target, state: &str) {
        let entry = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"config_version\":\"v1\",\"zone\":\"a\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":1,\"warmup_left_s\":0}}}}",
            target.address, target.born, self.name, self.behaviour.slots
        );
        self.record
            .line(&format!("target {} is {state}", target.name));
        self.lock()[target.place].entry = Some(entry.clone());
        self.store.put("servers", &target.name, Some(&entry));
        if state == "draining" {
            self.lock()[target.place].draining_since_ms = Some(self.now_ms());
        }
    }

    /// Writes all entries again, as the targets do after the store has lost some. The entries of
    /// targets that have ended are removed.
    pub fn write_again(&self) {
        let targets = self.lock();
        let entries: Vec<_> = targets
            .iter()
            .map(|state| (state.name.clone(), state.is_up, state.entry.clone()))
            .collect();
        drop(targets);
        for (place, (name, is_up, entry)) in entries.iter().enumerate() {
            if entries
                .iter()
                .skip(place + 1)
                .any(|(later, ..)| later == name)
            {
                continue;
            }
            let entry = entry.as_deref().filter(|_| *is_up);
            if self.store.row("servers", name) != entry.map(|entry| to_base64(entry.as_bytes())) {
                self.store.put("servers", name, entry);
            }
        }
    }

    /// Ends a target: its connections close, and its entry is removed.
    pub fn end(&self, target: &Target) {
        self.end_silently(target);
        self.store.put("servers", &target.name, None);
    }

    /// Ends a target that says nothing of it.
    pub fn end_silently(&self, target: &Target) {
        self.record.line(&format!("target {} ends", target.name));
        let mut targets = self.lock();
        let state = &mut targets[target.place];
        state.is_up = false;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(targets);
        // Wakes the thread that accepts connections, so that it ends.
        drop(TcpStream::connect(target.address));
    }

    pub fn now_ms(&self) -> u64 {
        self.record.ms()
    }

    fn serve(self: Arc<Self>, place: usize, mut wire: Wire) {
        let silences = self.store.silences.load(Ordering::Relaxed);
        while let Ok(request) = wire.read(false) {
            if self.store.silences.load(Ordering::Relaxed) != silences {
                loop {
                    thread::park();
                }
            }
            let Some(answer) = self.answer(place, &request) else {
                return;
            };
            if wire.write(&answer).is_err() {
                return;
            }
        }
    }

    /// Answers a request, or returns `None` if the target has ended meanwhile.
    fn answer(self: &Arc<Self>, place: usize, request: &Message) -> Option<Vec<u8>> {
        let name = {
            let targets = self.lock();
            if !targets[place].is_up {
                return None;
            }
            targets[place].name.clone()
        };
        let (_, target) = request.request_line();
        let own = ("X-Balsamswitch-Instance-Id", name.as_str());
        if target == "/health" {
            return Some(response(200, &[own], b""));
        }
        let expected = request.field("X-Balsamswitch-Expect-Instance");
        if expected.is_some_and(|expected| expected != name) {
            return Some(response(
                421,
                &[own, ("X-Balsamswitch-Not-Executed", "1")],
                b"",
            ));
        }
        match target {
            "/v1/grant" | "/v1/release" if !self.behaviour.is_keyed => {
                Some(response(400, &[], b""))
            }
            "/v1/grant" => self.grant_or_delay(place, request),
            "/v1/release" => self.release(place, request),
            _ => self.run(place, request),
        }
    }

    /// Applies a grant, or returns `None` and applies it seconds later, after newer ones.
    fn grant_or_delay(self: &Arc<Self>, place: usize, request: &Message) -> Option<Vec<u8>> {
        let arrived_ms = self.now_ms();
        let mut random = self.random.lock().expect("random numbers");
        let is_delayed = random.below(100) < self.behaviour.delayed_grants_percent;
        let delay = Duration::from_millis(300 + random.below(4_000));
        drop(random);
        if !is_delayed {
            return Some(self.grant(place, request, arrived_ms));
        }
        let (service, request) = (Arc::clone(self), request.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            service.record.line(&format!("a grant is {delay:?} late"));
            service.grant(place, &request, arrived_ms);
        });
        None
    }

    /// Applies a grant. Its time counts from its arrival.
    fn grant(&self, place: usize, request: &Message, arrived_ms: u64) -> Vec<u8> {
        let Some((keys, fence, order)) = order(request) else {
            return response(400, &[], b"");
        };
        let now_ms = self.now_ms();
        let mut targets = self.lock();
        if !targets[place].is_up {
            return response(503, &[], b"");
        }
        if fence < targets[place].highest_seen(keys) {
            return response(409, &[], b"");
        }
        let hold_ms = (order.number("hold_s").unwrap_or(0.0) * 1_000.0) as u64;
        let name = targets[place].name.clone();
        let is_new = !targets[place].taken.contains(&(keys, fence));
        if is_new {
            self.record.line(&format!(
                "target {name} takes {}-{} with fence {fence} for {hold_ms} ms",
                keys.0, keys.1
            ));
        }
        for (_, state) in targets
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != place)
        {
            self.check_grant(&name, keys, fence, state, now_ms);
        }
        let state = &mut targets[place];
        let same = state
            .holds
            .iter()
            .filter(|hold| hold.keys == keys && hold.fence == fence);
        let held_until_ms = same.map(|hold| hold.until_ms).max().unwrap_or(0);
        let until_ms = held_until_ms.max(arrived_ms + hold_ms);
        state.drop_keys(keys);
        state.seen.push((keys, fence));
        state.holds.push(Hold {
            keys,
            fence,
            until_ms,
        });
        state
            .would_run_out
            .retain(|(of, until_ms)| *until_ms > now_ms && *of != keys);
        state.would_run_out.push((keys, until_ms));
        if is_new {
            state.taken.push((keys, fence));
        }
        response(200, &[], b"")
    }

    fn release(&self, place: usize, request: &Message) -> Option<Vec<u8>> {
        let Some((keys, fence, _)) = order(request) else {
            return Some(response(400, &[], b""));
        };
        let mut targets = self.lock();
        let state = &mut targets[place];
        let seen = fence.max(state.highest_seen(keys));
        state.seen.push((keys, seen));
        state.drop_keys(keys);
        let running: Vec<u64> = state
            .work
            .iter()
            .filter(|work| overlap(keys, (work.key, work.key)))
            .map(|work| work.number)
            .collect();
        self.record.line(&format!(
            "target {} is to release {}-{} with fence {fence}, at work on {} of its requests",
            state.name,
            keys.0,
            keys.1,
            running.len()
        ));
        // The answer comes when the work that was running on the keys has ended.
        while targets[place].is_up
            && targets[place]
                .work
                .iter()
                .any(|work| running.contains(&work.number))
        {
            targets = self.changed.wait(targets).expect("targets");
        }
        let state = &targets[place];
        self.record.line(&format!(
            "target {} has released {}-{}",
            state.name, keys.0, keys.1
        ));
        let handover = format!("{:08x}{:08x}", place, fence);
        state
            .is_up
            .then(|| response(200, &[("X-Balsamswitch-Handover", &handover)], b""))
    }

    fn run(&self, place: usize, request: &Message) -> Option<Vec<u8>> {
        let id = request
            .field("X-Balsamswitch-Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        let key = request
            .field("X-Balsamswitch-Shard-Key")
            .and_then(|key| key.parse::<u16>().ok())
            .unwrap_or(0);
        let deadline_ms = request
            .field("X-Balsamswitch-Deadline-Ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(1_000);
        let echo = ("X-Balsamswitch-Attempt-Id", id.as_str());
        let not_run = |status| {
            Some(response(
                status,
                &[echo, ("X-Balsamswitch-Not-Executed", "1")],
                b"",
            ))
        };
        let end = Instant::now() + Duration::from_millis(deadline_ms);
        let mut targets = self.lock();
        if self.behaviour.is_keyed && !targets[place].holds(key, self.now_ms()) {
            return not_run(421);
        }
        self.check_drain(&mut targets[place], &id);
        if targets[place].work.len() >= self.behaviour.slots {
            if targets[place].waiting >= QUEUE {
                return not_run(503);
            }
            targets[place].waiting += 1;
            while targets[place].is_up
                && targets[place].work.len() >= self.behaviour.slots
                && Instant::now() < end
            {
                let left = end.saturating_duration_since(Instant::now());
                targets = self.changed.wait_timeout(targets, left).expect("targets").0;
            }
            targets[place].waiting -= 1;
        }
        if !targets[place].is_up {
            return None;
        }
        if Instant::now() >= end {
            return not_run(503);
        }
        if self.behaviour.is_keyed && !targets[place].holds(key, self.now_ms()) {
            return not_run(421);
        }
        let mut random = self.random.lock().expect("random numbers");
        let number = random.next();
        let work_ms = (self.behaviour.work_mean_ms as f64 * (0.5 + random.share())) as u64;
        drop(random);
        let work_ms = work_ms.min(self.behaviour.work_max_ms).min(deadline_ms);
        let name = targets[place].name.clone();
        self.record
            .line(&format!("target {name} runs {id}, key {key}"));
        targets[place].work.push(Work {
            number,
            id: id.clone(),
            key,
        });
        drop(targets);
        thread::sleep(Duration::from_millis(work_ms));
        let mut targets = self.lock();
        targets[place].work.retain(|work| work.number != number);
        self.changed.notify_all();
        if !targets[place].is_up {
            return None;
        }
        drop(targets);
        let stamp = format!("s-{id}");
        Some(response(
            200,
            &[echo, ("X-Balsamswitch-Response-Signature", &stamp)],
            format!("body of {id}").as_bytes(),
        ))
    }
}

fn order(request: &Message) -> Option<(Keys, u64, Json)> {
    let order = Json::parse(&String::from_utf8_lossy(&request.body))?;
    let keys = (order.number("from")? as u16, order.number("target")? as u16);
    let fence = order.number("fence")? as u64;
    Some((keys, fence, order))
}
