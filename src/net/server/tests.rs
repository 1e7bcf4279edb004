//! Tests of what is private to `server`.

use super::*;
use crate::core::{Clock, CoreHandle};
use crate::net::budget::Budget;
use crate::net::service::Shared;
use rustix::io::Errno;
use std::collections::VecDeque;
use tokio::task::LocalSet;

fn listener() -> Listener {
    let (core, _queue) = CoreHandle::channel(Clock::start());
    let shared = Shared {
        core,
        classes: Vec::new(),
        ready: Box::new(|| true),
        counters: Rc::default(),
        budget: Budget::new(1024),
        ids: Default::default(),
    };
    let (_stage, stage) = watch::channel(Stage::Closing);
    let service = RequestService { shared: Rc::new(shared), tools: None };
    Listener { service, bound: 64, waiting: 64, stage, open: Rc::default() }
}

/// Guards against connections that are reset with the listener because an accept before them had failed.
#[tokio::test(start_paused = true)]
async fn an_accept_that_fails_does_not_end_the_emptying_of_the_queue() {
    let story = async {
        let listener = listener();
        let service =
            ServiceBuilder::new().load_shed().concurrency_limit(1).service(listener.service.clone());
        let queue = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = queue.local_addr().unwrap();
        let mut clients = Vec::new();
        let mut results: VecDeque<io::Result<TcpStream>> = VecDeque::new();
        for errno in
            [Errno::CONNABORTED, Errno::INTR, Errno::NFILE, Errno::NOBUFS, Errno::MFILE, Errno::PROTO]
        {
            results.push_back(Err(io::Error::from_raw_os_error(errno.raw_os_error())));
            clients.push(std::net::TcpStream::connect(address).unwrap());
            results.push_back(Ok(queue.accept().await.unwrap().0));
        }
        let wanted = clients.len();
        let accept = || results.pop_front().unwrap_or_else(|| Err(io::ErrorKind::WouldBlock.into()));
        listener.drain(accept, &service).await;
        assert_eq!(listener.counters().connections_in.get(), wanted as u64);
    };
    LocalSet::new().run_until(story).await;
}
