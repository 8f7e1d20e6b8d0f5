/*!
Limits on batch items where online load swings between peaks and troughs.

# Problem

An item needs a slot for longer than a trough of online load lasts. In a large
fleet the reports are nearly a second old. Items that are started by the
momentary load take slots that a peak needs back at once, and the same item is
started and preempted several times in one peak.

# Choice

The online load of the last [`WINDOW_MS`] is kept in buckets. The peak and the
trough are the means of the highest and the lowest eighth of the buckets. There
are two limits: items are *started* up to what online work leaves, which is
computed from the present load in a trough and from the peak otherwise, and
they are *kept* up to what the trough leaves. An item between the limits runs
until an online request needs its slot.

An item is preempted about once for each peak between its start and its end. From
the lengths of the peaks and troughs before, an item is held back if a start in
the next trough means fewer preemptions, its due time allows that, and the
troughs have room for all open items.

# Cost

The estimate needs half a window of samples, and follows a change of the pattern
within a window. Slots stay free at the end of a trough while items are held back.
*/

use {
    super::{
        batch_share::{Plan, Slots, runner},
        item_order::OpenItem,
    },
    crate::{
        average::MovingAverage,
        fault_injection::{Fault, is_injected},
        ids::MemberId,
        time::Time,
        version::job_index::ItemRef,
    },
    std::{
        collections::{HashSet, VecDeque},
        hash::BuildHasher,
    },
};

/// Time for which samples count, in milliseconds: two to three cycles of peaks and
/// troughs of some seconds.
pub const WINDOW_MS: u64 = 16_000;
/// Length of a bucket, in milliseconds.
pub const BUCKET_MS: u64 = 500;
/// Share of the buckets whose mean is the peak or the trough, as a divisor. Reports
/// smooth the steps, so that about a sixth of a cycle shows the full peak.
const EXTREME_DIVISOR: usize = 8;
/// Time over which samples must extend for an estimate, in milliseconds.
pub const MIN_SPAN_MS: u64 = WINDOW_MS / 2;
/// Least ratio of peak to trough for which the limits apply, in percent.
pub const MIN_RATIO_PERCENT: u32 = 150;
/// Least difference of peak and trough for which the limits apply, in percent of
/// the slots. Smaller services vary by chance.
pub const MIN_SWING_PERCENT: u32 = 10;
/// Reporting period up to which the limits don't apply, in milliseconds: the plan
/// follows the load closely enough.
pub const MAX_FRESH_PERIOD_MS: u64 = 250;
/// Time by which a trough may outlast the expected length before its end counts as
/// unknown, in milliseconds: about half a reporting period.
const TROUGH_TOLERANCE_MS: u64 = 500;
/// Factor on the time that an item needs in troughs until its due time to be held back,
/// in percent: it may find no slot in one of them.
pub const HOLD_BACK_MARGIN_PERCENT: u64 = 150;
/// Replicas that an online request asks for a free slot only, before it may preempt an
/// item. Each costs a round trip to an owner.
pub const FREE_SLOT_QUERIES: usize = 2;
/// Share of the slots that must be free by the reports for such a query, in percent.
pub const MIN_FREE_PERCENT: u32 = 5;
/// Longest phase that counts for the expected length of a trough, in milliseconds.
const MAX_PHASE_MS: u64 = WINDOW_MS / 2;

/// Peak and trough of the online load of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Swing {
    /// Online requests in flight in a peak.
    pub peak: u32,
    /// Online requests in flight in a trough.
    pub trough: u32,
}

impl Swing {
    /// Returns whether the load varies enough for the limits to apply to a service
    /// with `total_slots`, in a fleet with the given reporting period.
    #[must_use]
    pub const fn applies(self, total_slots: u32, period_ms: u64) -> bool {
        let difference = self.peak.saturating_sub(self.trough);
        period_ms > MAX_FRESH_PERIOD_MS
            && is_share(self.peak, self.trough, MIN_RATIO_PERCENT)
            && difference > 0
            && is_share(difference, total_slots, MIN_SWING_PERCENT)
    }
}

/// Returns whether a part is at least `percent` percent of a whole.
const fn is_share(part: u32, whole: u32, percent: u32) -> bool {
    part as u64 * 100 >= whole as u64 * percent as u64
}

/// Returns how many replicas an online request asks for a free slot only.
///
/// `used` is the number of slots that online requests and items occupy by the reports.
#[must_use]
pub const fn free_slot_queries(used: u32, total_slots: u32) -> usize {
    let free = total_slots.saturating_sub(used);
    if is_share(free, total_slots, MIN_FREE_PERCENT) && total_slots > 0 {
        FREE_SLOT_QUERIES
    } else {
        0
    }
}

/// Expected lengths of troughs and peaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cycle {
    /// Expected rest of the present trough, in milliseconds; 0 in a peak.
    pub left_ms: u64,
    /// Length of a trough, in milliseconds.
    pub trough_ms: u64,
    /// Length of a peak, in milliseconds.
    pub peak_ms: u64,
}

impl Cycle {
    /// Returns whether an item that is due in `due_in_ms` should be started in the next
    /// trough instead of now, since that means fewer preemptions.
    #[must_use]
    pub fn is_better_later(self, remaining_ms: u64, due_in_ms: u64) -> bool {
        let Self {
            left_ms,
            trough_ms,
            peak_ms,
        } = self;
        let remaining_ms = remaining_ms.max(1);
        let troughs = |ms: u64| ms.div_ceil(trough_ms.max(1));
        let troughs_now = 1 + troughs(remaining_ms.saturating_sub(left_ms));
        let troughs_later = troughs(remaining_ms);
        let run_ms = remaining_ms + (troughs_later - 1) * peak_ms;
        let needed_ms = left_ms + peak_ms + run_ms * HOLD_BACK_MARGIN_PERCENT / 100;
        troughs_now > troughs_later && needed_ms < due_in_ms
    }
}

/// How many items of a service the fleet may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemLimits {
    /// Items up to which further ones are started.
    pub start: usize,
    /// Items up to which those that run are kept. If more are open, all slots that online
    /// work leaves are used, also in a peak.
    pub keep: usize,
    /// Items for which online work leaves slots at present.
    pub present: usize,
    /// Expected lengths of troughs and peaks, if known.
    pub cycle: Option<Cycle>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    started: Time,
    sum: u64,
    samples: u64,
}

impl Bucket {
    const fn mean(&self) -> u64 {
        self.sum / self.samples
    }
}

impl ItemLimits {
    /// Returns the limits with room for `count` more items than these.
    #[must_use]
    pub const fn with_further(self, count: usize) -> Self {
        Self {
            start: self.start.saturating_add(count),
            keep: self.keep.saturating_add(count),
            present: self.present.saturating_add(count),
            cycle: self.cycle,
        }
    }

    /// Returns whether more items are open than the troughs leave slots for. Then
    /// throughput decides.
    #[must_use]
    pub const fn has_backlog(self, open_count: usize) -> bool {
        open_count > self.keep
    }
}

/// Recent online load of one service.
#[derive(Clone, Debug, Default)]
pub struct DemandSwing {
    buckets: VecDeque<Bucket>,
    is_peak: bool,
    phase_since: Time,
    trough_ms: MovingAverage<2>,
    peak_ms: MovingAverage<2>,
}

impl DemandSwing {
    /// Adds a sample of the online requests in flight.
    pub fn note(&mut self, now: Time, online: u32) {
        let is_old = |bucket: &Bucket| now.since(bucket.started) >= WINDOW_MS;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        match self.buckets.back_mut() {
            Some(last) if now.since(last.started) < BUCKET_MS => {
                last.sum += u64::from(online);
                last.samples += 1;
            }
            _ => self.buckets.push_back(Bucket {
                started: now,
                sum: u64::from(online),
                samples: 1,
            }),
        }
        if let Some(swing) = self.estimate() {
            self.note_phase(now, swing, online);
        }
    }

    /// Detects the start of a peak or a trough, with a hysteresis of a quarter of
    /// the difference.
    fn note_phase(&mut self, now: Time, swing: Swing, online: u32) {
        let difference = swing.peak.saturating_sub(swing.trough);
        let bound = if self.is_peak {
            swing.trough + difference * 3 / 8
        } else {
            swing.trough + difference * 5 / 8
        };
        let is_peak = online > bound;
        if is_peak == self.is_peak {
            return;
        }
        let lasted_ms = now.since(self.phase_since);
        if lasted_ms <= MAX_PHASE_MS {
            let average = if is_peak {
                &mut self.trough_ms
            } else {
                &mut self.peak_ms
            };
            average.note(lasted_ms);
        }
        self.is_peak = is_peak;
        self.phase_since = now;
    }

    /// Returns the estimated peak and trough, if there are enough samples.
    #[must_use]
    pub fn estimate(&self) -> Option<Swing> {
        let (first, last) = (self.buckets.front()?, self.buckets.back()?);
        if last.started.since(first.started) < MIN_SPAN_MS {
            return None;
        }
        let mut means: Vec<u64> = self.buckets.iter().map(Bucket::mean).collect();
        means.sort_unstable();
        let count = (means.len() / EXTREME_DIVISOR).max(1);
        let mean = |part: &[u64]| {
            let mean = part.iter().sum::<u64>() / part.len() as u64;
            u32::try_from(mean).unwrap_or(u32::MAX)
        };
        Some(Swing {
            peak: mean(&means[means.len() - count..]),
            trough: mean(&means[..count]),
        })
    }

    /// Returns the expected lengths of troughs and peaks, if both are known.
    fn cycle(&self, now: Time) -> Option<Cycle> {
        let (trough_ms, peak_ms) = (self.trough_ms.value(), self.peak_ms.value());
        if trough_ms == 0 || peak_ms == 0 {
            return None;
        }
        let lasted_ms = now.since(self.phase_since);
        let left_ms = if self.is_peak {
            0
        } else if lasted_ms > trough_ms + TROUGH_TOLERANCE_MS {
            // The trough is longer than the ones before, and its end is not known.
            return None;
        } else {
            trough_ms.saturating_sub(lasted_ms)
        };
        Some(Cycle {
            left_ms,
            trough_ms,
            peak_ms,
        })
    }

    /// Returns the limits on items, `None` if the load does not vary enough or the
    /// reports are fresh.
    ///
    /// `slots` has the present load. `period_ms` is the time between two reports of a
    /// member.
    #[must_use]
    pub fn limits(&self, now: Time, slots: Slots, period_ms: u64) -> Option<ItemLimits> {
        if is_injected(Fault::IgnoreDemandSwing) {
            return None;
        }
        let swing = self.estimate()?;
        if !swing.applies(slots.total, period_ms) {
            return None;
        }
        let room = |online| Slots { online, ..slots }.for_batch();
        let at_present = slots.for_batch();
        let start = if self.is_peak {
            at_present.min(room(swing.peak + swing.peak.isqrt()))
        } else {
            at_present
        };
        Some(ItemLimits {
            start,
            keep: room(swing.trough).max(start),
            present: at_present,
            cycle: self.cycle(now),
        })
    }
}

/// The items that run, as known to one process.
#[derive(Clone, Copy, Debug)]
pub struct Running<'a, S> {
    /// Items that this process runs.
    pub here: &'a HashSet<ItemRef, S>,
    /// Those of them that wait for a slot.
    pub waiting: &'a HashSet<ItemRef, S>,
    /// Items that other members report as running.
    pub elsewhere: &'a HashSet<ItemRef, S>,
}

/// Decides which items to start and to pause by the limits.
///
/// `ordered` are the open items of the service, those first that get a slot first, and
/// `open_count` is the number of all open items if some are left out. `now_ms` is the time
/// since the Unix epoch. `me` and `members` are as in
/// [`plan`](super::batch_share::plan).
#[must_use]
pub fn plan_by_limits<S: BuildHasher>(
    limits: ItemLimits,
    ordered: &[OpenItem],
    open_count: usize,
    now_ms: u64,
    running: &Running<'_, S>,
    me: MemberId,
    members: &[MemberId],
) -> Plan {
    let mut plan = Plan::default();
    let runs = |open: &OpenItem| {
        let is_here = running.here.contains(&open.item) && !running.waiting.contains(&open.item);
        is_here || running.elsewhere.contains(&open.item)
    };
    // With a backlog, throughput decides: the items are started by rank, as in `plan`.
    // The owners refuse those for which there is no slot.
    let has_backlog = limits.has_backlog(open_count);
    let mut free = if has_backlog {
        limits.present
    } else {
        let running_count = ordered.iter().filter(|open| runs(open)).count();
        limits.start.saturating_sub(running_count)
    };
    let cycle = limits.cycle.filter(|_| !has_backlog);
    let is_held_back = |open: &OpenItem| {
        let due_in_ms = open.due_ms.saturating_sub(now_ms);
        cycle.is_some_and(|cycle| cycle.is_better_later(open.remaining_ms, due_in_ms))
    };
    let mut kept = 0;
    for open in ordered {
        let item = open.item;
        if runs(open) {
            kept += 1;
            if has_backlog {
                free = free.saturating_sub(1);
            }
            if kept > limits.keep && running.here.contains(&item) {
                plan.pause.push(item);
            }
        } else if running.waiting.contains(&item) {
            if free == 0 || is_held_back(open) {
                plan.pause.push(item);
            } else {
                free -= 1;
            }
        } else if free > 0 && !is_held_back(open) {
            free -= 1;
            if runner(item, members) == Some(me) {
                plan.start.push(item);
            }
        }
    }
    plan
}
