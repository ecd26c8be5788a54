//! Guards against endpoints preempting requests of an urgent route for less urgent ones. Endpoints
//! were sent the urgency of the team in place of that of the route (`placed` lines of every route
//! had `"priority":0` and `"priority":1`, by the team alone), so a stream of one team gave way to a
//! summary of another. In a burst 31 to 223 requests were preempted while less urgent kinds ran on,
//! streams of the most urgent route among them.

use violetline::direct::known::load::urgency_at_endpoint;

#[test]
fn route_first() {
    for own in 0..=9 {
        for other in 0..=9 {
            for route in 0..3 {
                let urgent = urgency_at_endpoint(route, own);
                let less_urgent = urgency_at_endpoint(route + 1, other);
                assert!(urgent < less_urgent, "{route}: {own}, {other}");
            }
        }
    }
}

#[test]
fn team_within_route() {
    for route in 0..3 {
        let told: Vec<u8> = (0..3).map(|own| urgency_at_endpoint(route, own)).collect();
        assert!(told[0] < told[1] && told[1] < told[2], "{told:?}");
    }
}

#[test]
fn within_bounds() {
    for route in 0..=u8::MAX {
        assert!(urgency_at_endpoint(route, route) <= 9);
    }
}
