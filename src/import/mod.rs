//! Importers that write an operator's file from the configuration of another proxy.

pub mod haproxy;
