//! Conditions of a deployment that tests and measurements wait for.

use super::{CONDITION_TIMEOUT, Deployment, DeploymentError, POLL_INTERVAL};
use std::{
    thread,
    time::{Duration, Instant},
};

impl Deployment {
    /// Waits until the revision is in effect on every running node; returns how long that took.
    pub fn wait_for_revision(&self, number: u64) -> Result<Duration, DeploymentError> {
        let started = Instant::now();
        let in_effect = |d: &Deployment| {
            d.running_nodes()
                .all(|kernel| kernel.profiles.revision().number >= number)
        };
        self.wait_for("the revision on every node", in_effect)?;
        Ok(started.elapsed())
    }

    /// Waits until every running node knows `count` upstreams.
    pub fn wait_for_upstreams(&self, count: usize) -> Result<(), DeploymentError> {
        self.wait_for("all upstreams on every node", |d| {
            d.running_nodes()
                .all(|kernel| kernel.directory.all().len() == count)
        })
    }

    /// Waits until a condition holds; `description` names it in the error.
    pub fn wait_for(
        &self,
        description: &'static str,
        condition: impl Fn(&Deployment) -> bool,
    ) -> Result<(), DeploymentError> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !condition(self) {
            if Instant::now() >= deadline {
                return Err(DeploymentError::TimedOut {
                    condition: description,
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}
