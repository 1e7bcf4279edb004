//! Hosts one policy per simulated router.

use super::actions::{write_action, write_panic};
use super::endpoints::EndpointListHeader;
use super::error::{LineError, WireError};
use super::events::parse_event;
use super::fields::Fields;
use super::lines::LineReader;
use crate::interface::{Event, Micros};
use crate::policy::Policy;
use crate::wire_format::parse_settings;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Dispatches each message to the policy of its router and writes the resulting actions.
pub(super) struct PolicyHost<W> {
    policies: BTreeMap<u32, Policy>,
    output: W,
}

/// A parsed message to a router.
enum Command {
    /// Starts the router, or restarts it with a new policy.
    Start(Box<Policy>),
    Shutdown,
    Event(Event),
    /// An update of the endpoint list. The endpoints follow on separate lines.
    EndpointList(EndpointListHeader),
}

impl<W: Write> PolicyHost<W> {
    pub fn new(output: W) -> Self {
        PolicyHost { policies: BTreeMap::new(), output }
    }

    /// Processes the message in the current line, including the lines of the endpoints that belong to it.
    pub fn process_line<R: BufRead>(
        &mut self,
        now: Micros,
        lines: &mut LineReader<R>,
    ) -> Result<(), WireError> {
        let (router, command) =
            self.parse_command(lines.current()).map_err(|error| lines.malformed(error))?;
        let event = match command {
            Command::Start(policy) => {
                self.policies.insert(router, *policy);
                return Ok(());
            }
            Command::Shutdown => {
                self.policies.remove(&router);
                return Ok(());
            }
            Command::Event(event) => event,
            Command::EndpointList(header) => {
                let endpoints = header.read_endpoints(lines)?;
                Event::EndpointsUpdated { kind: header.kind, endpoints }
            }
        };
        Ok(self.handle_event(router, now, event)?)
    }

    /// Confirms to the simulator that a batch has been processed.
    pub fn acknowledge_batch(&mut self) -> io::Result<()> {
        self.output.write_all(b"OK\n")?;
        self.output.flush()
    }

    /// Parses a message. Unless it starts a router, it must be addressed to a running one.
    fn parse_command(&self, line: &str) -> Result<(u32, Command), LineError> {
        let mut fields = Fields::new(line);
        let message = fields.text("message")?;
        let router: u32 = fields.required("router")?;
        if message == "INIT" {
            let seed = fields.required("nonce64")?;
            let settings = parse_settings(fields.into_key_value_pairs())?;
            return Ok((router, Command::Start(Box::new(Policy::new(settings, seed)))));
        }
        if !self.policies.contains_key(&router) {
            return Err(LineError::UnknownRouter { message: message.to_owned(), router });
        }
        let command = match message {
            "SHUTDOWN" => Command::Shutdown,
            "MEMBERSHIP" => Command::EndpointList(EndpointListHeader::parse(&mut fields)?),
            _ => Command::Event(parse_event(&mut fields)?),
        };
        Ok((router, command))
    }

    /// Passes an event to a policy and writes its actions. A panic is reported and the policy kept, without
    /// its actions of this event; the simulator may restart the router.
    fn handle_event(&mut self, router: u32, now: Micros, event: Event) -> io::Result<()> {
        let Some(policy) = self.policies.get_mut(&router) else { return Ok(()) };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions))) {
            Ok(()) => actions.iter().try_for_each(|action| write_action(&mut self.output, router, action)),
            Err(panic) => write_panic(&mut self.output, router, panic_message(&*panic)),
        }
    }
}

/// The message of a panic, or a placeholder if it has none.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text;
    }
    panic.downcast_ref::<&str>().copied().unwrap_or("panic")
}
