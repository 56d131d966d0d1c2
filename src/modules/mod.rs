//! Scheduling plug-ins. Each registers itself at link time; profiles select them by name.
//!
//! Each plug-in has a file of its own; its settings are in the file of the same name under
//! [`crate::configs`].

use crate::context;

pub mod balanced_fit;
pub mod best_fit;
pub mod deadline;
pub mod fair_share;
pub mod fifo;
pub mod first_fit;
pub mod full_queue;
pub mod least_loaded;
pub mod priority;
pub mod random;
pub mod round_robin;
pub mod spread;
pub mod two_choices;
pub mod zone_aware;

/// Extension point: the decision that a plug-in makes, with its function.
#[derive(Debug, Clone, Copy)]
pub enum Point {
    /// Returns the index of the target for a request, or `None` to keep the request waiting.
    Route(fn(&context::Route<'_>) -> Option<usize>),
    /// Returns the sort key of waiting work; the lowest key goes first.
    Order(fn(&context::Order) -> u64),
    /// Returns whether a request is refused at admission.
    Shed(fn(&context::Shed) -> bool),
    /// Returns the index of the node for a task, or `None` to keep the task waiting.
    Pack(fn(&context::Pack<'_>) -> Option<usize>),
}

impl Point {
    /// Returns the name of the extension point in profiles.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Point::Route(_) => "route",
            Point::Order(_) => "order",
            Point::Shed(_) => "shed",
            Point::Pack(_) => "pack",
        }
    }
}

/// A registered plug-in.
#[derive(Debug)]
pub struct Plugin {
    /// Name in profiles; unique within an extension point.
    pub name: &'static str,
    /// Summary of one line for operators.
    pub summary: &'static str,
    /// Decision that the plug-in makes.
    pub point: Point,
}

inventory::collect!(Plugin);

/// Returns all plug-ins of an extension point, sorted by name.
#[must_use]
pub fn all(point: &str) -> Vec<&'static Plugin> {
    let registered = inventory::iter::<Plugin>.into_iter();
    let mut plugins: Vec<_> = registered.filter(|p| p.point.name() == point).collect();
    plugins.sort_by_key(|p| p.name);
    plugins
}

/// Returns the plug-in with that name of an extension point.
#[must_use]
pub fn find(point: &str, name: &str) -> Option<&'static Plugin> {
    let plugins = all(point);
    let index = plugins.binary_search_by_key(&name, |p| p.name).ok()?;
    plugins.get(index).copied()
}

/// Returns the names of all plug-ins of an extension point, sorted.
#[must_use]
pub fn names(point: &str) -> Vec<&'static str> {
    all(point).iter().map(|p| p.name).collect()
}
