//! Unit tests of `request_ids`.

use super::*;
use tokio::time::advance;

/// Claims an id and frees it again, after its request was abandoned if `is_abandoned`.
fn use_id(ids: &Rc<RequestIds>, id: &str, is_abandoned: bool) {
    let guard = ids.claim(id).ok().unwrap();
    if is_abandoned {
        guard.abandonment().record();
    }
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_id_is_free_only_after_its_lifetime() {
    let ids = Rc::<RequestIds>::default();
    let active = ids.claim("a").ok().unwrap();
    assert_eq!(ids.claim("a").err(), Some(IdConflict::Active));
    drop(active);
    use_id(&ids, "a", false);
    use_id(&ids, "a", true);
    assert!(!ids.has_active());
    advance(ABANDONED_ID_LIFETIME - Duration::from_millis(1)).await;
    assert_eq!(ids.claim("a").err(), Some(IdConflict::Abandoned));
    use_id(&ids, "b", true);
    advance(Duration::from_millis(1)).await;
    use_id(&ids, "a", false);
    assert_eq!(ids.claim("b").err(), Some(IdConflict::Abandoned));
}

#[tokio::test(start_paused = true)]
async fn the_oldest_abandoned_ids_are_forgotten_first() {
    let ids = Rc::<RequestIds>::default();
    (0..MAX_ABANDONED_IDS + 1).for_each(|number| use_id(&ids, &number.to_string(), true));
    use_id(&ids, "0", false);
    assert_eq!(ids.claim("1").err(), Some(IdConflict::Abandoned));
    assert_eq!(ids.abandoned.borrow().expiries.len(), MAX_ABANDONED_IDS);
}
