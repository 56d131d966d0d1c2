//! The plug-ins. Each registers itself; profiles choose them by name.
//!
//! One plug-in a file, its settings in the file of the same name under [`crate::configs`].

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

/// The decision that a plug-in makes.
#[derive(Debug, Clone, Copy)]
pub enum Point {
    /// Chooses the index of a target for a request, or none to keep it waiting.
    Route(fn(&context::Route<'_>) -> Option<usize>),
    /// Gives the sort key of waiting work; the lowest goes first.
    Order(fn(&context::Order) -> u64),
    /// Says whether a request is refused at admission.
    Shed(fn(&context::Shed) -> bool),
    /// Chooses the index of a node for a task, or none to keep it waiting.
    Pack(fn(&context::Pack<'_>) -> Option<usize>),
}

impl Point {
    /// The name of the decision, as profiles write it.
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
    /// The name that profiles use; unique for a decision.
    pub name: &'static str,
    /// One line for the operators.
    pub summary: &'static str,
    /// What it decides.
    pub point: Point,
}

inventory::collect!(Plugin);

/// All plug-ins for one decision, sorted by name.
#[must_use]
pub fn all(point: &str) -> Vec<&'static Plugin> {
    let registered = inventory::iter::<Plugin>.into_iter();
    let mut plugins: Vec<_> = registered.filter(|p| p.point.name() == point).collect();
    plugins.sort_by_key(|p| p.name);
    plugins
}

/// The plug-in of that name for one decision.
#[must_use]
pub fn find(point: &str, name: &str) -> Option<&'static Plugin> {
    let plugins = all(point);
    let index = plugins.binary_search_by_key(&name, |p| p.name).ok()?;
    plugins.get(index).copied()
}

/// The names of all plug-ins for one decision, sorted.
#[must_use]
pub fn names(point: &str) -> Vec<&'static str> {
    all(point).iter().map(|p| p.name).collect()
}
