#include "servers/relay/admission.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "core/relay/caller_request.hpp"
#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP(admission) {
    std::shared_ptr<const fleet_configuration> configuration_ = fixed_configuration().decode("1");

    static caller_request request(const char* target, const char* key) {
        caller_request result;
        result.id = "r1";
        result.target = target;
        result.host = "h";
        result.api_key = key;
        result.prompt_tokens = 1'000;
        return result;
    }
    int refusal(const caller_request& wanted, copy_state state) const {
        const admission_result result = admit(wanted, configuration_, state);
        return result.refused ? result.refused->status : 0;
    }
};

TEST(admission, unknown_route_and_key_are_final_with_a_current_copy) {
    LONGS_EQUAL(404, refusal(request("/none/1", "key"), copy_state::current));
    LONGS_EQUAL(401, refusal(request("/order/1", "other"), copy_state::current));
}

// Guards against a 404 for a route of a version that has been in force elsewhere for seconds, at a
// host that fetches a large configuration over a slow link.
TEST(admission, unknown_route_and_key_may_be_retried_if_a_version_may_be_missing) {
    LONGS_EQUAL(503, refusal(request("/none/1", "key"), copy_state::late));
    LONGS_EQUAL(503, refusal(request("/order/1", "other"), copy_state::late));
}

TEST(admission, request_with_a_known_key_is_admitted_by_a_late_copy_only) {
    LONGS_EQUAL(0, refusal(request("/order/1", "key"), copy_state::late));
    LONGS_EQUAL(503, refusal(request("/order/1", "key"), copy_state::expired));
}

// Guards against requests that are handled as an older version says, at a host that fetches a large
// configuration over a slow link for longer than a version may take to be in force.
TEST(admission, nothing_is_admitted_if_a_newer_version_may_have_to_be_in_force) {
    LONGS_EQUAL(503, refusal(request("/order/1", "key"), copy_state::replaced));
    LONGS_EQUAL(503, refusal(request("/none/1", "key"), copy_state::replaced));
}
