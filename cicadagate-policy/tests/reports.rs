//! Load reports: their rate, members that stop reporting, and the load derived
//! from reports.

use {
    cicadagate_policy::{
        ids::{EndpointId, JobId, MemberId, Offset},
        process::{
            membership::{Info, Role},
            reports::{InFlight, MAX_REPORTS_PER_S, MIN_PERIOD_MS, Report, ReportTable, period_ms},
        },
        time::Time,
        version::job_index::ItemRef,
    },
    std::slice,
};

const NOW: Time = Time(10_000);
const REPLICA: EndpointId = EndpointId::from_raw(9);

fn report(member: u64, seq: u64, online: u32) -> Report {
    Report {
        member: MemberId::from_raw(member),
        seq,
        in_flight: vec![(REPLICA, InFlight { online, batch: 1 })],
        items: vec![ItemRef {
            job: JobId::from_raw(member),
            index: 0,
        }],
        admitted: Vec::new(),
        config_version: 1,
        suspects: Vec::new(),
        has_store: true,
        is_leaving: false,
    }
}

fn info(member: u64) -> Info {
    let addr = "10.0.0.1:7660".parse().expect("an address");
    Info {
        id: MemberId::from_raw(member),
        instance: format!("n{member}"),
        data_centre: "a".to_owned(),
        role: Role::Entry,
        udp: addr,
        tcp: addr,
        started: 1,
        version: Offset(1),
        leaving: false,
    }
}

#[test]
fn a_process_receives_a_bounded_number_of_reports() {
    for members in [1, 3, 12, 82, 410] {
        let period = period_ms(members);
        let received = members as u64 * 1_000 / period;
        assert!(period >= MIN_PERIOD_MS);
        assert!(
            received <= MAX_REPORTS_PER_S.max(120),
            "{members}: {received}"
        );
    }
}

#[test]
fn an_old_report_changes_nothing() {
    let mut table = ReportTable::default();
    assert!(table.apply(NOW, report(1, 2, 5)));
    assert!(!table.apply(NOW, report(1, 1, 9)));
    assert_eq!(table.load(REPLICA).online, 5);
    assert!(table.apply(NOW, report(2, 1, 2)));
    assert_eq!(
        table.load(REPLICA),
        InFlight {
            online: 7,
            batch: 2
        }
    );
}

#[test]
fn a_silent_member_gets_no_work_and_its_items_may_be_taken_over() {
    let mut table = ReportTable::default();
    table.apply(NOW, report(1, 1, 5));
    assert!(table.is_working(NOW, &info(1)));
    assert_eq!(table.items_running_elsewhere(NOW).len(), 1);
    let silent = NOW.plus(table.silence_timeout_ms());
    assert!(!table.is_working(silent, &info(1)));
    assert!(table.items_running_elsewhere(silent).is_empty());
    table.expire(silent.plus(table.silence_timeout_ms()), |_| true);
    assert!(table.is_empty());
    assert_eq!(table.load(REPLICA), InFlight::default());
}

/// Pattern: all processes of a fleet of hundreds are restarted. Reports are
/// seconds apart, so members work together before the first ones arrive.
#[test]
fn a_ready_member_works_before_its_first_report() {
    let table = ReportTable::default();
    let starting = Info {
        version: Offset::NONE,
        ..info(1)
    };
    assert!(!table.is_working(NOW, &starting));
    let ready = Info {
        version: Offset(7),
        ..info(1)
    };
    assert!(table.is_working(NOW, &ready));
    let stopping = Info {
        leaving: true,
        ..ready
    };
    assert!(!table.is_working(NOW, &stopping));
}

#[test]
fn a_member_that_fell_silent_works_again_only_after_a_report() {
    let mut table = ReportTable::default();
    let ready = Info {
        version: Offset(7),
        ..info(1)
    };
    table.apply(NOW, report(1, 1, 5));
    let much_later = NOW.plus(3 * table.silence_timeout_ms());
    table.expire(much_later, |_| true);
    assert!(!table.is_working(much_later, &ready));
    table.apply(much_later, report(1, 2, 5));
    assert!(table.is_working(much_later, &ready));
}

#[test]
fn a_leaving_member_takes_no_new_work_but_keeps_its_items() {
    let mut table = ReportTable::default();
    let mut leaving = report(1, 1, 5);
    leaving.is_leaving = true;
    let items = leaving.items.clone();
    table.apply(NOW, leaving);
    assert!(!table.is_working(NOW, &info(1)));
    let running = table.items_running_elsewhere(NOW);
    assert!(slice::Iter::all(&mut items.iter(), |item| running.contains(item)));
}

#[test]
fn a_dead_members_load_is_dropped() {
    let mut table = ReportTable::default();
    table.apply(NOW, report(1, 1, 5));
    table.expire(NOW, |_| false);
    assert_eq!(table.len(), 0);
}
