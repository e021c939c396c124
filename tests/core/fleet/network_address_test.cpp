#include "core/fleet/network_address.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace fuchsiaquay;

TEST_GROUP(network_address){};

TEST(network_address, address_and_port_are_read) {
    for (const char* const text : {"10.0.0.1:80", "0.0.0.0:1", "255.255.255.255:65535"}) {
        CHECK_EQUAL(std::string(text), parse_network_address(text).text());
    }
}

// Guards against an address that opening a connection rejects with an exception.
TEST(network_address, text_that_is_no_ip_number_gives_no_address) {
    for (const char* const text :
         {"999.0.0.1:80", "10.0.0.256:80", "10.0.0:80", "10.0.0.0.1:80", "10..0.1:80", "....:80",
          ".10.0.0.1:80", "10.0.0.1.:80", "10.0.0.01:80", "10.0.0.-1:80", "4294967296.0.0.1:80",
          "host:80", "[::1]:80", ":80", "", "10.0.0.1", " 10.0.0.1:80"}) {
        CHECK_TRUE(parse_network_address(text).empty());
    }
    CHECK_TRUE(parse_network_address(std::string("10.0.0.1\0:80", 12)).empty());
}

TEST(network_address, port_out_of_range_gives_no_address) {
    for (const char* const text :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:80.5", "10.0.0.1:", "10.0.0.1:x",
          "10.0.0.1:8x", "10.0.0.1:+80", "10.0.0.1:99999999999999999999"}) {
        CHECK_TRUE(parse_network_address(text).empty());
    }
}
