//! Tasks that slow each other down: which kinds do, and where they are placed then.

mod learning;
mod placing;
mod replay;
mod site;
