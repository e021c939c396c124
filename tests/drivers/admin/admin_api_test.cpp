#include "drivers/admin/admin_api.hpp"

#include <CppUTest/TestHarness.h>

#include "tests/drivers/admin/admin_api_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

const std::string contract_text =
    R"({"customer":"a","ranks":[{"name":"r","level":0,"first_token_target_ms":1,"deadline_ms":2}]})";

std::string field(const std::string& json, const std::string& name) {
    const std::size_t at = json.find("\"" + name + "\":\"");
    const std::size_t start = at + name.size() + 4;
    return at == std::string::npos ? "" : json.substr(start, json.find('"', start) - start);
}

}  // namespace

TEST_GROUP(admin_api) {
    admin_api_fixture fixture_;

    void check_status(int wanted, const admin_reply& reply) {
        if (reply.status != wanted) {
            FAIL(reply.body.c_str());
        }
    }
    admin_reply ann(const std::string& method, const std::string& path,
                    const std::string& body = "", const std::string& if_match = "") {
        return fixture_.call("ann-token", method, path, body, if_match);
    }
};

TEST(admin_api, unknown_token_is_refused_on_every_route) {
    for (const admin_route& route : admin_routes()) {
        admin_request request;
        request.method = std::string(route.method);
        request.path = std::string(route.pattern);
        LONGS_EQUAL(401, fixture_.call(request).status);
        request.token = "wrong";
        LONGS_EQUAL(401, fixture_.call(request).status);
    }
}

TEST(admin_api, reader_may_read_and_not_change_on_every_route) {
    for (const admin_route& route : admin_routes()) {
        admin_request request;
        request.method = std::string(route.method);
        request.path = std::string(route.pattern);
        request.token = "rob-token";
        const bool forbidden = fixture_.call(request).status == 403;
        CHECK_EQUAL(route.role == operator_role::change, forbidden);
    }
}

TEST(admin_api, bootstrap_token_works_while_the_store_is_out) {
    fixture_.store.unavailable = true;
    check_status(200, fixture_.call("boot-token", "GET", "/status"));
    check_status(401, fixture_.call("ann-token", "GET", "/status"));
}

TEST(admin_api, known_operator_still_works_in_an_outage) {
    check_status(200, ann("GET", "/status"));
    fixture_.store.unavailable = true;
    check_status(200, ann("GET", "/status"));
    check_status(503, ann("PUT", "/contracts/a", contract_text, "new"));
}

TEST(admin_api, contract_is_created_read_changed_and_deleted) {
    check_status(428, ann("PUT", "/contracts/a", contract_text));
    check_status(200, ann("PUT", "/contracts/a", contract_text, "new"));
    const admin_reply read = ann("GET", "/contracts/a");
    check_status(200, read);
    STRCMP_EQUAL("\"3\"", read.headers.front().second.c_str());
    check_status(412, ann("PUT", "/contracts/a", contract_text, "new"));
    check_status(412, ann("DELETE", "/contracts/a", "", "\"2\""));
    check_status(200, ann("DELETE", "/contracts/a", "", "\"3\""));
    check_status(404, ann("GET", "/contracts/a"));
}

TEST(admin_api, conflict_shows_the_present_contract) {
    ann("PUT", "/contracts/a", contract_text, "new");
    const admin_reply reply = ann("PUT", "/contracts/a", contract_text, "\"2\"");
    check_status(412, reply);
    STRCMP_CONTAINS("\"revision\":3", reply.body.c_str());
    STRCMP_CONTAINS("\"customer\":\"a\"", reply.body.c_str());
}

TEST(admin_api, bad_contract_names_the_field) {
    const admin_reply reply = ann("PUT", "/contracts/a", R"({"customer":"a","ranks":[]})", "new");
    check_status(422, reply);
    STRCMP_CONTAINS("ranks: has to hold at least one rank", reply.body.c_str());
}

TEST(admin_api, dry_run_writes_nothing) {
    admin_request request;
    request.token = "ann-token";
    request.method = "PUT";
    request.path = "/admin/v1/contracts/a";
    request.body = contract_text;
    request.if_none_match = "*";
    request.query["dry_run"] = "true";
    check_status(200, fixture_.call(request));
    LONGS_EQUAL(0, fixture_.store.writes);
}

TEST(admin_api, keys_are_issued_rotated_and_revoked_and_stored_hashed) {
    ann("PUT", "/contracts/a", contract_text, "new");
    const admin_reply issued = ann("POST", "/contracts/a/keys");
    check_status(200, issued);
    const std::string key = field(issued.body, "key");
    const std::string digest = field(issued.body, "digest");
    STRCMP_EQUAL(sha256_hex(key).c_str(), digest.c_str());
    CHECK_TRUE(fixture_.contracts.find_by_key(digest) != nullptr);
    const std::string& stored = fixture_.store.at("fuchsiaquay/contracts/a").value;
    CHECK_TRUE(stored.find(key) == std::string::npos);
    const admin_reply rotated = ann("POST", "/contracts/a/keys/" + digest + "/rotate");
    check_status(200, rotated);
    CHECK_TRUE(fixture_.contracts.find_by_key(digest) == nullptr);
    const std::string second = field(rotated.body, "digest");
    CHECK_TRUE(fixture_.contracts.find_by_key(second) != nullptr);
    check_status(200, ann("DELETE", "/contracts/a/keys/" + second));
    CHECK_TRUE(fixture_.contracts.find_by_key(second) == nullptr);
    check_status(404, ann("DELETE", "/contracts/a/keys/" + second));
    for (const std::string& line : fixture_.log.lines) {
        CHECK_TRUE(line.find(key) == std::string::npos);
    }
}

TEST(admin_api, every_change_leaves_an_audit_line) {
    ann("PUT", "/contracts/a", contract_text, "new");
    ann("POST", "/contracts/a/keys");
    ann("POST", "/upstreams/e1/drain");
    ann("POST", "/nodes/h1/drain");
    ann("GET", "/contracts");
    LONGS_EQUAL(4, fixture_.log.count("admin_change operator=ann"));
}

TEST(admin_api, upstream_is_added_drained_and_removed_in_the_store) {
    const std::string body =
        R"({"id":"e9","kind":"engine","address":"10.0.0.9","port":80,"data_centre":"d",)"
        R"("models":["m"],"checks_orders":false,"memory_tokens":5})";
    check_status(200, ann("PUT", "/upstreams/e9", body));
    STRCMP_CONTAINS("\"checks_orders\":false",
                    fixture_.store.at("fuchsiaquay/upstreams/e9").value.c_str());
    check_status(200, ann("POST", "/upstreams/e9/drain"));
    STRCMP_CONTAINS("\"wish\":\"drain\"",
                    fixture_.store.at("fuchsiaquay/upstreams/e9").value.c_str());
    check_status(200, ann("DELETE", "/upstreams/e9"));
    STRCMP_CONTAINS("\"wish\":\"remove\"",
                    fixture_.store.at("fuchsiaquay/upstreams/e9").value.c_str());
    check_status(422, ann("PUT", "/upstreams/e8", body));
}

TEST(admin_api, node_is_drained_once_and_unknown_node_is_missing) {
    check_status(202, ann("POST", "/nodes/h1/drain"));
    check_status(404, ann("POST", "/nodes/h7/drain"));
    LONGS_EQUAL(1, fixture_.drained.size());
}

TEST(admin_api, explain_names_the_candidates) {
    const admin_reply reply = ann("POST", "/explain", R"({"customer":"a","model":"m"})");
    check_status(200, reply);
    STRCMP_CONTAINS("\"upstream\":\"e1\",\"score\":0.5", reply.body.c_str());
    check_status(422, ann("POST", "/explain", R"({"customer":"a"})"));
}

TEST(admin_api, unknown_path_and_unsupported_method_are_distinguished) {
    check_status(404, ann("GET", "/nothing"));
    check_status(405, ann("POST", "/status"));
}
