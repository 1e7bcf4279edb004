//! What goes wrong in a run, and when.

use crate::run::World;
use fault_plan::Fault;
use fleet_emulator::agent::Health;
use fleet_emulator::clock::{MILLISECOND, Micros, SECOND};
use fleet_emulator::history::{Record, RouterIndex, WorkerIndex};
use fleet_emulator::link::{LinkState, Reach};
use fleet_emulator::worker::Misbehaviour;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;

/// Nothing goes wrong before this: the fleet has to get going.
pub const CALM_START: Micros = 2 * SECOND;
/// How late lists come, at the most.
const LIST_DELAY_MS: u64 = 1_500;
/// A router that was told to end is killed after this: the longest deadline that counts, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// For so long clients still open connections to a router that was told to end.
const FRONT_NOTICES_AFTER: Duration = Duration::from_millis(300);

/// A trouble.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Routers are told to end, and start again.
    RoutersEnd(Vec<RouterIndex>),
    /// Routers are killed, and start again.
    RoutersKilled(Vec<RouterIndex>),
    /// Routers are held up for a moment, again and again.
    RoutersHeldUp(Vec<RouterIndex>),
    /// Discovery moves to another address, and routers are told.
    DiscoveryMoves(Vec<RouterIndex>),
    /// Routers are told of a configuration that can't be read.
    BrokenConfiguration(Vec<RouterIndex>),
    /// Discovery is down.
    DiscoveryDown(Vec<RouterIndex>),
    /// The open watches fall silent.
    WatchesSilent(Vec<RouterIndex>),
    /// The open watches are reset.
    WatchesReset(Vec<RouterIndex>),
    /// Discovery answers late.
    DiscoverySlow(Vec<RouterIndex>),
    /// Workers die and come back cold.
    WorkersDie(Vec<WorkerIndex>),
    /// Workers drain; others take their place.
    WorkersReplaced(Vec<WorkerIndex>),
    /// Workers hang as a stopped process does.
    WorkersFrozen(Vec<WorkerIndex>),
    /// Workers misbehave.
    WorkersMisbehave(Vec<WorkerIndex>, &'static str),
    /// Workers can't be heard by some routers.
    LinksSilent(Vec<WorkerIndex>, Vec<RouterIndex>),
    /// Connections to workers are faulty.
    LinksFaulty(Vec<WorkerIndex>, &'static str),
    /// The wall clock of routers is stepped, by so many seconds.
    WallClockStepped(Vec<RouterIndex>, i64),
    /// System calls of routers fail.
    CallsFail(Vec<RouterIndex>, Vec<Fault>, f64),
    /// Nobody reads the log of routers.
    LogUnread(Vec<RouterIndex>),
    /// Clients misbehave.
    BadClients(Vec<RouterIndex>),
    /// Clients connect by the hundred and say nothing.
    IdleCrowd(Vec<RouterIndex>),
    /// Many clients leave early.
    ImpatientClients,
    /// Clients write slowly.
    SlowClients,
    /// So many times the usual load.
    Burst(f64),
}

impl Trouble {
    /// The name of its kind.
    pub fn name(&self) -> String {
        let text = format!("{self:?}");
        let kind: String = text.chars().take_while(char::is_ascii_alphanumeric).collect();
        match self {
            Trouble::WorkersMisbehave(_, how) | Trouble::LinksFaulty(_, how) => format!("{kind}: {how}"),
            Trouble::CallsFail(_, faults, _) => format!("{kind}: {faults:?}"),
            _ => kind,
        }
    }

    /// Draws one for a deployment of so many routers and workers.
    pub fn draw(random: &mut StdRng, routers: usize, workers: usize) -> Self {
        let few = |random: &mut StdRng, of: usize, most: f64| {
            let share = random.random_range(0.1..most);
            let count = ((of as f64 * share) as usize).max(1);
            let mut chosen = (0..of).choose_multiple(random, count);
            chosen.sort_unstable();
            chosen
        };
        let some_routers = few(random, routers, 0.7);
        let some_workers = few(random, workers, 0.4);
        match random.random_range(0..27) {
            0 | 1 => Trouble::RoutersEnd(some_routers),
            2 => Trouble::RoutersKilled(some_routers),
            3 => Trouble::RoutersHeldUp(some_routers),
            4 | 5 => Trouble::DiscoveryMoves(some_routers),
            6 => Trouble::BrokenConfiguration(some_routers),
            7 => Trouble::DiscoveryDown(some_routers),
            8 => Trouble::WatchesSilent(some_routers),
            9 => Trouble::WatchesReset(some_routers),
            10 => Trouble::DiscoverySlow(some_routers),
            11 => Trouble::WorkersDie(some_workers),
            12 | 13 => Trouble::WorkersReplaced(some_workers),
            14 => Trouble::WorkersFrozen(some_workers),
            15 | 16 => {
                let how = MISBEHAVIOURS.choose(random).map_or("errors", |(how, _)| how);
                Trouble::WorkersMisbehave(some_workers, how)
            }
            17 => Trouble::LinksSilent(some_workers, few(random, routers, 1.0)),
            18 | 19 => {
                let how = LINK_FAULTS.choose(random).copied().unwrap_or("resets");
                Trouble::LinksFaulty(some_workers, how)
            }
            20 => {
                let step = [-3_600, -5, 5, 3_600].choose(random).copied().unwrap_or(3_600);
                Trouble::WallClockStepped(some_routers, step)
            }
            21 | 22 => {
                let faults = CALL_FAULTS.choose(random).copied().unwrap_or(&[Fault::AcceptAborted]);
                Trouble::CallsFail(some_routers, faults.to_vec(), random.random_range(0.02..0.5))
            }
            23 => Trouble::LogUnread(some_routers),
            24 => Trouble::BadClients(some_routers),
            25 => Trouble::IdleCrowd(some_routers),
            _ => match random.random_range(0..3) {
                0 => Trouble::ImpatientClients,
                1 => Trouble::SlowClients,
                _ => Trouble::Burst(random.random_range(1.5..3.0)),
            },
        }
    }
}

/// System calls that fail together.
const CALL_FAULTS: [&[Fault]; 8] = [
    &[Fault::AcceptAborted],
    &[Fault::AcceptFileTableFull, Fault::SocketFileTableFull],
    &[Fault::AcceptNoBuffers, Fault::ConnectNoBuffers],
    &[Fault::ConnectNoAddress],
    &[Fault::ConnectUnreachable],
    &[Fault::ReadInterrupted, Fault::WriteInterrupted, Fault::PollInterrupted],
    &[Fault::ShortRead, Fault::ShortWrite],
    &[Fault::LogFull],
];

const MISBEHAVIOURS: [(&str, Misbehaviour); 8] = {
    const GOOD: Misbehaviour = Misbehaviour {
        errors: 0.0,
        turns_away: 0.0,
        breaks_before: 0.0,
        breaks_during: 0.0,
        hangs: 0.0,
        spoils: 0.0,
        answers_twice: 0.0,
        slowness: 0.0,
    };
    [
        ("errors", Misbehaviour { errors: 0.5, ..GOOD }),
        ("turns away", Misbehaviour { turns_away: 0.5, ..GOOD }),
        ("breaks before", Misbehaviour { breaks_before: 0.3, ..GOOD }),
        ("breaks during", Misbehaviour { breaks_during: 0.3, ..GOOD }),
        ("hangs", Misbehaviour { hangs: 0.3, ..GOOD }),
        ("spoils", Misbehaviour { spoils: 0.2, ..GOOD }),
        ("answers twice", Misbehaviour { answers_twice: 0.5, ..GOOD }),
        ("slow", Misbehaviour { slowness: 8.0, ..GOOD }),
    ]
};

const LINK_FAULTS: [&str; 5] = ["resets", "slow to connect", "in pieces", "closes idle", "forgets idle"];

/// A trouble and its time, counted from the start of the load.
#[derive(Clone, Debug)]
pub struct Planned {
    /// When it begins.
    pub from: Micros,
    /// When it ends.
    pub until: Micros,
    /// What it is.
    pub trouble: Trouble,
}

/// Draws the troubles of a run: at nearly every moment up to `end`, two or three of them overlap.
pub fn plan(random: &mut StdRng, routers: usize, workers: usize, end: Micros) -> Vec<Planned> {
    let mut plan = Vec::new();
    for _track in 0..3 {
        let mut from = CALM_START + random.random_range(0..SECOND);
        while from + SECOND < end {
            let until = (from + random.random_range(SECOND..4 * SECOND)).min(end);
            plan.push(Planned { from, until, trouble: Trouble::draw(random, routers, workers) });
            from = until + random.random_range(0..SECOND);
        }
    }
    plan.sort_by_key(|planned| planned.from);
    plan
}

/// Plays one trouble from its beginning to its end.
pub async fn play(world: Arc<World>, trouble: Trouble, length: Duration) {
    let name = trouble.name();
    world.history().add(Record::FaultStarted { name: name.clone() });
    begin(&world, &trouble, length).await;
    tokio::time::sleep(length).await;
    end(&world, &trouble).await;
    world.history().add(Record::FaultEnded { name });
}

async fn begin(world: &Arc<World>, trouble: &Trouble, length: Duration) {
    match trouble {
        Trouble::RoutersEnd(routers) => {
            for router in routers.iter().copied() {
                tokio::spawn(end_and_restart(world.clone(), router));
                tokio::time::sleep(length / (2 * routers.len() as u32)).await;
            }
        }
        Trouble::RoutersKilled(routers) => {
            for router in routers.iter().copied() {
                tokio::spawn(kill_and_restart(world.clone(), router));
            }
        }
        Trouble::RoutersHeldUp(routers) => {
            for router in routers.iter().copied() {
                tokio::spawn(hold_up(world.clone(), router, length));
            }
        }
        Trouble::DiscoveryMoves(routers) => {
            for router in routers.iter().copied() {
                world.move_discovery(router).await;
            }
        }
        Trouble::BrokenConfiguration(routers) => {
            for router in routers.iter().copied() {
                world.break_configuration(router);
            }
        }
        Trouble::DiscoveryDown(routers) => each(routers, |router| world.fleet.agent(router).set_down(true)),
        Trouble::WatchesSilent(routers) => {
            each(routers, |router| world.fleet.agent(router).silence_watches())
        }
        Trouble::WatchesReset(routers) => each(routers, |router| world.fleet.agent(router).reset_watches()),
        Trouble::DiscoverySlow(routers) => {
            let delay = rand::rng().random_range(100..900) * MILLISECOND;
            each(routers, |router| world.fleet.agent(router).set_delay(delay));
        }
        Trouble::WorkersDie(workers) => {
            for worker in workers.iter().copied() {
                world.fleet.set_links(worker, |_| true, |link| link.reach = Reach::Refused);
                world.fleet.worker(worker).die();
                world.fleet.list_as(worker, Health::Gone, list_delay());
            }
        }
        Trouble::WorkersReplaced(workers) => {
            for worker in workers.iter().copied() {
                world.replace(worker, list_delay());
                tokio::time::sleep(length / (2 * workers.len() as u32)).await;
            }
        }
        Trouble::WorkersFrozen(workers) => each(workers, |worker| world.fleet.worker(worker).freeze(true)),
        Trouble::WorkersMisbehave(workers, how) => {
            let found = MISBEHAVIOURS.iter().find(|(name, _)| name == how);
            let misbehaviour = found.map_or_else(Misbehaviour::default, |(_, misbehaviour)| *misbehaviour);
            each(workers, |worker| world.fleet.worker(worker).misbehave(misbehaviour));
        }
        Trouble::LinksSilent(workers, routers) => each(workers, |worker| {
            let cut = |router| routers.contains(&router);
            world.fleet.set_links(worker, cut, |link| link.reach = Reach::Silent);
        }),
        Trouble::LinksFaulty(workers, how) => each(workers, |worker| {
            world.fleet.set_links(worker, |_| true, |link| set_link_fault(link, how));
        }),
        Trouble::WallClockStepped(routers, seconds) => {
            let offset = seconds * SECOND as i64;
            each(routers, |router| _ = world.routers[router].control.set_wall_clock_offset(offset));
        }
        Trouble::CallsFail(routers, faults, probability) => each(routers, |router| {
            for fault in faults {
                let _ = world.routers[router].control.set_probability(*fault, *probability);
            }
        }),
        Trouble::LogUnread(routers) => each(routers, |router| world.routers[router].read_log(false)),
        Trouble::BadClients(routers) => {
            for router in routers.iter().copied() {
                tokio::spawn(world.clone().send_bad_clients(router, length));
            }
        }
        Trouble::IdleCrowd(routers) => each(routers, |router| world.crowd(router)),
        Trouble::ImpatientClients => world.load.set_leaving(0.5),
        Trouble::SlowClients => world.load.set_slow(0.5),
        Trouble::Burst(times) => world.load.set_times(*times),
    }
}

async fn end(world: &Arc<World>, trouble: &Trouble) {
    match trouble {
        Trouble::BrokenConfiguration(routers) => each(routers, |router| world.reload(router)),
        Trouble::DiscoveryDown(routers) => each(routers, |router| world.fleet.agent(router).set_down(false)),
        Trouble::DiscoverySlow(routers) => each(routers, |router| world.fleet.agent(router).set_delay(0)),
        Trouble::WorkersDie(workers) => each(workers, |worker| {
            // One that was replaced meanwhile stays away.
            world.fleet.set_links(worker, |_| true, |link| link.reach = Reach::Up);
            world.fleet.restart(worker, list_delay());
        }),
        Trouble::WorkersFrozen(workers) => each(workers, |worker| world.fleet.worker(worker).freeze(false)),
        Trouble::WorkersMisbehave(workers, _) => {
            each(workers, |worker| world.fleet.worker(worker).misbehave(Misbehaviour::default()));
        }
        Trouble::LinksSilent(workers, _) => each(workers, |worker| {
            world.fleet.set_links(worker, |_| true, |link| link.reach = Reach::Up);
        }),
        Trouble::LinksFaulty(workers, _) => each(workers, |worker| {
            let mend = |link: &mut LinkState| *link = LinkState { reach: link.reach, ..LinkState::default() };
            world.fleet.set_links(worker, |_| true, mend);
        }),
        Trouble::WallClockStepped(routers, _) => {
            each(routers, |router| _ = world.routers[router].control.set_wall_clock_offset(0));
        }
        Trouble::CallsFail(routers, faults, _) => each(routers, |router| {
            for fault in faults {
                let _ = world.routers[router].control.set_probability(*fault, 0.0);
            }
        }),
        Trouble::LogUnread(routers) => each(routers, |router| world.routers[router].read_log(true)),
        Trouble::ImpatientClients => world.load.set_leaving(crate::load::USUAL_LEAVING),
        Trouble::SlowClients => world.load.set_slow(0.0),
        Trouble::Burst(_) => world.load.set_times(1.0),
        _ => {}
    }
}

fn each<T: Copy>(all: &[T], act: impl Fn(T)) {
    all.iter().copied().for_each(act);
}

fn list_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(0..LIST_DELAY_MS))
}

fn set_link_fault(link: &mut LinkState, how: &str) {
    match how {
        "resets" => link.resets = 0.3,
        "slow to connect" => link.connect_delay = 150 * MILLISECOND,
        "in pieces" => link.in_pieces = true,
        "closes idle" => link.closes_idle_after = Some(50 * MILLISECOND),
        _ => link.forgets_idle_after = Some(50 * MILLISECOND),
    }
}

/// Ends a router in order, as a planned restart does, and starts it again.
async fn end_and_restart(world: Arc<World>, router: RouterIndex) {
    let process = &world.routers[router];
    if !world.begin_restart(router) {
        return;
    }
    process.signal(Signal::TERM, "SIGTERM");
    tokio::time::sleep(FRONT_NOTICES_AFTER).await;
    world.load.set_open(router, false);
    if !process.ended_within(KILLED_AFTER - FRONT_NOTICES_AFTER).await {
        process.signal(Signal::KILL, "SIGKILL");
        let _ = process.ended_within(KILLED_AFTER).await;
    }
    world.finish_restart(router).await;
}

async fn kill_and_restart(world: Arc<World>, router: RouterIndex) {
    if !world.begin_restart(router) {
        return;
    }
    world.load.set_open(router, false);
    world.routers[router].signal(Signal::KILL, "SIGKILL");
    let _ = world.routers[router].ended_within(KILLED_AFTER).await;
    let pause = rand::rng().random_range(100..1_500);
    tokio::time::sleep(Duration::from_millis(pause)).await;
    world.finish_restart(router).await;
}

/// Stops a process for up to 0.15 s, some times in a row.
async fn hold_up(world: Arc<World>, router: RouterIndex, length: Duration) {
    let until = tokio::time::Instant::now() + length;
    while tokio::time::Instant::now() < until {
        let held = rand::rng().random_range(20..150);
        world.routers[router].signal(Signal::STOP, "SIGSTOP");
        tokio::time::sleep(Duration::from_millis(held)).await;
        world.routers[router].signal(Signal::CONT, "SIGCONT");
        let pause = rand::rng().random_range(50..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
