//! The whole path: what callers get and what upstreams see.

use crate::cases::{Session, by_tag, describe, small};

/// Workspace, request, headers, body.
type Step<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str);

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_session() {
    let environment = small().await;
    let mut session = Session::default();
    let mut tags = 0;
    let steps: &[Step<'_>] = &[
        ("club", "GET /lookup/saikhan", &[], ""),
        ("club", "GET /lookup/saikhan?size=300000", &[], ""),
        ("club", "POST /lookup/saikhan", &[], "a variant"),
        ("club", "POST /ruling/final", &[], "fair"),
        ("club", "POST /ruling/final", &[("idempotency-key", "r1")], "foul"),
        ("club", "POST /ruling/final", &[("idempotency-key", "r1")], "foul"),
        ("club", "POST /ruling/final", &[("idempotency-key", "r1")], "another ruling"),
        ("school", "POST /ruling/final", &[("idempotency-key", "r1")], "foul"),
        ("nobody", "GET /lookup/saikhan", &[], ""),
        ("club", "GET /nothing/here", &[], ""),
        ("club", "GET /lookup/", &[], ""),
        ("club", "GET /lookup/saikhan", &[("deadline-ms", "soon")], ""),
        ("club", "GET /lookup/saikhan", &[("idempotency-key", "")], ""),
        (
            "club",
            "GET /lookup/saikhan",
            &[("cactushold-workspace", "school"), ("cactushold-fence", "99.9")],
            "",
        ),
    ];
    for (workspace, request, headers, body) in steps {
        tags += 1;
        let tag = format!("t{tags}");
        let mut all = headers.to_vec();
        all.push(("x-request", &tag));
        let entry = tags % environment.daemons.len();
        let answer = environment.call(entry, workspace, request, &all, body).await;
        session.answer(&format!("{workspace}: {request} {headers:?} {body:?}"), &answer);
    }
    let large = "x".repeat((1 << 20) + 1);
    let answer = environment.call(0, "club", "POST /ruling/final", &[], &large).await;
    session.answer("club: POST /ruling/final with 1 MiB and a byte", &answer);
    let address = environment.daemons[0].callers;
    let answer = environment.http.send("GET".parse().unwrap(), address, "/lookup/a", &[], "").await;
    session.answer("without a key: GET /lookup/a", &answer);

    let runs = environment.runs().await;
    session.note(format!("runs by request: {:?}", by_tag(&runs)));
    for run in &runs {
        assert!(!run.headers.iter().any(|name| name == "authorization"), "{run:?}");
        assert!(["club", "school"].contains(&run.workspace.as_str()), "{run:?}");
        assert!(!run.fence.starts_with("99"), "{run:?}");
    }
    insta::assert_snapshot!(session.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_not_passed_off_as_whole() {
    let environment = small().await;
    let mut session = Session::default();
    let owner = crate::cases::owner(&environment, 0, "khul").await;
    for (request, entry) in [("POST /lookup/khul?size=200000", 0), ("POST /lookup/khul", 1)] {
        environment.upstream_faults(owner, serde_json::json!({ "truncate": 1 })).await;
        let entry = (owner + 1 + entry) % environment.daemons.len();
        let answer = environment.call(entry, "club", request, &[], "").await;
        session.answer(&format!("{request}, cut off by the upstream"), &answer);
        let answer = environment.call(entry, "club", request, &[], "").await;
        session.answer(&format!("{request}, whole"), &answer);
    }
    insta::assert_snapshot!(session.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_and_late_answers_reach_only_their_callers() {
    let environment = small().await;
    let mut tasks = Vec::new();
    for n in 0..300 {
        let http = environment.http.clone();
        let address = environment.daemons[n % environment.daemons.len()].callers;
        tasks.push(tokio::spawn(async move {
            let tag = format!("x{n}");
            // A third of the callers give up early, so that late answers come about.
            let deadline = if n % 3 == 0 { "1" } else { "5000" };
            let headers = [
                ("authorization", "Bearer key-of-club"),
                ("x-request", tag.as_str()),
                ("deadline-ms", deadline),
            ];
            let path = format!("/lookup/w{}", n % 7);
            let method = "GET".parse().expect("a method");
            let answer = http.send(method, address, &path, &headers, "").await;
            (tag.clone(), answer)
        }));
    }
    for task in tasks {
        let (tag, answer) = task.await.expect("a caller");
        let answer = answer.expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.json()["tag"], tag.as_str());
        } else {
            // What was never sent is a true "not run"; what was sent is not known.
            let expected = if answer.json()["ran"] == "no" { 503 } else { 504 };
            assert_eq!(answer.status, expected, "{}", describe(&Ok(answer.clone())));
        }
    }
}
