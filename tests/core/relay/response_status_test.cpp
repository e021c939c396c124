#include "core/relay/response_status.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;

TEST_GROUP(response_status){};

TEST(response_status, only_codes_from_200_to_599_end_a_request) {
    for (const int status : {200, 204, 304, 404, 599}) {
        CHECK_TRUE(is_final_status(status));
    }
    for (const int status : {-1, 0, 99, 100, 101, 199, 600, 999, 65535}) {
        CHECK_FALSE(is_final_status(status));
    }
}

TEST(response_status, codes_from_100_to_199_but_101_precede_a_response) {
    for (const int status : {100, 102, 103, 199}) {
        CHECK_TRUE(is_interim_status(status));
    }
    for (const int status : {0, 99, 101, 200, 999}) {
        CHECK_FALSE(is_interim_status(status));
    }
}

TEST(response_status, invalid_status_is_described_with_three_digits) {
    CHECK_EQUAL(std::string("invalid status 000"), describe_invalid_status(0));
    CHECK_EQUAL(std::string("invalid status 099"), describe_invalid_status(99));
    CHECK_EQUAL(std::string("invalid status 600"), describe_invalid_status(600));
}
