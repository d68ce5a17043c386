use super::{Queue, Wake};
use proptest::prelude::*;
use std::time::{Duration, Instant};

fn ticket(queue: &Queue, priority: u8, seconds: u64) -> super::Ticket {
    queue.ticket(priority, Instant::now() + Duration::from_secs(seconds))
}

#[tokio::test]
async fn the_highest_priority_is_woken_first() {
    let queue = Queue::default();
    let mut low = queue.join(ticket(&queue, 1, 1), 8).unwrap();
    let mut high = queue.join(ticket(&queue, 9, 9), 8).unwrap();
    assert!(queue.wake());
    assert_eq!(high.told().await, Wake::Try);
    assert!(queue.wake());
    assert_eq!(low.told().await, Wake::Try);
    assert!(!queue.wake());
}

#[tokio::test]
async fn among_equals_the_earlier_deadline_goes_first() {
    let queue = Queue::default();
    let _late = queue.join(ticket(&queue, 5, 9), 8).unwrap();
    let mut early = queue.join(ticket(&queue, 5, 1), 8).unwrap();
    queue.wake();
    assert_eq!(early.told().await, Wake::Try);
}

#[tokio::test]
async fn a_full_queue_sheds_its_last_for_a_higher_priority() {
    let queue = Queue::default();
    let mut first = queue.join(ticket(&queue, 5, 1), 2).unwrap();
    let mut last = queue.join(ticket(&queue, 1, 1), 2).unwrap();
    let mut high = queue.join(ticket(&queue, 9, 1), 2).unwrap();
    assert_eq!(last.told().await, Wake::Shed);
    assert!(queue.join(ticket(&queue, 5, 1), 2).is_err(), "an equal has to stay out");
    queue.wake();
    assert_eq!(high.told().await, Wake::Try);
    queue.wake();
    assert_eq!(first.told().await, Wake::Try);
}

#[tokio::test]
async fn a_wake_that_its_waiter_left_goes_to_the_next() {
    let queue = Queue::default();
    let first = queue.join(ticket(&queue, 5, 1), 8).unwrap();
    let mut second = queue.join(ticket(&queue, 5, 2), 8).unwrap();
    queue.wake();
    drop(first);
    assert_eq!(second.told().await, Wake::Try);
}

#[test]
fn a_left_place_is_free() {
    let queue = Queue::default();
    drop(queue.join(ticket(&queue, 5, 1), 1).unwrap());
    assert!(queue.is_empty());
    assert!(queue.join(ticket(&queue, 5, 1), 1).is_ok());
}

proptest! {
    /// Woken one after another, waiters come in the order of a plain sort.
    #[test]
    fn waiters_are_woken_in_order(waiters in proptest::collection::vec((0_u8..4, 0_u64..4), 1..30)) {
        let queue = Queue::default();
        let now = Instant::now();
        let mut places = Vec::new();
        for (number, (priority, deadline)) in waiters.iter().enumerate() {
            let ticket = queue.ticket(*priority, now + Duration::from_secs(*deadline));
            places.push((std::cmp::Reverse(*priority), *deadline, number, queue.join(ticket, 100).unwrap()));
        }
        places.sort_by_key(|(priority, deadline, number, _)| (*priority, *deadline, *number));
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        for (_, _, number, place) in &mut places {
            queue.wake();
            let told = runtime.block_on(async { futures::poll!(std::pin::pin!(place.told())) });
            prop_assert_eq!(told, std::task::Poll::Ready(Wake::Try), "waiter {}", number);
        }
    }
}
