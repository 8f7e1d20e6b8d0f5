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

Shortly before a trough is expected to end, by the length of the troughs before,
no item is started that the peak leaves no room for: it would be preempted
before it has done much.

# Cost

The estimate needs half a window of samples, and follows a change of the pattern
within a window.
*/

use {
    super::batch_share::{Plan, Slots, runner},
    crate::{average::MovingAverage, ids::MemberId, time::Time, version::job_index::ItemRef},
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
/// Expected rest of a trough below which no further item is started, in
/// milliseconds: about a tenth of the time of an item.
pub const MIN_USEFUL_RUN_MS: u64 = 500;
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
            && self.peak * 100 >= self.trough * MIN_RATIO_PERCENT
            && difference > 0
            && difference * 100 >= total_slots * MIN_SWING_PERCENT
    }
}

/// How many items of a service the fleet may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemLimits {
    /// Items up to which further ones are started.
    pub start: usize,
    /// Items up to which those that run are kept.
    pub keep: usize,
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

/// Recent online load of one service.
#[derive(Clone, Debug, Default)]
pub struct DemandSwing {
    buckets: VecDeque<Bucket>,
    is_peak: bool,
    phase_since: Time,
    trough_ms: MovingAverage<2>,
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
        if is_peak && lasted_ms <= MAX_PHASE_MS {
            self.trough_ms.note(lasted_ms);
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

    /// Returns whether a trough is expected to end too soon for a further item.
    fn ends_soon(&self, now: Time) -> bool {
        let (lasted_ms, expected_ms) = (now.since(self.phase_since), self.trough_ms.value());
        // A trough that lasts longer than expected says nothing of its end.
        !self.is_peak
            && expected_ms > 0
            && lasted_ms + MIN_USEFUL_RUN_MS >= expected_ms
            && lasted_ms <= expected_ms + MIN_USEFUL_RUN_MS
    }

    /// Returns the limits on items, `None` if the load does not vary enough or the
    /// reports are fresh.
    ///
    /// `slots` has the present load. `period_ms` is the time between two reports of a
    /// member.
    #[must_use]
    pub fn limits(&self, now: Time, slots: Slots, period_ms: u64) -> Option<ItemLimits> {
        let swing = self.estimate()?;
        if !swing.applies(slots.total, period_ms) {
            return None;
        }
        let room = |online| Slots { online, ..slots }.for_batch();
        let at_present = slots.for_batch();
        let start = if self.is_peak || self.ends_soon(now) {
            at_present.min(room(swing.peak))
        } else {
            at_present
        };
        Some(ItemLimits {
            start,
            keep: room(swing.trough).max(start),
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
/// `ordered_items` are the open items of the service, those first that get a slot
/// first. `me` and `members` are as in [`plan`](super::batch_share::plan).
#[must_use]
pub fn plan_by_limits<S: BuildHasher>(
    limits: ItemLimits,
    ordered_items: impl Iterator<Item = ItemRef> + Clone,
    running: Running<'_, S>,
    me: MemberId,
    members: &[MemberId],
) -> Plan {
    let mut plan = Plan::default();
    let runs = |item: &ItemRef| {
        (running.here.contains(item) && !running.waiting.contains(item))
            || running.elsewhere.contains(item)
    };
    let running_count = ordered_items.clone().filter(runs).count();
    // Slots that no item occupies go to the first items that don't run.
    let mut free = limits.start.saturating_sub(running_count);
    let mut kept = 0;
    for item in ordered_items {
        if runs(&item) {
            kept += 1;
            if kept > limits.keep && running.here.contains(&item) {
                plan.pause.push(item);
            }
        } else if running.waiting.contains(&item) {
            if free == 0 {
                plan.pause.push(item);
            }
            free = free.saturating_sub(1);
        } else if free > 0 {
            free -= 1;
            if runner(item, members) == Some(me) {
                plan.start.push(item);
            }
        }
    }
    plan
}
