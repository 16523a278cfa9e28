//! Measures how memory, message sizes and CPU time grow with the number of objects: at three sizes
//! each, with a linear fit. See `docs/CAPACITY.md`.

use std::time::Instant;

use cloud::table::Transaction;
use policy::to_f64;
use protocol::claim::{Row, Stage};
use settings::tree::{Node, Tree, resolve};
use wire::{Heartbeat, Load, Member, Usage};

struct Point {
    size: u64,
    us: f64,
    bytes: f64,
}

/// Fits a line by least squares; returns its intercept and slope.
fn fit(points: &[Point], value: impl Fn(&Point) -> f64) -> (f64, f64) {
    let n = to_f64(u64::try_from(points.len()).unwrap_or(0));
    let mean = |f: &dyn Fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / n;
    let x = mean(&|p| to_f64(p.size));
    let y = mean(&|p| value(p));
    let covariance: f64 = points
        .iter()
        .map(|p| (to_f64(p.size) - x) * (value(p) - y))
        .sum();
    let variance: f64 = points.iter().map(|p| (to_f64(p.size) - x).powi(2)).sum();
    let slope = covariance / variance;
    (y - slope * x, slope)
}

fn print_series(title: &str, points: &[Point]) {
    for point in points {
        println!(
            "{title}: {} -> {:.1} us, {:.0} bytes",
            point.size, point.us, point.bytes
        );
    }
    let (us, us_each) = fit(points, |p| p.us);
    let (bytes, bytes_each) = fit(points, |p| p.bytes);
    println!(
        "{title}: fit {us:.1} us + {us_each:.4} us each, {bytes:.0} bytes + {bytes_each:.1} bytes each\n"
    );
}

/// Returns the median duration of 15 runs, in microseconds.
fn median_us(mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..15)
        .map(|_| {
            let started = Instant::now();
            run();
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn sample_tree(groups: u64) -> Tree {
    let nodes = (0..groups).map(|at| Node {
        path: format!("group/g{at:05}"),
        values: vec![
            ("keys".to_owned(), resolve::secret_digest(&at.to_string())),
            ("share".to_owned(), "1".to_owned()),
        ],
    });
    Tree::new(1, nodes.collect())
}

/// Returns the resident memory of this process.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    to_f64(pages * 4_096)
}

fn settings_tree() {
    let mut resolved = Vec::new();
    let mut applied = Vec::new();
    let mut memory = Vec::new();
    for size in [5_000, 15_000, 45_000] {
        let tree = sample_tree(size);
        let text = serde_json::to_string(&tree).unwrap_or_default();
        let us = median_us(|| {
            std::hint::black_box(resolve::ResolvedTree::new(&tree));
        });
        resolved.push(Point {
            size,
            us,
            bytes: to_f64(text.len() as u64),
        });
        let edit = [settings::tree::Edit::Set {
            path: "group/g00001".to_owned(),
            key: "share".to_owned(),
            value: "2".to_owned(),
        }];
        let us = median_us(|| {
            std::hint::black_box(tree.apply(&edit).is_ok());
        });
        applied.push(Point {
            size,
            us,
            bytes: to_f64(serde_json::to_string(&edit).unwrap_or_default().len() as u64),
        });
        let before = resident_bytes();
        let versions: Vec<_> = (0..4)
            .map(|_| (tree.clone(), resolve::ResolvedTree::new(&tree)))
            .collect();
        let bytes = (resident_bytes() - before) / 4.0;
        memory.push(Point {
            size,
            us: 0.0,
            bytes,
        });
        drop(versions);
    }
    print_series(
        "resolving a settings tree, by groups (bytes: as JSON)",
        &resolved,
    );
    print_series(
        "applying and checking one edit, by groups (bytes: the edit as JSON)",
        &applied,
    );
    print_series("memory of one settings version, by groups", &memory);
}

fn heartbeats() {
    let points = [12, 64, 256].map(|size: u64| {
        let heartbeat = sample_heartbeat(size, 16, 20);
        measure_heartbeat(size, &heartbeat)
    });
    print_series("heartbeat encoded and decoded, by endpoints", &points);
    let points = [10, 100, 1_000].map(|size: u64| {
        let heartbeat = sample_heartbeat(12, 16, size);
        measure_heartbeat(size, &heartbeat)
    });
    print_series("heartbeat encoded and decoded, by groups in use", &points);
}

fn measure_heartbeat(size: u64, heartbeat: &Heartbeat) -> Point {
    use prost::Message;
    let bytes = heartbeat.encode_to_vec();
    let us = median_us(|| {
        for _ in 0..20 {
            let bytes = heartbeat.encode_to_vec();
            std::hint::black_box(Heartbeat::decode(bytes.as_slice()).is_ok());
        }
    }) / 20.0;
    Point {
        size,
        us,
        bytes: to_f64(bytes.len() as u64),
    }
}

fn sample_heartbeat(endpoints: u64, members: u64, groups: u64) -> Heartbeat {
    Heartbeat {
        settings_version: 1 << 20,
        loads: (0..endpoints)
            .map(|at| Load {
                endpoint: u32::try_from(at).unwrap_or(0),
                data_centre: "sala-a".to_owned(),
                sent_prompt_tokens: 1 << 40,
                reading: vec![1 << 12; 3],
                in_flight: 20,
                written_tokens: 1 << 40,
            })
            .collect(),
        known: (0..members)
            .map(|at| Member {
                incarnation: u64::MAX - at,
                address: "10.41.1.11:8081".to_owned(),
                data_centre: "sala-a".to_owned(),
            })
            .collect(),
        usages: (0..groups)
            .map(|at| Usage {
                group: format!("g{at:05}"),
                work: 1 << 40,
            })
            .collect(),
        ..Heartbeat::default()
    }
}

fn claims() {
    let points = [1, 16, 64].map(|size: u64| {
        let row = Row {
            digest: u64::MAX,
            claimant: protocol::Incarnation(u64::MAX),
            token: u64::MAX,
            at_ms: 1 << 40,
            stage: Stage::Claimed,
        };
        let build = || {
            (0..size).fold(Transaction::default(), |all, at| {
                let key = format!("claim/readings/{at:016x}/{at:032x}");
                let text = serde_json::to_string(&row).unwrap_or_default();
                all.check(&key, 0).write(&key, text)
            })
        };
        let text = serde_json::to_string(&build()).unwrap_or_default();
        let us = median_us(|| {
            std::hint::black_box(serde_json::to_string(&build()).is_ok());
        });
        Point {
            size,
            us,
            bytes: to_f64(text.len() as u64),
        }
    });
    print_series(
        "building and serializing a transaction of claims, by claims",
        &points,
    );
}

fn reports() {
    let report = endpoint::engine::Report {
        boot: u64::MAX,
        number: 1_000,
        waiting_prompt_tokens: 100_000,
        ..endpoint::engine::Report::default()
    };
    let text = serde_json::to_string(&report).unwrap_or_default();
    let points = [1, 12, 64].map(|size: u64| {
        let us = median_us(|| {
            for _ in 0..size {
                let read: Result<endpoint::engine::Report, _> = serde_json::from_str(&text);
                std::hint::black_box(read.is_ok());
            }
        });
        Point {
            size,
            us,
            bytes: to_f64(size * text.len() as u64),
        }
    });
    print_series("load reports parsed, by engines (without HTTP)", &points);
}

fn main() {
    settings_tree();
    heartbeats();
    claims();
    reports();
    println!(
        "resident memory at the end: {:.0} MB",
        resident_bytes() / 1e6
    );
}
