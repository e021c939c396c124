#include "drivers/json/node_record.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

#include "core/error/operation_error.hpp"

using namespace fuchsiaquay;

namespace {

std::string record_with(const std::string& port, const std::string& incarnation) {
    return R"({"host":"a","address":"10.0.0.1","peer_port":)" + port +
           R"(,"http_port":80,"data_centre":"z1","incarnation":)" + incarnation + "}";
}

}  // namespace

TEST_GROUP(node_record){};

TEST(node_record, printed_record_is_read_again) {
    const member_update host = parse_node_record(record_with("65535", "7"));
    LONGS_EQUAL(65535, host.peer_port);
    LONGS_EQUAL(7, host.incarnation);
    const member_update again = parse_node_record(print_node_record(host));
    CHECK_EQUAL(host.host.value(), again.host.value());
    CHECK_EQUAL(host.address, again.address);
}

// Guards against a port that is taken modulo 2^16, or a conversion that is undefined.
TEST(node_record, number_out_of_range_is_rejected) {
    for (const char* const port :
         {"70000", "-1", "80.5", "1e300", "1e400", R"("80")", "null", "[]"}) {
        CHECK_THROWS(operation_error, parse_node_record(record_with(port, "1")));
    }
    for (const char* const incarnation : {"-1", "1e300", "99999999999999999999", "true"}) {
        CHECK_THROWS(operation_error, parse_node_record(record_with("80", incarnation)));
    }
}
