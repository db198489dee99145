//! Tests of the call state machines: one module per feature, and a simulation of the processes
//! around them.

mod call_records;
mod call_safety;
mod claim_table;
mod deadline_queue;
mod hedged_calls;
mod keeper_restarts;
mod key_retry;
mod lost_connection;
mod parent_calls;
mod refused_calls;
mod simulation;
