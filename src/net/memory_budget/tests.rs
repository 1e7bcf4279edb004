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

/// Guards against one client that takes a whole budget from all others.
#[test]
fn a_reservation_within_its_share_leaves_as_much_to_others() {
    let budget = MemoryBudget::new(10);
    let mut first = MemoryReservation::new(budget.clone());
    while first.grow_within_share(1).is_ok() {}
    assert_eq!(budget.available.get(), 5);
    let mut second = MemoryReservation::new(budget.clone());
    while second.grow_within_share(1).is_ok() {}
    assert_eq!(budget.available.get(), 3);
    first.shrink(5);
    assert_eq!(budget.available.get(), 8);
}

#[test]
fn a_reservation_within_half_leaves_half_of_the_budget() {
    let budget = MemoryBudget::new(10);
    let mut reservation = MemoryReservation::new(budget.clone());
    assert_eq!(reservation.grow_within_half(6), Err(BudgetExhausted));
    assert_eq!(reservation.grow_within_half(3), Ok(()));
    assert_eq!(reservation.grow_within_half(3), Err(BudgetExhausted));
    assert_eq!((reservation.bytes(), budget.available.get()), (3, 7));
}
