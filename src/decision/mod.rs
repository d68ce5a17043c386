//! Decision rules: which target a request may be sent to, and what limits it. Each module
//! implements one rule. A module listed in the tables below starts with the rule in one sentence,
//! followed by its inputs with units and ages, the reason for it, the promise it guards, its
//! constants with the reasons for their values, and its test.
//!
//! | folder | question |
//! |---|---|
//! | [`registry`] | which targets and instances exist |
//! | [`selection`] | which targets are eligible, and in which order |
//! | [`capacity`] | how much load a target receives |
//! | [`quota`] | how many requests of a tenant are admitted, over all instances |
//! | [`refusal`] | which requests are refused, and with which response |
//! | [`failure`] | what a failure changes |
//!
//! # Choosing a target
//!
//! | rule | module | promise |
//! |---|---|---|
//! | the choice: the first usable target with room | [`choice`](selection::choice) | `why` reports the decision that a request gets |
//! | what excludes a target | [`exclusion`](selection::exclusion) | draining, evacuated and forbidden targets receive no requests |
//! | two targets per key, by weighted rendezvous hashing | [`affinity`](selection::affinity) | requests with the same key go to the same target, in their region |
//! | weight of the own region | [`region_weight`](selection::region_weight) | requests stay in their region as far as its targets have the capacity |
//! | region of the keys of a leaving target | [`key_region`](selection::key_region) | few requests change region while targets are replaced |
//! | maximum load, by priority | [`admission`](capacity::admission) | targets are not overloaded; less urgent requests are refused first |
//! | loads shared between instances | [`shared_loads`](capacity::shared_loads) | a request queues where it is served sooner |
//! | second targets, by their recent latency | [`second_target`](capacity::second_target) | responses arrive within their objective where targets are able to |
//! | moves charged to caps | [`cap_moves`](selection::cap_moves) | no more than a cap's share of the requests leaves the default hall |
//! | service of a split route | [`split`](selection::split) | a split keeps its shares |
//!
//! # State of one target
//!
//! | rule | module | promise |
//! |---|---|---|
//! | load, counted here and reported | [`load`](capacity::load) | full targets receive no more requests, whichever instance filled them |
//! | outlier ejection | [`ejection`](failure::ejection) | a dead or broken target costs an instance few requests |
//! | slow targets | [`latency`](failure::latency) | responses arrive within their objective where a target is able to |
//! | slow start, shared between instances | [`slow_start`](capacity::slow_start) | targets in slow start receive no more requests than they can serve |
//! | grace for expired registrations | [`grace`](registry::grace) | requests are served while the store is unreachable |
//! | tombstones of removed targets | [`targets`](registry::targets) | a removed target receives no requests |
//!
//! # Other rules
//!
//! | rule | module | promise |
//! |---|---|---|
//! | what happens after a try | [`next_try`](failure::next_try) | a request reported as not executed was not executed; a request that may have been executed is not sent again |
//! | targets that shed load despite free slots | [`shedding`](failure::shedding) | a caller does not wait for capacity that is available |
//! | instances that reach no target | [`isolation`](failure::isolation) | callers of an instance that has lost all targets are served where any instance reaches one |
//! | requests that crash targets | [`quarantine`](failure::quarantine) | a request crashes few targets, whichever instance receives it |
//! | quotas of tenants | [`quota`] | a tenant's requests stay within its quota, and a tenant below its quota is not refused |
//! | retry budget | [`retry`](failure::retry) | retries do not multiply the load of failing targets |
//! | Retry-After of refusals | [`retry_after`](refusal::retry_after) | callers are told when to come back, and do not all come back at once |
//! | instances listed by the directory | [`directory`](selection::directory) | callers find an instance that accepts requests |
//! | share of callers per instance | [`instance_weight`](selection::instance_weight) | weak machines receive no more requests than they can serve |
//! | steps of a tenant's demand | [`hall_demand`](quota::hall_demand) | a quota holds before all halls have reported |
//! | later records replace earlier ones | [`routing`](registry::routing) | an instance never returns to an older configuration |
//! | changes that panic | [`panicked_records`](registry::panicked_records) | a value that cannot be used keeps no other one from being used |
//! | what follows the end of a task | [`task_end`](failure::task_end) | a change is in force within its bound, whatever a single value does |
//! | bounds on held responses | [`held_responses`](refusal::held_responses) | a caller that reads slowly occupies no slot of a target, and no more memory than the instance has |
//! | which statuses of targets are passed on | [`status_promise`](refusal::status_promise) | a request that a caller is told has not run has not run |
//! | what a stopping instance accepts | [`stop`](refusal::stop) | no request is lost to a planned stop |
//! | what a stopping instance waits for | [`unfinished`](refusal::unfinished) | no response is cut by a planned stop |
//!
//! An input "as old as the view" is at most 1.3 s old while the store or a relay responds, and older
//! while neither does.
//!
//! The rules read [`routing`](registry::routing), the state that an instance keeps of the store's
//! contents, with its [`targets`](registry::targets) and [`members`](registry::members); it reports
//! each [`change`](registry::change) of them. They also read [`target`](registry::target), which has a
//! small state for each rule, and [`query`](selection::query), the request to decide on.
//! [`outcome`](selection::outcome) is the result. Relies on [`crate::model`], [`crate::policy`],
//! [`crate::hash`], [`crate::store`] for events, [`crate::task`] for how a task ends, and the connection pool of a target in
//! [`crate::net`]. Nothing here waits or sends, and the time is an argument: the clock is read only
//! when an instance starts. `docs/DECISIONS.md` lists all constants and how their values were chosen.

pub mod capacity;
pub mod failure;
pub mod quota;
pub mod refusal;
pub mod registry;
pub mod selection;
