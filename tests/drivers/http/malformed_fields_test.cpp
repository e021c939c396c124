#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/drivers/http/http_client_fixture.hpp"
#include "tests/drivers/traffic/broken_heads.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP_BASE(malformed_fields, http_client_fixture){};

TEST(malformed_fields, malformed_field_name_is_a_failure) {
    for (const std::string& line : malformed_field_lines) {
        check_rejected("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\nX-B: c\r\n\r\nok");
    }
}

TEST(malformed_fields, malformed_field_name_in_a_trailer_is_a_failure) {
    for (const std::string& line : malformed_field_lines) {
        check_rejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                       line + "\r\n\r\n");
    }
}
