//! Held responses: the buffer, the count of held bytes, and the limits.

use bytes::Bytes;
use lockloft::decision::refusal::held_responses::HeldResponseLimits;
use lockloft::net::buffered_bytes::BufferTotal;
use lockloft::proxy::held_response::buffer::{PART_SIZE, ResponseBuffer};
use proptest::prelude::*;
use std::rc::Rc;

const MIB: u64 = 1024 * 1024;

/// An operation on a buffer.
#[derive(Clone, Debug)]
enum Step {
    Push(usize),
    Take,
}

fn step() -> impl Strategy<Value = Step> {
    let size = prop_oneof![0usize..300, 0..3 * PART_SIZE, Just(PART_SIZE / 2), Just(PART_SIZE)];
    prop_oneof![size.prop_map(Step::Push), Just(Step::Take)]
}

/// `size` bytes whose values depend on their position, which starts at `from`.
fn chunk(from: usize, size: usize) -> Bytes {
    (from..from + size).map(|position| (position % 251) as u8).collect()
}

proptest! {
    #[test]
    fn parts_concatenate_to_the_pushed_chunks_and_held_bytes_are_counted(steps in prop::collection::vec(step(), 1..60)) {
        let total = Rc::new(BufferTotal::default());
        let mut buffer = ResponseBuffer::new(&total);
        let (mut pushed, mut taken) = (0, Vec::new());
        for step in steps {
            match step {
                Step::Push(size) => {
                    buffer.push(chunk(pushed, size));
                    pushed += size;
                }
                Step::Take => {
                    let part = buffer.take_part();
                    prop_assert_eq!(part.is_none(), pushed == taken.len());
                    let part = part.unwrap_or_default();
                    prop_assert!(part.len() <= PART_SIZE);
                    taken.extend_from_slice(&part);
                }
            }
            prop_assert_eq!(total.get(), (pushed - taken.len()) as u64);
            prop_assert_eq!(buffer.len(), total.get());
        }
        while let Some(part) = buffer.take_part() {
            taken.extend_from_slice(&part);
        }
        prop_assert!(taken == chunk(0, pushed));
        prop_assert!(buffer.is_empty());
        prop_assert_eq!(total.get(), 0);
    }

    #[test]
    fn the_total_covers_all_buffers_and_drops_to_zero_with_them(sizes in prop::collection::vec(0usize..2 * PART_SIZE, 1..20)) {
        let total = Rc::new(BufferTotal::default());
        let buffers: Vec<ResponseBuffer> = sizes.iter().map(|size| {
            let mut buffer = ResponseBuffer::new(&total);
            buffer.push(chunk(0, *size));
            buffer
        }).collect();
        prop_assert_eq!(total.get(), sizes.iter().sum::<usize>() as u64);
        drop(buffers);
        prop_assert_eq!(total.get(), 0);
    }

    #[test]
    fn beyond_a_limit_bytes_are_read_only_as_the_caller_takes_them(
        own in 0..3 * MIB, others in 0..40 * MIB, max_held in 0..MIB,
    ) {
        let limits = HeldResponseLimits::for_memory(160 * MIB);
        let total = own + others;
        let has_room = limits.has_room(own, total);
        prop_assert_eq!(has_room, own < MIB && total < 16 * MIB);
        prop_assert_eq!(limits.may_read(own, total, max_held, false), has_room || own < max_held);
        prop_assert_eq!(limits.may_read(own, total, max_held, true), has_room || own < max_held || own == 0);
    }
}

#[test]
fn a_response_whose_caller_waits_is_read_however_many_bytes_other_responses_hold() {
    let limits = HeldResponseLimits::for_memory(160 * MIB);
    assert!(limits.may_read(0, u64::MAX, 0, true));
    assert!(!limits.may_read(0, 16 * MIB, 0, false));
    assert!(!limits.may_read(1, 16 * MIB, 1, true));
}

#[test]
fn large_answers_are_admitted_only_below_the_total_limit() {
    let limits = HeldResponseLimits::for_memory(160 * MIB);
    assert!(limits.admits_large_responses(16 * MIB - 1));
    assert!(!limits.admits_large_responses(16 * MIB));
}

#[test]
fn cleared_bytes_are_no_longer_counted() {
    let total = Rc::new(BufferTotal::default());
    let mut buffer = ResponseBuffer::new(&total);
    buffer.push(chunk(0, PART_SIZE));
    buffer.push(chunk(PART_SIZE, 10));
    buffer.clear();
    assert_eq!((total.get(), buffer.take_part()), (0, None));
}

#[tokio::test]
async fn released_bytes_wake_a_waiting_reader() {
    let total = Rc::new(BufferTotal::default());
    let mut buffer = ResponseBuffer::new(&total);
    buffer.push(chunk(0, PART_SIZE));
    let freed = total.freed();
    tokio::pin!(freed);
    assert!(is_pending(freed.as_mut()).await, "nothing was released yet");
    buffer.take_part();
    freed.await;
}

/// Whether a future is pending when it is polled once.
async fn is_pending<F: Future>(mut future: std::pin::Pin<&mut F>) -> bool {
    std::future::poll_fn(|context| std::task::Poll::Ready(future.as_mut().poll(context).is_pending())).await
}
