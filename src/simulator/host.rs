//! The hosted policies, one for each simulated router.

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

/// Hands each message to the policy of its router and writes what comes of it.
pub(super) struct PolicyHost<W> {
    policies: BTreeMap<u32, Policy>,
    output: W,
}

/// What a message says to its router.
enum Command {
    Start(Box<Policy>),
    Shutdown,
    Event(Event),
    /// The endpoints themselves follow on lines of their own.
    EndpointList(EndpointListHeader),
}

impl<W: Write> PolicyHost<W> {
    pub fn new(output: W) -> Self {
        PolicyHost { policies: BTreeMap::new(), output }
    }

    /// Processes the current line, and those that belong to it.
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

    /// Tells the simulator that a batch has been processed.
    pub fn acknowledge_batch(&mut self) -> io::Result<()> {
        self.output.write_all(b"OK\n")?;
        self.output.flush()
    }

    /// Parses a message. The routers that it may name are those that were started, unless it starts one.
    fn parse_command(&self, line: &str) -> Result<(u32, Command), LineError> {
        let mut fields = Fields::new(line);
        let message = fields.text("message")?;
        let router: u32 = fields.required("router")?;
        if message == "INIT" {
            let seed = fields.required("nonce64")?;
            let settings = parse_settings(fields.into_assignments())?;
            return Ok((router, Command::Start(Box::new(Policy::new(settings, seed)))));
        }
        if !self.policies.contains_key(&router) {
            return Err(LineError::UnknownInstance { message: message.to_owned(), router });
        }
        let command = match message {
            "SHUTDOWN" => Command::Shutdown,
            "MEMBERSHIP" => Command::EndpointList(EndpointListHeader::parse(&mut fields)?),
            _ => Command::Event(parse_event(&mut fields)?),
        };
        Ok((router, command))
    }

    /// A policy that panics is reported and kept. Its actions of this event are lost; the simulator may restart it.
    fn handle_event(&mut self, router: u32, now: Micros, event: Event) -> io::Result<()> {
        let Some(policy) = self.policies.get_mut(&router) else { return Ok(()) };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions))) {
            Ok(()) => actions.iter().try_for_each(|action| write_action(&mut self.output, router, action)),
            Err(panic) => write_panic(&mut self.output, router, panic_text(&*panic)),
        }
    }
}

/// The text of a panic, if it carries one.
fn panic_text(panic: &(dyn Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text;
    }
    panic.downcast_ref::<&str>().copied().unwrap_or("panic")
}
