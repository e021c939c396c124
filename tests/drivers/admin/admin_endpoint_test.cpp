#include "drivers/admin/admin_endpoint.hpp"

#include <CppUTest/TestHarness.h>
#include <cpprest/http_msg.h>

#include <optional>
#include <string>

#include "servers/admin/admin_request.hpp"

using namespace fuchsiaquay;

TEST_GROUP(admin_endpoint){std::optional<admin_request> read(const std::string& target)
                               const {web::http::http_request message(web::http::methods::GET);
message.set_request_uri(target);
return read_admin_request(message, "body");
}
}
;

TEST(admin_endpoint, target_is_decoded) {
    const auto request = read("/admin/v1/contracts/a%20b?dry%2Drun=1%202");
    CHECK_EQUAL(std::string("/admin/v1/contracts/a b"), request->path);
    CHECK_EQUAL(std::string("1 2"), request->query.at("dry-run"));
    CHECK_EQUAL(std::string("body"), request->body);
}

// Guards against a request that ends the process, which needs no token.
TEST(admin_endpoint, target_with_malformed_escapes_is_not_read) {
    for (const char* const target :
         {"/admin/v1/%zz", "/admin/v1/%", "/admin/v1/status?a=%4", "/admin/v1/status?%g1=2"}) {
        CHECK_FALSE(read(target).has_value());
    }
}
