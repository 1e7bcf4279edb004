//! Unit tests of the memory budget.

use super::*;

#[test]
fn a_reservation_above_the_budget_fails_and_leaves_the_budget_unchanged() {
    let budget = MemoryBudget::new(10);
    let mut reservation = MemoryReservation::new(budget.clone());
    assert_eq!(reservation.grow(8), Ok(()));
    assert_eq!(reservation.grow(3), Err(BudgetExhausted));
    assert_eq!(budget.available.get(), 2);
}

#[test]
fn a_dropped_reservation_returns_its_bytes() {
    let budget = MemoryBudget::new(10);
    let mut reservation = MemoryReservation::new(budget.clone());
    reservation.grow(4).unwrap();
    reservation.grow(6).unwrap();
    drop(reservation);
    assert_eq!(budget.available.get(), 10);
}
