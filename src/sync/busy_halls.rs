//! Halls whose heads a task is asking: they are asked nothing further meanwhile.
//!
//! Owns the list. A hall leaves it with its guard, also if the task that holds the guard panics.

use std::cell::RefCell;
use std::rc::Rc;

/// Halls that are being asked.
#[derive(Clone, Debug, Default)]
pub struct BusyHalls(Rc<RefCell<Vec<String>>>);

impl BusyHalls {
    /// Whether the hall is being asked.
    pub fn contains(&self, hall: &str) -> bool {
        self.0.borrow().iter().any(|other| other == hall)
    }

    /// Marks a hall as being asked until the guard is dropped.
    pub fn begin(&self, hall: &str) -> BusyHall {
        self.0.borrow_mut().push(hall.to_owned());
        BusyHall { halls: self.clone(), hall: hall.to_owned() }
    }
}

/// Marks a hall as being asked.
#[derive(Debug)]
pub struct BusyHall {
    halls: BusyHalls,
    hall: String,
}

impl Drop for BusyHall {
    fn drop(&mut self) {
        self.halls.0.borrow_mut().retain(|other| *other != self.hall);
    }
}
